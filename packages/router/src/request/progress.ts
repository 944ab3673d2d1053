/**
 * How far the work on a request is.
 *
 * @module
 */
import type { Caller } from "./caller.ts";
import type { Daemon } from "./daemon.ts";

/** What one exchange knows of itself, for all that takes part in it. */
export class Progress {
  readonly startedAt: number;
  readonly #daemon: Daemon;
  readonly #caller: Caller;
  /** Ids of runners that were tried. */
  readonly triedRunners = new Set<string>();
  /** Tries that may have reached their runners. */
  attempts = 0;
  /** Whether any byte may have reached a runner that did not refuse it. */
  mayHaveRun = false;
  /** Whether the time until the final answer is over. */
  expired = false;
  /** Whether it was taken back from a runner before that began to run it. */
  withdrawn = false;
  /** Steady ms at which it is. */
  expiresAt = Infinity;
  /** The same for each try of the request; known once its body is. */
  fingerprint = "";

  constructor(daemon: Daemon, caller: Caller) {
    this.#daemon = daemon;
    this.#caller = caller;
    this.startedAt = daemon.now();
  }

  /** Whether nobody waits for a runner's answer any more. */
  get abandoned(): boolean {
    return this.expired || this.withdrawn || this.#caller.disconnected;
  }

  /** Milliseconds until the final answer is due. */
  get remainingMs(): number {
    return this.expiresAt - this.#daemon.now();
  }
}
