/**
 * Which partition a key belongs to, and which member serves it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { MemberState, View } from "./membership.ts";
import { rendezvous } from "./rendezvous.ts";

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
  const key = `claims/${partition}`;
  const inState = (wanted: MemberState) =>
    view.members
      .filter(({ state }) => state === wanted)
      .map(({ member }) => member.name);
  return [
    ...rendezvous(key, inState("alive")),
    ...rendezvous(key, inState("suspect")),
  ];
}

/** The servers of each partition, worked out once for a view. */
export class RoutingCache {
  #view: View | undefined;
  readonly #servers = new Map<number, readonly string[]>();

  /** As {@linkcode servers}. */
  servers(view: View, partition: number): readonly string[] {
    if (view !== this.#view) {
      this.#view = view;
      this.#servers.clear();
    }
    const known = this.#servers.get(partition) ?? servers(view, partition);
    this.#servers.set(partition, known);
    return known;
  }
}

function hash32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
