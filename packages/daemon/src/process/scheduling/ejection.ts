/**
 * Takes a runner that fails or lags out of use, and lets it back by probing.
 *
 * @module
 */

const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 8_000;

/** Why a runner is out of use. */
export type EjectionCause = "failure" | "straggler";

/** Whether one runner is in use; if not, when a probe may be sent to it. */
export class Ejection {
  #cause: EjectionCause | undefined;
  #ejectionsInRow = 0;
  #probeAt = 0;
  #probing: string | undefined;

  /** Why the runner is out of use; `undefined` when it is in use. */
  get cause(): EjectionCause | undefined {
    return this.#cause;
  }

  /** Takes the runner out of use, longer with each time in a row. */
  eject(cause: EjectionCause, now: number): void {
    this.#cause = cause;
    const backoff = MIN_BACKOFF_MS * 2 ** this.#ejectionsInRow;
    this.#ejectionsInRow = Math.min(this.#ejectionsInRow + 1, 10);
    this.#probeAt = now + Math.min(MAX_BACKOFF_MS, backoff);
    this.#probing = undefined;
  }

  /** Whether it may be given a request now, be it as a probe. */
  admits(now: number): boolean {
    if (this.#cause === undefined) return true;
    return this.#probing === undefined && now >= this.#probeAt;
  }

  /** A request was given to it; while ejected, that one is the probe. */
  requestStarted(askId: string): void {
    if (this.#cause !== undefined) this.#probing = askId;
  }

  /** A request ended without telling anything of the runner. */
  requestEnded(askId: string): void {
    if (this.#probing === askId) this.#probing = undefined;
  }

  /** The runner was observed to be well: back into use. */
  restore(): void {
    this.#cause = undefined;
    this.#ejectionsInRow = 0;
    this.#probing = undefined;
  }
}
