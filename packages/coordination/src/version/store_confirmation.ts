/**
 * Records when the store last confirmed a value.
 *
 * @module
 */
import type { Clock } from "../process/clock.ts";

/**
 * The latest time at which the store is known to have had no newer version than
 * this member. Contact with other members does not prove that: all of them may
 * be cut off from the store.
 */
export class StoreConfirmation {
  readonly #clock: Clock;
  #confirmedAt = -Infinity;
  #isDoubted = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Milliseconds since the last confirmation; infinite without one. */
  get ageMs(): number {
    return this.#clock.monotonic() - this.#confirmedAt;
  }

  /**
   * Whether a member sent a newer version that is invalid. It may be a damaged copy
   * of a valid one, or of none at all; only the store can tell.
   */
  get isDoubted(): boolean {
    return this.#isDoubted;
  }

  /** Records that a member sent a newer version that is invalid. */
  doubt(): void {
    this.#isDoubted = true;
  }

  /** Records an answer of the store itself to a request sent at the given time. */
  recordOwn(at: number): void {
    this.#isDoubted = false;
    this.record(at);
  }

  /** The current time, to pass to {@linkcode StoreConfirmation.record}. */
  now(): number {
    return this.#clock.monotonic();
  }

  /**
   * Records a confirmation, in monotonic milliseconds. For an answer this is
   * when its request was sent, since the answer may have been delayed.
   */
  record(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }
}
