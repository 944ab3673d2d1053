/**
 * Survey of the engines' prompt caches when a daemon starts.
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
import type { StatementListener } from "./runner_statements.ts";

/** Prompt cache of a runner. */
export interface CachedParts {
  /** Start of the incarnation that responded, in Unix ms, if reported. */
  readonly startedAtMs: number | undefined;
  readonly parts: readonly PromptPart[];
}

/**
 * Queries runners. Both calls reject if the runner does not respond, and pass
 * what a response states to the listener.
 */
export interface EngineCache {
  /** Returns the prompt parts in a runner's cache. */
  cachedParts(
    runner: Runner,
    listener: StatementListener,
  ): Promise<CachedParts>;
  /**
   * Returns the start of a runner's incarnation in Unix ms, if it reports it.
   */
  startTime(
    runner: Runner,
    listener: StatementListener,
  ): Promise<number | undefined>;
}

/**
 * Milliseconds from the start to the survey: by then peers are connected, so
 * that each runner is queried by one daemon only.
 */
const SURVEY_DELAY_MS = 400;

/** Runners queried concurrently. */
const MAX_CONCURRENT = 16;

/** The fleet to be surveyed. */
export interface SurveyedFleet {
  /** Runners with a prompt cache. */
  engines(): readonly Runner[];
  /** Daemons among which the runners are divided. */
  view(): FleetView;
}

/**
 * Queries the caches of runners once, at the start of a daemon. After all
 * daemons were killed at once, runners still have most prompts cached, but no
 * daemon knows which: prefilling them again would cost a second of each
 * engine's time within the first seconds of traffic. Daemons divide the runners
 * among themselves and exchange the results.
 */
export class CacheSurvey {
  readonly #cache: EngineCache;
  readonly #prefixes: PrefixIndex;
  readonly #log: EventLog;
  readonly #mayQuery: (runner: Runner) => boolean;
  readonly #recordStatements: StatementListener;

  constructor(
    cache: EngineCache,
    options: {
      readonly prefixes: PrefixIndex;
      readonly log: EventLog;
      /**
       * Whether the runner's rate limit allows a query now; counts it if so.
       */
      readonly mayQuery: (runner: Runner) => boolean;
      readonly recordStatements: StatementListener;
    },
  ) {
    this.#cache = cache;
    this.#prefixes = options.prefixes;
    this.#log = options.log;
    this.#mayQuery = options.mayQuery;
    this.#recordStatements = options.recordStatements;
  }

  /** Queries this daemon's share of the runners. */
  async run(fleet: SurveyedFleet): Promise<void> {
    await pause(SURVEY_DELAY_MS);
    const { own, names } = fleet.view();
    const daemons = new Rendezvous(names);
    const engines = fleet.engines().filter(({ id }) =>
      daemons.first(id, () => true) === own
    );
    const queryNext = async () => {
      for (let next = engines.pop(); next !== undefined; next = engines.pop()) {
        if (this.#mayQuery(next)) await this.#query(next);
      }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT }, queryNext));
  }

  async #query(runner: Runner): Promise<void> {
    try {
      const { startedAtMs, parts } = await this.#cache.cachedParts(
        runner,
        this.#recordStatements,
      );
      // The runner may have restarted since it was listed.
      const id = runnerId(runner.name, startedAtMs ?? runner.startedAtMs);
      this.#prefixes.recordCached(id, parts, performance.now());
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
