/**
 * Maps keys to partitions, and partitions to the members that serve them.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { MemberState, View } from "./membership.ts";
import { rendezvous } from "./rendezvous.ts";

/** Returns the partition of a key, given its digest. */
export function partitionOf(keyDigest: string, partitions: number): number {
  return hash32(keyDigest) % partitions;
}

/**
 * Returns the members that may serve a partition, in order of preference.
 * Suspected members follow the healthy ones; leaving members are excluded. Two
 * processes with different views may choose different members, which only
 * causes conflicts.
 */
export function rankServers(view: View, partition: number): readonly string[] {
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

/** Caches the servers of each partition for one view. */
export class RoutingCache {
  #view: View | undefined;
  readonly #servers = new Map<number, readonly string[]>();

  /** Returns the result of {@linkcode rankServers}, cached. */
  servers(view: View, partition: number): readonly string[] {
    if (view !== this.#view) {
      this.#view = view;
      this.#servers.clear();
    }
    const known = this.#servers.get(partition) ?? rankServers(view, partition);
    this.#servers.set(partition, known);
    return known;
  }
}

function hash32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}
