/**
 * Runners that a restored store lists again after they were removed.
 *
 * @module
 */

/**
 * Milliseconds for which a revived runner gets no requests. Whoever wrote to the
 * store before the restore writes again within about two seconds.
 */
const HOLD_MS = 4_000;

/** Holds removed runners out after a restore, until their removal is repeated. */
export class RevivedRunners {
  readonly #released: () => void;
  readonly #timersById = new Map<string, NodeJS.Timeout>();

  /** @param released called when a runner has been listed for long enough. */
  constructor(released: () => void) {
    this.#released = released;
  }

  /** Whether a runner is held out. */
  has(runner: string): boolean {
    return this.#timersById.has(runner);
  }

  /** Holds a runner out for a while. */
  hold(runner: string): void {
    if (this.has(runner)) return;
    const timer = setTimeout(() => {
      this.#timersById.delete(runner);
      this.#released();
    }, HOLD_MS);
    this.#timersById.set(runner, timer.unref());
  }

  /** Ends the hold of a runner that has written its entry again or is removed. */
  forget(runner: string): void {
    clearTimeout(this.#timersById.get(runner));
    this.#timersById.delete(runner);
  }
}
