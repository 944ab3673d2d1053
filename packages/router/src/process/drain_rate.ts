/**
 * Rate at which the runners of a service get through requests.
 *
 * @module
 */
import { Decay } from "./decay.ts";

/**
 * Half-life of observations in ms. A daemon of 73 sees a plain response every
 * 1.4 s, of which ten then count.
 */
const HALF_LIFE_MS = 10_000;
/**
 * Weight of observations below which a duration counts as unknown. With fewer, a
 * single long stream would decide whether callers are told to come back.
 */
const MIN_WEIGHT = 3;

/**
 * Time constant in ms of the growth of the requests at runners. At the start of a
 * burst engines take requests for seconds before the first of them ends; without
 * the growth, requests that were about to be started would be refused.
 */
const GROWTH_MS = 700;

const MS_PER_SECOND = 1_000;

/** Decayed sums of the requests of a rank that have ended. */
interface Ends {
  count: number;
  durationMs: number;
}

/**
 * Estimates how many requests of a service are started in a second while all its
 * runners are busy: the requests at runners, as all daemons report them, divided
 * by the mean time that a request spends there, plus their growth. The starts that
 * this daemon sees would not do: a daemon of 73 sees a few a second, and before a
 * burst they state the demand and not the capacity.
 *
 * @example
 * ```ts
 * rate.recordEnd({ rank: 2, durationMs: 43, inFlight: 24 }, now);
 * rate.perSecond({ inFlight: 24, rank: 2 }, now); // 558
 * ```
 */
export class DrainRate {
  readonly #decay = new Decay(HALF_LIFE_MS);
  readonly #ends = new Map<number, Ends>();
  /** Requests at runners, as a decayed mean that lags behind by GROWTH_MS. */
  #level = 0;
  #levelAt = -Infinity;

  /** Records a request that ended after a time at a runner. */
  recordEnd(
    { rank, durationMs, inFlight }: {
      readonly rank: number;
      readonly durationMs: number;
      /** Requests of all daemons that are at the runners now. */
      readonly inFlight: number;
    },
    now: number,
  ): void {
    this.#applyDecay(now);
    this.#growthPerMs(inFlight, now);
    const ends = this.#ends.get(rank) ?? { count: 0, durationMs: 0 };
    ends.count += 1;
    ends.durationMs += durationMs;
    this.#ends.set(rank, ends);
  }

  /**
   * Requests of a rank, and of those before it, that are started in a second;
   * undefined while too little is known.
   */
  perSecond(
    busy: {
      /** Requests of all daemons that are at the runners now. */
      readonly inFlight: number;
      readonly rank: number;
    },
    now: number,
  ): number | undefined {
    this.#applyDecay(now);
    const growthPerMs = this.#growthPerMs(busy.inFlight, now);
    const all = this.#sum(() => true);
    const known = all.count >= MIN_WEIGHT && all.durationMs > 0 &&
      busy.inFlight > 0;
    if (!known) return undefined;
    const before = this.#sum((rank) => rank <= busy.rank);
    // One assumed start keeps the rate of a rank that was not seen above zero.
    const share = (before.count + 1) / (all.count + 1);
    const meanMs = all.durationMs / all.count;
    return share * (busy.inFlight / meanMs + growthPerMs) * MS_PER_SECOND;
  }

  /**
   * Mean time in ms that a request of a rank spends at a runner, or one of any
   * rank where too few are known; undefined while unknown.
   */
  meanMs(rank: number, now: number): number | undefined {
    this.#applyDecay(now);
    const own = this.#sum((other) => other === rank);
    const ends = own.count >= MIN_WEIGHT ? own : this.#sum(() => true);
    return ends.count >= MIN_WEIGHT ? ends.durationMs / ends.count : undefined;
  }

  /** Growth of the requests at runners, per ms; 0 while they become fewer. */
  #growthPerMs(inFlight: number, now: number): number {
    const elapsedMs = now - this.#levelAt;
    const known = elapsedMs < Infinity;
    const growth = known ? inFlight - this.#level : 0;
    const followed = known ? 1 - Math.exp(-elapsedMs / GROWTH_MS) : 1;
    this.#level += followed * (inFlight - this.#level);
    this.#levelAt = now;
    return Math.max(0, growth) / Math.max(GROWTH_MS, elapsedMs);
  }

  #sum(includes: (rank: number) => boolean): Ends {
    const sum = { count: 0, durationMs: 0 };
    for (const [rank, { count, durationMs }] of this.#ends) {
      if (!includes(rank)) continue;
      sum.count += count;
      sum.durationMs += durationMs;
    }
    return sum;
  }

  #applyDecay(now: number): void {
    const factor = this.#decay.remaining(now);
    for (const ends of this.#ends.values()) {
      ends.count *= factor;
      ends.durationMs *= factor;
    }
  }
}
