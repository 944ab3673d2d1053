/**
 * Rendezvous hashing: assigns keys to members.
 *
 * All processes with the same set of members compute the same assignment
 * without communication. When a member joins or leaves, only the keys that it
 * gains or loses move.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** The first 64 bits of a name's SHA-256, in two halves. */
interface Digest {
  readonly high: number;
  readonly low: number;
}

interface Scored {
  readonly name: string;
  readonly score: number;
}

interface Member {
  readonly name: string;
  readonly digest: Digest;
  readonly weight: number;
}

const HIGH_BITS = 21;
const LOW_RANGE = 2 ** 32;
const SCORE_RANGE = 2 ** 53;

/** Bound of the cache of member digests, about 100 bytes each. */
const MAX_DIGESTS = 8_192;
const memberDigests = new Map<string, Digest>();

function digestOf(text: string): Digest {
  const bytes = createHash("sha256").update(text).digest();
  return { high: bytes.readUInt32BE(0), low: bytes.readUInt32BE(4) };
}

/** Cached, since lists of members change often, by one or two members. */
function cachedDigest(name: string): Digest {
  const cached = memberDigests.get(name);
  if (cached !== undefined) return cached;
  if (memberDigests.size >= MAX_DIGESTS) memberDigests.clear();
  const digest = digestOf(name);
  memberDigests.set(name, digest);
  return digest;
}

/**
 * The finalizer of MurmurHash3: each input bit changes half of the output bits
 * on average.
 */
