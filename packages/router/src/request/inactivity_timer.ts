/**
 * A timer for something that should be heard.
 *
 * @module
 */

/** Calls back when nothing was heard for as long as was last expected. */
export class InactivityTimer {
  readonly #onSilent: () => void;
  #timer: NodeJS.Timeout | undefined;
  #deadline = 0;

  constructor(onSilent: () => void) {
    this.#onSilent = onSilent;
  }

  /** Expects something within a time, from now on. */
  restart(ms: number): void {
    this.#deadline = performance.now() + ms;
    this.#timer ??= setTimeout(() => this.#check(), ms);
  }

  /** Expects nothing any more. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #check(): void {
    const left = this.#deadline - performance.now();
    if (left <= 0) return this.#onSilent();
    this.#timer = setTimeout(() => this.#check(), left);
  }
}
