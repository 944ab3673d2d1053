/**
 * Noticing that a runner has started again, without the platform's word.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import type { EngineCache } from "./cache_survey.ts";
import { pause } from "./pause.ts";
import type { Runner } from "./runner.ts";
import type { RunnerDirectory } from "./runner_directory.ts";

/** Milliseconds between two questions to a runner that does not answer. */
const AGAIN_MS = 1_000;
/**
 * Questions to one runner. One that is silent for longer has lost its entry by
 * then, or says with its next one when it began.
 */
const MOST_QUESTIONS = 8;

/**
 * Asks a runner when it began, after a connection to it has broken. Its entry may
 * tell the same only seconds later: while the store is down, or this daemon is
 * cut off from it, a runner that crashed and came back under its name would keep
 * drawing prompts that it no longer holds, for up to half a minute.
 */
export class RestartDetector {
  readonly #memory: EngineCache;
  readonly #directory: RunnerDirectory;
  readonly #log: EventLog;
  readonly #mayAsk: (runner: Runner) => boolean;
  /** Ids of runners that are being asked. */
  readonly #asked = new Set<string>();

  constructor(
    memory: EngineCache,
    options: {
      readonly directory: RunnerDirectory;
      readonly log: EventLog;
      /** Whether the runner takes a question now; counts it if so. */
      readonly mayAsk: (runner: Runner) => boolean;
    },
  ) {
    this.#memory = memory;
    this.#mayAsk = options.mayAsk;
    this.#directory = options.directory;
    this.#log = options.log;
  }

  /**
   * A connection to the runner has broken while it had a request. Does nothing
   * for runners that do not tell when they began.
   */
  async check(runner: Runner): Promise<void> {
    if (runner.startedAtMs === undefined || this.#asked.has(runner.id)) return;
    this.#asked.add(runner.id);
    try {
      for (let asked = 0; asked < MOST_QUESTIONS; asked++) {
        if (!this.#isListed(runner)) return;
        if (this.#mayAsk(runner) && await this.#ask(runner)) return;
        await pause(AGAIN_MS, { background: true });
      }
    } finally {
      this.#asked.delete(runner.id);
    }
  }

  #isListed(runner: Runner): boolean {
    return this.#directory.list.runners.some(({ id }) => id === runner.id);
  }

  /** @returns whether the runner has answered. */
  async #ask(runner: Runner): Promise<boolean> {
    try {
      const startedAtMs = await this.#memory.startTime(runner);
      if (startedAtMs === undefined) return true;
      this.#log.event("runner_start_checked", {
        runner: runner.id,
        restarted: startedAtMs !== runner.startedAtMs,
      });
      this.#directory.recordStart(runner.name, startedAtMs);
      return true;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.#log.event("runner_start_check_failed", {
        runner: runner.id,
        reason,
      });
      return false;
    }
  }
}