function mix(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * The 53-bit score of a member for a key; the highest score wins. Each name and
 * each key is hashed once with SHA-256, and a cheap mix combines each pair: a
 * SHA-256 per pair would take seconds for thousands of keys and hundreds of
 * members, at each change of the view.
 */
function scoreOf(key: Digest, member: Digest): number {
  const high = mix(key.high ^ member.low);
  const low = mix((key.low ^ member.high) + high | 0);
  return (high >>> (32 - HIGH_BITS)) * LOW_RANGE + low;
}

function compareScored(first: Scored, second: Scored): number {
  return second.score - first.score || (first.name < second.name ? -1 : 1);
}

/**
 * The score of a member that gets its share of keys by weight. It grows with the
 * unweighted score, so members of equal weight are in the same order (Schindelhauer
 * and Schomaker, Weighted distributed hash tables, 2005).
 */
function weightedScoreOf(key: Digest, member: Member): number {
  const uniform = (scoreOf(key, member.digest) + 0.5) / SCORE_RANGE;
  return member.weight / -Math.log(uniform);
}

/** A fixed set of members, hashed once for many keys. */
export class Rendezvous {
  readonly #members: readonly Member[];
  readonly #scoreOf: (key: Digest, member: Member) => number;

  /**
   * @param names of the members; their order does not matter.
   * @param weightOf weight of a member, above 0: it is first for a share of keys
   * that is proportional to it. A change of one weight moves keys only to or from
   * that member. Without it, all shares are equal.
   */
  constructor(names: readonly string[], weightOf?: (name: string) => number) {
    this.#members = names.map((name) => ({
      name,
      digest: cachedDigest(name),
      weight: weightOf?.(name) ?? 1,
    }));
    this.#scoreOf = weightOf === undefined
      ? (key, { digest }) => scoreOf(key, digest)
      : weightedScoreOf;
  }

  /**
   * The members in order of responsibility for a key, by descending score.
   *
   * @example
   * ```ts
   * const [owner, substitute] = new Rendezvous(names).order("drafting-llm/0");
   * ```
   */
  order(key: string): readonly string[] {
    return this.#scored(key).sort(compareScored).map(({ name }) => name);
  }

  /**
   * The first member of {@linkcode order} that the predicate accepts. Takes one
   * pass instead of a sort, for use on every request.
   *
   * @example
   * ```ts
   * const owner = members.first("drafting-llm/0", (name) => alive.has(name));
   * ```
   */
  first(
    key: string,
    accepts: (name: string) => boolean,
  ): string | undefined {
    const keyDigest = digestOf(key);
    let best: Scored | undefined;
    for (const member of this.#members) {
      if (!accepts(member.name)) continue;
      const scored = {
        name: member.name,
        score: this.#scoreOf(keyDigest, member),
      };
      if (best === undefined || compareScored(scored, best) < 0) best = scored;
    }
    return best?.name;
  }

  /**
   * The first members of {@linkcode order} that the predicate accepts, in order.
   * Takes one pass for a small count.
   *
   * @example
   * ```ts
   * const [home, second] = members.firstOf("prompt", 2, () => true);
   * ```
   */
  firstOf(
    key: string,
    count: number,
    accepts: (name: string) => boolean,
  ): readonly string[] {
    const keyDigest = digestOf(key);
    const best: Scored[] = [];
    for (const member of this.#members) {
      const { name } = member;
      const score = this.#scoreOf(keyDigest, member);
      const last = best.at(-1);
      const full = best.length >= count;
      // Most members end here; they cost no object.
      if (full && (last === undefined || score < last.score)) continue;
      const scored = { name, score };
      if (full && compareScored(scored, last!) > 0) continue;
      if (!accepts(name)) continue;
      if (full) best.pop();
      const place = best.findIndex((other) => compareScored(scored, other) < 0);
      best.splice(place === -1 ? best.length : place, 0, scored);
    }
    return best.map(({ name }) => name);
  }

  /**
   * Assigns an owner to each key, so that no member owns more than `loadBound`
   * times the mean, rounded up. A key whose first member is full goes to the
   * next member in its order that has capacity or owns a key with a lower score
   * there. Which keys a full member keeps depends on their scores and not on
   * the order of `keys`, so a change of one member or key moves few other keys.
   *
   * @returns the owner of each key; empty if there are no members.
   * @throws {RangeError} if the bound is below 1, which would leave keys
   * unowned.
   *
   * @example
   * ```ts
   * const owners = new Rendezvous(["a", "b"]).owners(["x", "y"], {
   *   loadBound: 1.25,
   * });
   * const owner = owners.get("x");
   * ```
   */
  owners(
    keys: readonly string[],
    options: { readonly loadBound: number },
  ): ReadonlyMap<string, string> {
    const { loadBound } = options;
    if (!(loadBound >= 1)) {
      throw new RangeError(
        `Cannot bound load by ${loadBound}: must be at least 1`,
      );
    }
    if (this.#members.length === 0) return new Map();
    const distinct = [...new Set(keys)];
    const mean = distinct.length / this.#members.length;
    return this.#assignOwners(distinct, Math.ceil(loadBound * mean));
  }

  /**
   * Deferred acceptance (Gale and Shapley, 1962). Both sides rank by the same
   * scores, so there is a single stable matching, whatever the order of
   * proposals.
   */
  #assignOwners(
    keys: readonly string[],
    capacity: number,
  ): Map<string, string> {
    const assigned = new Map<string, Scored[]>();
    const unassigned = keys.map((key) => ({
      key,
      order: this.#scored(key).sort(compareScored),
      next: 0,
    }));
    const byKey = new Map(
      unassigned.map((proposer) => [proposer.key, proposer]),
    );
    for (
      let proposer = unassigned.pop();
      proposer !== undefined;
      proposer = unassigned.pop()
    ) {
      const choice = proposer.order[proposer.next];
      if (choice === undefined) continue;
      proposer.next += 1;
      const accepted = assigned.get(choice.name) ?? [];
      accepted.push({ name: proposer.key, score: choice.score });
      accepted.sort(compareScored);
      assigned.set(choice.name, accepted);
      if (accepted.length <= capacity) continue;
      const rejected = byKey.get(accepted.pop()?.name ?? "");
      if (rejected !== undefined) unassigned.push(rejected);
    }
    const owners = new Map<string, string>();
    for (const [member, accepted] of assigned) {
      for (const { name: key } of accepted) owners.set(key, member);
    }
    return owners;
  }

  #scored(key: string): Scored[] {
    const keyDigest = digestOf(key);
    return this.#members.map((member) => ({
      name: member.name,
      score: this.#scoreOf(keyDigest, member),
    }));
  }
}

/**
 * The members in order of responsibility for a key: the owner, then its
 * substitutes.
 *
 * @example
 * ```ts
 * const [owner] = rendezvous("drafting-llm/0", ["a", "b", "c"]);
 * ```
 */
export function rendezvous(
  key: string,
  names: readonly string[],
): readonly string[] {
  return new Rendezvous(names).order(key);
}

/**
 * Assigns an owner to each key within a load bound; see
 * {@linkcode Rendezvous.owners}.
 *
 * @example
 * ```ts
 * const owners = boundedOwners(shards, names, { loadBound: 1.25 });
 * ```
 */
export function boundedOwners(
  keys: readonly string[],
  names: readonly string[],
  options: { readonly loadBound: number },
): ReadonlyMap<string, string> {
  return new Rendezvous(names).owners(keys, options);
}
