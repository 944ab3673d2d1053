/**
 * Rendezvous hashing: which member is responsible for what.
 *
 * Every process with the same members gets the same answer without asking
 * anyone. When a member comes or goes, only what it takes over or leaves moves.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** 64 bits of a name's SHA-256, in two halves. */
interface Digest {
  readonly high: number;
  readonly low: number;
}

interface Scored {
  readonly name: string;
  readonly score: number;
}

const BITS_OF_HIGH = 21;
const LOW_RANGE = 2 ** 32;

/** Members whose digests are remembered, some 100 bytes each. */
const MAX_DIGESTS = 8_192;
const memberDigests = new Map<string, Digest>();

function digestOf(text: string): Digest {
  const bytes = createHash("sha256").update(text).digest();
  return { high: bytes.readUInt32BE(0), low: bytes.readUInt32BE(4) };
}

/** Lists of members change often, by one or two members. */
function memberDigestOf(name: string): Digest {
  const known = memberDigests.get(name);
  if (known !== undefined) return known;
  if (memberDigests.size >= MAX_DIGESTS) memberDigests.clear();
  const digest = digestOf(name);
  memberDigests.set(name, digest);
  return digest;
}

/** The finalizer of MurmurHash3: each bit of the input changes half of the output. */
function mix(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * How well a member suits a key, 53 bits. One SHA-256 for each name and each
 * key, joined by a cheap mix for each pair: a SHA-256 for each pair would take
 * seconds for thousands of keys and hundreds of members, at each change of the
 * view.
 */
function scoreOf(key: Digest, member: Digest): number {
  const high = mix(key.high ^ member.low);
  const low = mix((key.low ^ member.high) + high | 0);
  return (high >>> (32 - BITS_OF_HIGH)) * LOW_RANGE + low;
}

function better(one: Scored, other: Scored): number {
  return other.score - one.score || (one.name < other.name ? -1 : 1);
}

/** Members of one moment, hashed once for many keys. */
export class Rendezvous {
  readonly #members: readonly { readonly name: string; readonly of: Digest }[];

  /** @param names of the members; their order does not matter. */
  constructor(names: readonly string[]) {
    this.#members = names.map((name) => ({ name, of: memberDigestOf(name) }));
  }

  /**
   * The members in the order in which they are responsible for a key.
   *
   * @example
   * ```ts
   * const [owner, substitute] = new Rendezvous(names).order("drafting-llm/0");
   * ```
   */
  order(key: string): readonly string[] {
    return this.#scored(key).sort(better).map(({ name }) => name);
  }

  /**
   * The first of {@linkcode order} that is accepted. It takes one pass instead of
   * a sort, for those who ask for each request.
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
    const of = digestOf(key);
    let best: Scored | undefined;
    for (const member of this.#members) {
      if (!accepts(member.name)) continue;
      const scored = { name: member.name, score: scoreOf(of, member.of) };
      if (best === undefined || better(scored, best) < 0) best = scored;
    }
    return best?.name;
  }

  /**
   * Gives each key an owner, so that no member owns more than `loadBound` times
   * the mean, rounded up. A key whose first member is full goes to the next one
   * in its order that it suits better than another key there does; which keys
   * stay is decided by their scores and not by their order, so a change of one
   * member or key moves few others.
   *
   * @returns the owner of each key; empty when there are no members.
   * @throws {RangeError} when the bound is under 1, which leaves keys unowned.
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
      throw new RangeError(`Cannot bound load by ${loadBound}: it is under 1`);
    }
    if (this.#members.length === 0) return new Map();
    const distinct = [...new Set(keys)];
    const mean = distinct.length / this.#members.length;
    return this.#match(distinct, Math.ceil(loadBound * mean));
  }

  /**
   * Deferred acceptance (Gale and Shapley, 1962). Both sides rank by the same
   * scores, so there is one stable outcome, whatever the order of proposals.
   */
  #match(keys: readonly string[], capacity: number): Map<string, string> {
    const held = new Map<string, Scored[]>();
    const waiting = keys.map((key) => ({
      key,
      order: this.#scored(key).sort(better),
      next: 0,
    }));
    const byKey = new Map(waiting.map((proposer) => [proposer.key, proposer]));
    for (let it = waiting.pop(); it !== undefined; it = waiting.pop()) {
      const choice = it.order[it.next];
      if (choice === undefined) continue;
      it.next += 1;
      const holding = held.get(choice.name) ?? [];
      holding.push({ name: it.key, score: choice.score });
      holding.sort(better);
      held.set(choice.name, holding);
      if (holding.length <= capacity) continue;
      const rejected = byKey.get(holding.pop()?.name ?? "");
      if (rejected !== undefined) waiting.push(rejected);
    }
    const owners = new Map<string, string>();
    for (const [member, holding] of held) {
      for (const { name: key } of holding) owners.set(key, member);
    }
    return owners;
  }

  #scored(key: string): Scored[] {
    const of = digestOf(key);
    return this.#members.map((member) => ({
      name: member.name,
      score: scoreOf(of, member.of),
    }));
  }
}

/**
 * The members in the order in which they are responsible for a key: the owner,
 * then its substitutes.
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
 * Gives each key an owner within a load bound; see {@linkcode Rendezvous.owners}.
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
