/**
 * Collection of the demand for each model over all daemons.
 *
 * @module
 */
import type { Membership, Peers } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import * as Result from "effect/Result";

const CHANNEL = "placement-demand";
const REQUEST_TIMEOUT_MS = 1_000;
const CONCURRENCY = 16;
/** Share of the other daemons that must respond for low demand to be trusted. */
const QUORUM = 0.5;

/** Requests waiting or being served, by model. */
export interface Demand {
  readonly requests: ReadonlyMap<string, number>;
  /** Whether enough daemons responded to trust a low number. */
  readonly hasQuorum: boolean;
}

/** Source of the current demand. */
export interface DemandReader {
  read(): Effect.Effect<Demand>;
}

/** Counts this daemon's requests by model. */
export class LocalDemand {
  readonly #counts = new Map<string, number>();

  /**
   * Counts a request that starts.
   *
   * @returns a function that records its end; later calls have no effect.
   */
  requestStarted(model: string): () => void {
    this.#add(model, 1);
    let counted = true;
    return () => {
      if (!counted) return;
      counted = false;
      this.#add(model, -1);
    };
  }

  counts(): ReadonlyMap<string, number> {
    return this.#counts;
  }

  #add(model: string, change: number): void {
    const count = (this.#counts.get(model) ?? 0) + change;
    if (count === 0) this.#counts.delete(model);
    else this.#counts.set(model, count);
  }
}

/**
 * Sums the counts of all members. Only the holder of a placement lease requests
 * them, once per round, so that only one daemon bears the cost.
 */
export class FleetDemand implements DemandReader {
  readonly #local: LocalDemand;
  readonly #membership: Membership;
  readonly #peers: Peers;

  constructor(dependencies: {
    readonly counter: LocalDemand;
    readonly membership: Membership;
    readonly peers: Peers;
  }) {
    this.#local = dependencies.counter;
    this.#membership = dependencies.membership;
    this.#peers = dependencies.peers;
    this.#peers.handle(
      CHANNEL,
      () => Effect.sync(() => [...this.#local.counts()]),
    );
  }

  read(): Effect.Effect<Demand> {
    const own = this.#membership.self.name;
    const others = this.#membership.view().members
      .map(({ member }) => member.name)
      .filter((name) => name !== own);
    const responses = Effect.forEach(
      others,
      (name) => this.#fetchCounts(name),
      {
        concurrency: CONCURRENCY,
      },
    );
    return Effect.map(responses, (answers) => {
      const received = answers.filter((answer) => answer !== undefined);
      return {
        requests: sumCounts([this.#local.counts(), ...received]),
        hasQuorum: received.length >= others.length * QUORUM,
      };
    });
  }

  #fetchCounts(
    name: string,
  ): Effect.Effect<ReadonlyMap<string, number> | undefined> {
    const message = { channel: CHANNEL, body: null };
    const options = { timeoutMs: REQUEST_TIMEOUT_MS };
    return Effect.map(
      Effect.result(this.#peers.request(name, message, options)),
      (answer) => {
        if (Result.isFailure(answer)) return undefined;
        return parseCounts(answer.success);
      },
    );
  }
}

function parseCounts(body: unknown): ReadonlyMap<string, number> {
  const pairs: readonly unknown[] = Array.isArray(body) ? body : [];
  const counts = new Map<string, number>();
  for (const pair of pairs) {
    if (!Array.isArray(pair)) continue;
    const [model, count] = pair as readonly unknown[];
    if (typeof model !== "string" || typeof count !== "number") continue;
    if (Number.isFinite(count) && count > 0) counts.set(model, count);
  }
  return counts;
}

function sumCounts(
  all: readonly ReadonlyMap<string, number>[],
): ReadonlyMap<string, number> {
  const sum = new Map<string, number>();
  for (const counts of all) {
    for (const [model, count] of counts) {
      sum.set(model, (sum.get(model) ?? 0) + count);
    }
  }
  return sum;
}
