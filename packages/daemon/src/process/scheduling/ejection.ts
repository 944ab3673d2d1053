/**
 * Ejection of runners that fail or are slow, with probes to restore them.
 *
 * @module
 */

const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 8_000;

/** Why a runner is ejected. */
export type EjectionCause = "failure" | "straggler";

/** Ejection state of one runner, with exponential backoff between probes. */
export class Ejection {
  #cause: EjectionCause | undefined;
  #ejectionsInRow = 0;
  #probeAt = 0;
  #probing: string | undefined;

  /** Why the runner is ejected; `undefined` if it is not. */
  get cause(): EjectionCause | undefined {
    return this.#cause;
  }

  /** Ejects the runner; the backoff doubles with each consecutive ejection. */
  eject(cause: EjectionCause, now: number): void {
    this.#cause = cause;
    const backoff = MIN_BACKOFF_MS * 2 ** this.#ejectionsInRow;
    this.#ejectionsInRow = Math.min(this.#ejectionsInRow + 1, 10);
    this.#probeAt = now + Math.min(MAX_BACKOFF_MS, backoff);
    this.#probing = undefined;
  }

  /** Whether a request may be sent to the runner now, possibly as a probe. */
  admits(now: number): boolean {
    if (this.#cause === undefined) return true;
    return this.#probing === undefined && now >= this.#probeAt;
  }

  /** Records a granted request; while the runner is ejected, it is the probe. */
  requestStarted(askId: string): void {
    if (this.#cause !== undefined) this.#probing = askId;
  }

  /** Records the end of a request that gives no evidence of the runner's health. */
  requestEnded(askId: string): void {
    if (this.#probing === askId) this.#probing = undefined;
  }

  /** Ends the ejection after a successful probe. */
  restore(): void {
    this.#cause = undefined;
    this.#ejectionsInRow = 0;
    this.#probing = undefined;
  }
}
