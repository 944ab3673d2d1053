/**
 * Asks engines what they hold, when daemons know nothing.
 *
 * @module
 */
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import type { FleetView } from "./fleet_view.ts";
import type { EventLog } from "./event_log.ts";
import { pause } from "./pause.ts";
import type { PrefixIndex, PromptPart } from "./prefix_index.ts";
import { runnerId } from "./runner.ts";
import type { Runner } from "./runner.ts";

/** What a runner holds. */
export interface CachedParts {
  /** When the life of the runner that answered began, if it tells. */
  readonly startedAtMs: number | undefined;
  readonly parts: readonly PromptPart[];
}

/** Asks runners about themselves. Both calls reject when there is no answer. */
export interface EngineCache {
  /** The parts of prompts in a runner's memory. */
  cachedParts(runner: Runner): Promise<CachedParts>;
  /** When the present life of a runner began, in Unix ms, if it tells. */
  startTime(runner: Runner): Promise<number | undefined>;
}

/**
 * Milliseconds from the start to the survey: by then peers are linked, so each
 * runner is asked by one daemon only.
 */
const SETTLE_MS = 400;

/** Runners that are asked at the same time. */
const AT_ONCE = 16;

/** What a survey reads. */
export interface SurveyedFleet {
  /** Runners that hold prompts. */
  engines(): readonly Runner[];
  /** Daemons that divide them. */
  view(): FleetView;
}

/**
 * One survey at the start of a daemon. When all daemons were killed at once,
 * runners still hold most prompts, but nobody knows which: read again, they
 * cost a second of each engine's time within the first seconds of traffic.
 * Daemons divide the runners and tell each other what they learn.
 */
export class CacheSurvey {
  readonly #memory: EngineCache;
  readonly #prefixes: PrefixIndex;
  readonly #log: EventLog;
  readonly #mayAsk: (runner: Runner) => boolean;

  constructor(
    memory: EngineCache,
    options: {
      readonly prefixes: PrefixIndex;
      readonly log: EventLog;
      /** Whether the runner takes a question now; counts it if so. */
      readonly mayAsk: (runner: Runner) => boolean;
    },
  ) {
    this.#memory = memory;
    this.#prefixes = options.prefixes;
    this.#log = options.log;
    this.#mayAsk = options.mayAsk;
  }

  /** Asks this daemon's part of the runners. */
  async run(fleet: SurveyedFleet): Promise<void> {
    await pause(SETTLE_MS);
    const { own, names } = fleet.view();
    const daemons = new Rendezvous(names);
    const engines = fleet.engines().filter(({ id }) =>
      daemons.first(id, () => true) === own
    );
    const askOne = async () => {
      for (let next = engines.pop(); next !== undefined; next = engines.pop()) {
        if (this.#mayAsk(next)) await this.#ask(next);
      }
    };
    await Promise.all(Array.from({ length: AT_ONCE }, askOne));
  }

  async #ask(runner: Runner): Promise<void> {
    try {
      const { startedAtMs, parts } = await this.#memory.cachedParts(runner);
      // The runner may have started again since it was listed.
      const id = runnerId(runner.name, startedAtMs ?? runner.startedAtMs);
      this.#prefixes.recordHeld(id, parts, performance.now());
      this.#log.event("cache_surveyed", {
        runner: id,
        parts: parts.length,
      });
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.#log.event("cache_survey_failed", { runner: runner.id, reason });
    }
  }
}
