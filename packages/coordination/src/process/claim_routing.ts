/**
 * Which partition a key belongs to, and which member serves it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { View } from "./membership.ts";

/** Partition of a key, from its digest. */
export function partitionOf(keyDigest: string, partitions: number): number {
  return hash32(keyDigest) % partitions;
}

/**
 * Members that may serve a partition, the one to ask first before the others.
 * Members that are suspected come after the healthy ones, leaving ones are left
 * out. Two processes with different views may name different members, which
 * costs conflicts and no more.
 */
export function servers(view: View, partition: number): readonly string[] {
  const chosen = view.members
    .filter(({ state }) => state !== "leaving")
    .map(({ member, state }) => ({
      name: member.name,
      suspect: state === "suspect",
      weight: hash32(`${partition}/${member.name}`),
    }));
  chosen.sort((a, b) =>
    Number(a.suspect) - Number(b.suspect) || b.weight - a.weight ||
    (a.name < b.name ? -1 : 1)
  );
  return chosen.map(({ name }) => name);
}

function hash32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
