/**
 * `bench claims`: what claims cost the store and the request, by their rate.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import * as Effect from "effect/Effect";
import { ClaimFleet } from "./claims_fleet.ts";
import type { Experiment } from "./experiment.ts";
import { quantile, round } from "./report.ts";

const TICK_MS = 5;
const MS_PER_SECOND = 1_000;
const BYTES_PER_KB = 1_000;
const DIGEST = "a digest of the body";

/** What was measured at one rate. */
interface RateResult {
  /** Requests that came a second, each with a key of its own. */
  readonly requestsPerSecond: number;
  readonly claimed: number;
  readonly notClaimed: number;
  readonly claimsPerSecond: number;
  readonly storeWritesPerSecond: number;
  readonly storeReadsPerSecond: number;
  /** Bytes of values written to the store, in thousands. */
  readonly storeWrittenKbPerSecond: number;
  /** Calls that the store refused for exceeding its rate. */
  readonly limited: number;
  /** Time that the claim adds to the request, in milliseconds. */
  readonly addedMs: { readonly p50: number; readonly p99: number };
}

/** Claims made at one rate, and their times. */
class RateRun {
  readonly #fleet: ClaimFleet;
  readonly #answer: Uint8Array;
  readonly #name: string;
  readonly #addedMs: number[] = [];
  readonly #underWay: Promise<void>[] = [];
  claimed = 0;
  notClaimed = 0;

  constructor(
    fleet: ClaimFleet,
    options: { readonly name: string; readonly answerBytes: number },
  ) {
    this.#fleet = fleet;
    this.#name = options.name;
    this.#answer = new Uint8Array(options.answerBytes);
  }

  get addedMs(): readonly number[] {
    return this.#addedMs;
  }

  /** Sends at the rate whatever the answers, as callers do. */
  async send(rate: number, seconds: number): Promise<void> {
    const startedAt = performance.now();
    const total = rate * seconds;
    await new Promise<void>((done) => {
      const timer = setInterval(() => {
        const elapsed = (performance.now() - startedAt) / MS_PER_SECOND;
        const due = Math.min(total, Math.floor(elapsed * rate));
        while (this.#underWay.length < due) this.#underWay.push(this.#claim());
        if (this.#underWay.length < total) return;
        clearInterval(timer);
        done();
      }, TICK_MS);
    });
    await Promise.all(this.#underWay);
  }

  async #claim(): Promise<void> {
    const key = `${this.#name}/${this.#underWay.length}`;
    const startedAt = performance.now();
    const outcome = await Effect.runPromise(Effect.match(
      this.#fleet.next().claim(key, { digest: DIGEST }),
      { onFailure: () => undefined, onSuccess: (made) => made },
    ));
    this.#addedMs.push(performance.now() - startedAt);
    if (outcome?._tag !== "Claimed") {
      this.notClaimed += 1;
      return;
    }
    this.claimed += 1;
    const answer = { status: 200, headers: [], body: this.#answer };
    await Effect.runPromise(
      outcome.claim.settle({ _tag: "Answered", answer }),
    );
  }
}

async function measure(
  fleet: ClaimFleet,
  options: {
    readonly rate: number;
    readonly seconds: number;
    readonly answerBytes: number;
  },
): Promise<RateResult> {
  const { rate, seconds, answerBytes } = options;
  const run = new RateRun(fleet, { name: randomUUID(), answerBytes });
  const before = await fleet.calls();
  const bytesBefore = fleet.writtenBytes;
  const startedAt = performance.now();
  await run.send(rate, seconds);
  await fleet.drain();
  const took = (performance.now() - startedAt) / MS_PER_SECOND;
  const after = await fleet.calls();
  const reads = after.reads + after.lists - before.reads - before.lists;
  return {
    requestsPerSecond: rate,
    claimed: run.claimed,
    notClaimed: run.notClaimed,
    claimsPerSecond: run.claimed / took,
    storeWritesPerSecond: (after.writes - before.writes) / took,
    storeReadsPerSecond: reads / took,
    storeWrittenKbPerSecond: (fleet.writtenBytes - bytesBefore) / took /
      BYTES_PER_KB,
    limited: after.limited - before.limited,
    addedMs: {
      p50: quantile(run.addedMs, 0.5) ?? NaN,
      p99: quantile(run.addedMs, 0.99) ?? NaN,
    },
  };
}

function ratesOf(text: string): readonly number[] {
  const rates = text.split(",").map(Number);
  if (rates.every((rate) => rate > 0)) return rates;
  throw new RangeError(
    `Cannot use option "rates": expected numbers over 0, got "${text}"`,
  );
}

/** Measures claims at several rates, one after the other. */
export const experiment: Experiment = {
  name: "claims",
  summary: "Measure what claims cost the store and the request",
  options: [
    {
      name: "rates",
      summary: "requests a second, by commas",
      fallback: "10,50,200,500,1000,2000",
    },
    { name: "seconds", summary: "length of each rate", fallback: 10 },
    { name: "members", summary: "members that claim", fallback: 3 },
    {
      name: "partitions",
      summary: "partitions of the keys; 0 for the default",
      fallback: 0,
    },
    { name: "answerBytes", summary: "size of kept answers", fallback: 200 },
  ],
  async run(settings) {
    const rates = ratesOf(settings.text("rates"));
    const seconds = settings.number("seconds");
    const answerBytes = settings.number("answerBytes");
    const members = settings.number("members");
    const partitions = settings.number("partitions");
    const fleet = await ClaimFleet.start(
      members,
      partitions === 0 ? {} : { partitions },
    );
    try {
      // The first claims read the partitions, which later ones need not.
      await measure(fleet, { rate: 100, seconds: 1, answerBytes });
      const results: RateResult[] = [];
      for (const rate of rates) {
        results.push(await measure(fleet, { rate, seconds, answerBytes }));
      }
      return {
        result: { members, seconds, rates: results },
        grids: [gridOf(results)],
      };
    } finally {
      await fleet.close();
    }
  },
};

function gridOf(results: readonly RateResult[]) {
  return {
    columns: [
      "REQUESTS/S",
      "CLAIMS/S",
      "WRITES/S",
      "READS/S",
      "KB/S",
      "P50",
      "P99",
    ],
    rows: results.map((each) => [
      round(each.requestsPerSecond),
      round(each.claimsPerSecond, 1),
      round(each.storeWritesPerSecond, 1),
      round(each.storeReadsPerSecond, 1),
      round(each.storeWrittenKbPerSecond, 0),
      `${round(each.addedMs.p50, 1)}ms`,
      `${round(each.addedMs.p99, 1)}ms`,
    ]),
  };
}
