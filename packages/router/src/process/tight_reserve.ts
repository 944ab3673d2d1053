/**
 * How many engines are reserved for streams with tight gap targets.
 *
 * @module
 */
import { Decay } from "./decay.ts";
import { DecayedMean } from "./decayed_mean.ts";

/** Half-life in ms of what is known of tight streams. */
const HALF_LIFE_MS = 30_000;
/** Half-life in ms of their number, which varies by half within a second. */
const NUMBER_HALF_LIFE_MS = 2_000;
/** Assumed time of a stream at an engine in ms, and prompt tokens to prefill. */
const ASSUMED_DURATION_MS = 1_500;
const ASSUMED_PREFILL_TOKENS = 1_500;
/** Weight of the assumptions, in streams. */
const PRIOR_STREAMS = 4;
/**
 * Share of the slots of reserved engines that tight streams take on average: their
 * rate may double within seconds.
 */
const SLOT_SHARE = 0.5;
/**
 * Share of time in which reserved engines prefill for tight streams. Beyond it,
 * several of their prompts often meet in the time of one event.
 */
const PREFILL_SHARE = 0.2;
/**
 * Time in ms for which fewer engines must do before one is taken out. Prompts
 * move with each change.
 */
const SHRINK_MS = 5_000;
/** Time in ms for which none must be needed before the reserve goes. */
const RELEASE_MS = 1_000;
/** Share of the largest reserve with which one begins: its demand is unknown. */
const FIRST_SHARE = 0.5;
/** Time in ms without a tight stream after which none are expected to arrive. */
const ARRIVAL_MS = 30_000;

/** State of a service on which the size of its reserve is based. */
export interface ReserveInput {
  /** Whether prompts disturb tight streams on most engines. */
  readonly needed: boolean;
  /** Largest size. */
  readonly most: number;
  /** Tight streams in flight, of all daemons. */
  readonly streams: number;
  /** Slots of an engine. */
  readonly slots: number;
  /** Time in ms in which a mean engine prefills a token. */
  readonly msPerToken: number;
}

/**
 * Sizes the reserve of one service by the demand of tight streams: the slots that
 * they take, and the prefill of as many streams as arrive while one is in flight.
 * It grows within seconds and shrinks slowly.
 *
 * Answers a share of 0.3 of all engines that was reserved at any demand: long
 * prompts waited for the others, or filled reserved engines.
 */
export class TightReserve {
  readonly #durationMs = new DecayedMean(HALF_LIFE_MS, {
    mean: ASSUMED_DURATION_MS,
    weight: PRIOR_STREAMS,
  });
  readonly #prefillTokens = new DecayedMean(HALF_LIFE_MS, {
    mean: ASSUMED_PREFILL_TOKENS,
    weight: PRIOR_STREAMS,
  });
  readonly #decay = new Decay(NUMBER_HALF_LIFE_MS);
  /** Decayed mean of the number of tight streams in flight. */
  #streams: number | undefined;
  #size = 0;
  /** Since when a smaller reserve would do. */
  #ampleSince: number | undefined;
  #seenAt: number | undefined;

  /** Records a tight stream that ended after a time at an engine. */
  recordEnd(
    { durationMs, prefillTokens }: {
      readonly durationMs: number;
      readonly prefillTokens: number;
    },
    now: number,
  ): void {
    this.#durationMs.record(durationMs, 1, now);
    this.#prefillTokens.record(prefillTokens, 1, now);
  }

  /** Mean number of prompt tokens that are prefilled for a tight stream. */
  prefillTokens(now: number): number {
    return this.#prefillTokens.mean(now);
  }

  /** Whether tight streams arrive at the service. */
  arriving(now: number): boolean {
    return this.#seenAt === undefined || now - this.#seenAt < ARRIVAL_MS;
  }

  /** Decides on the number of reserved engines; called once a second. */
  size(input: ReserveInput, now: number): number {
    if (input.streams > 0 || this.#seenAt === undefined) this.#seenAt = now;
    const kept = this.#decay.remaining(now);
    this.#streams = kept * (this.#streams ?? input.streams) +
      (1 - kept) * input.streams;
    const wanted = this.#wanted(input, this.#streams, now);
    const size = this.#size === 0 && wanted > 0
      ? Math.ceil(FIRST_SHARE * input.most)
      : this.#size;
    if (wanted >= size) {
      this.#size = Math.min(wanted, input.most);
      this.#ampleSince = undefined;
      return this.#size;
    }
    this.#ampleSince ??= now;
    const ampleMs = now - this.#ampleSince;
    this.#size = Math.min(size, input.most);
    if (wanted === 0) {
      if (ampleMs >= RELEASE_MS) this.#size = 0;
    } else if (ampleMs >= SHRINK_MS) this.#size -= 1;
    return this.#size;
  }

  #wanted(
    { needed, most, slots, msPerToken }: ReserveInput,
    streams: number,
    now: number,
  ): number {
    if (!needed || most === 0) return 0;
    const prefillMs = this.prefillTokens(now) * msPerToken;
    const prefilling = streams * prefillMs / this.#durationMs.mean(now);
    const engines = Math.max(
      streams / (SLOT_SHARE * slots),
      prefilling / PREFILL_SHARE,
    );
    return Math.min(most, Math.max(1, Math.ceil(engines)));
  }
}
