/**
 * Which daemon brokers a service: rendezvous hashing with bounded load.
 *
 * @module
 */
import type { View } from "@umbermast/coordination";

/** A daemon brokers at most this many times the mean number of shards. */
const LOAD_BOUND = 1.25;

/** FNV-1a with a final mix; spreads names that differ in one character. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * The members in rendezvous order for a shard, the best first.
 *
 * @example
 * ```ts
 * rankMembers(["a", "b", "c"], "drafting-llm/0");
 * ```
 */
export function rankMembers(
  names: readonly string[],
  shard: string,
): readonly string[] {
  return names
    .map((name) => ({ name, score: hash(`${shard} ${name}`) }))
    .sort((left, right) =>
      right.score - left.score || (left.name < right.name ? -1 : 1)
    )
    .map((it) => it.name);
}

/**
 * Orders the members for each shard so that the first of no shard serves more
 * than the bound. Every daemon with the same view gets the same answer.
 */
export function assignBrokers(
  names: readonly string[],
  shards: readonly string[],
): ReadonlyMap<string, readonly string[]> {
  const bound = Math.ceil(LOAD_BOUND * shards.length / names.length);
  const load = new Map<string, number>();
  const assigned = new Map<string, readonly string[]>();
  for (const shard of [...shards].sort()) {
    const ranked = rankMembers(names, shard);
    const chosen = ranked.find((name) => (load.get(name) ?? 0) < bound);
    if (chosen === undefined) continue;
    load.set(chosen, (load.get(chosen) ?? 0) + 1);
    const others = ranked.filter((name) => name !== chosen);
    assigned.set(shard, [chosen, ...others]);
  }
  return assigned;
}

/**
 * Names that may broker in a view. Suspects stay: a suspicion that proves wrong
 * would otherwise move every ask twice, and a dead one is noticed sooner by its
 * missing answers. Leaving members are passed over.
 */
export function brokerCandidates(view: View): readonly string[] {
  const staying = view.members.filter((it) => it.state !== "leaving");
  const chosen = staying.length > 0 ? staying : view.members;
  return chosen.map((it) => it.member.name);
}
