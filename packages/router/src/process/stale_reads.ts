/**
 * Decides when a daemon reads the store because nobody has confirmed its data.
 *
 * @module
 */

/** Daemons of the whole fleet that read the store in a second in an outage. */
const READERS_PER_S = 20;
/** Minimum of the time over which reads are spread, in ms: over a heartbeat. */
const MIN_SPREAD_MS = 500;
/** Time over which repeated reads of a small fleet are spread, in ms. */
const MAX_SPREAD_MS = 2_000;

/** State of the data, and of the fleet that has it. */
export interface StaleReadInputs {
  readonly now: number;
  /** Time since the store confirmed the data, in ms. */
  readonly ageMs: number;
  /** Age from which the data is stale, in ms. */
  readonly maxAgeMs: number;
  /** Time of the last response of the store to this daemon, in monotonic ms. */
  readonly respondedAt: number;
  /** Time of the last failed call of this daemon to the store, in monotonic ms. */
  readonly failedAt: number;
  /** Time at which the store last confirmed it to another, in monotonic ms. */
  readonly othersAt: number;
  /** Daemons that may read the store at the same time. */
  readonly daemons: number;
}

/**
 * Spreads the reads of a fleet whose data is stale over time, so that few daemons
 * read before the first one has told the others. The reads of a fleet in an outage
 * are bounded: the interval of each daemon grows with the fleet, and for a small
 * one with each read.
 */
export class StaleReads {
  readonly #random: () => number;
  /** Time of the next read while the data is stale. */
  #nextAt: number | undefined;
  /** Time at which the last read began. */
  #readAt: number | undefined;
  #attempts = 0;

  /** @param random returns numbers in [0, 1). */
  constructor(random: () => number) {
    this.#random = random;
  }

  /**
   * Begins a read if one is due.
   *
   * @returns whether the caller is to read the store now.
   */
  begin(inputs: StaleReadInputs): boolean {
    const { now, ageMs, maxAgeMs } = inputs;
    if (ageMs < maxAgeMs) {
      this.#nextAt = undefined;
      this.#attempts = 0;
      return false;
    }
    this.#nextAt ??= now + this.#random() * this.#spreadMs(inputs);
    if (now < this.#nextAt) return false;
    this.#attempts += 1;
    this.#readAt = now;
    this.#nextAt = now + (0.5 + this.#random()) * this.#spreadMs(inputs);
    return true;
  }

  /**
   * Whether to go on after such a read has begun, and to watch the store: it has not
   * failed since the read began or since it last responded, and has confirmed the
   * data to no other daemon since the read began.
   */
  continues({ respondedAt, failedAt, othersAt }: StaleReadInputs): boolean {
    const readAt = this.#readAt;
    if (readAt === undefined || othersAt >= readAt) return false;
    return failedAt < Math.max(readAt, respondedAt);
  }

  /** Time over which the next reads of all daemons are spread, in ms. */
  #spreadMs({ daemons }: StaleReadInputs): number {
    const smallFleetMs = Math.min(
      MAX_SPREAD_MS,
      MIN_SPREAD_MS * 2 ** this.#attempts,
    );
    return Math.max(smallFleetMs, 1_000 * daemons / READERS_PER_S);
  }
}
