/**
 * Detection of runner restarts independent of the platform's list.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import type { EngineCache } from "./cache_survey.ts";
import { pause } from "./pause.ts";
import type { Runner } from "./runner.ts";
import type { StatementListener } from "./runner_statements.ts";
import type { RunnerDirectory } from "./runner_directory.ts";

/** Milliseconds between queries to a runner that does not respond. */
const QUERY_INTERVAL_MS = 1_000;
/**
 * Maximum number of queries to one runner. After a longer silence its entry has been
 * removed, or
 * its next entry contains the new start time.
 */
const MAX_QUERIES = 8;
/**
 * Milliseconds for which a confirmation serves other streams, which break off
 * together; a runner takes longer to start again.
 */
const CONFIRMATION_MS = 100;

/** A query that confirmed a start. */
interface Confirmation {
  /** Id of the incarnation. */
  readonly id: string;
  /** When the query was sent, in monotonic ms. */
  readonly askedAt: number;
}

/**
 * Queries a runner's start time after a connection to it has broken. Its new
 * entry may arrive only seconds later. While the store is down or unreachable
 * from this daemon, a runner that crashed and restarted under the same name
 * would keep attracting prompts that it no longer has cached, for up to half a
 * minute.
 *
 * Before a stream continues at a runner, the runner is queried as well: it may have
 * come back with other software, and have had no connection that broke.
 */
export class RestartDetector {
  readonly #cache: EngineCache;
  readonly #directory: RunnerDirectory;
  readonly #log: EventLog;
  readonly #mayQuery: (runner: Runner) => boolean;
  readonly #recordQuery: (runner: Runner) => void;
  readonly #recordStatements: StatementListener;
  /** Ids of runners with a check in progress. */
  readonly #active = new Set<string>();
  /** Confirmations in progress and recent ones, by the id of the runner. */
  readonly #confirmations = new Map<string, Promise<boolean>>();
  /** When the last query was sent that confirmed a start, by the runner's name. */
  readonly #confirmedAt = new Map<string, Confirmation>();

  constructor(
    cache: EngineCache,
    options: {
      readonly directory: RunnerDirectory;
      readonly log: EventLog;
      /**
       * Whether the runner's rate limit allows a query now; counts it if so.
       */
      readonly mayQuery: (runner: Runner) => boolean;
      /** Counts a query for a request that the runner's rate limit has allowed. */
      readonly recordQuery: (runner: Runner) => void;
      readonly recordStatements: StatementListener;
    },
  ) {
    this.#cache = cache;
    this.#mayQuery = options.mayQuery;
    this.#recordQuery = options.recordQuery;
    this.#recordStatements = options.recordStatements;
    this.#directory = options.directory;
    this.#log = options.log;
  }

  /**
   * Checks whether a runner has restarted, after a connection to it has broken
   * during a request. Does nothing for runners that report no start time.
   */
  async check(runner: Runner): Promise<void> {
    if (runner.startedAtMs === undefined || this.#active.has(runner.id)) return;
    this.#active.add(runner.id);
    try {
      for (let queries = 0; queries < MAX_QUERIES; queries++) {
        if (!this.#isListed(runner)) return;
        const answer = this.#mayQuery(runner) && await this.#query(runner);
        if (answer) return;
        await pause(QUERY_INTERVAL_MS, { background: true });
      }
    } finally {
      this.#active.delete(runner.id);
    }
  }

  /**
   * Returns whether a runner confirms within `maxMs` that it has not started again
   * since its entry was written. A runner whose entry has no start time cannot tell.
   * The query is counted, but not subject to the runner's rate limit.
   */
  async confirm(runner: Runner, maxMs: number): Promise<boolean> {
    if (runner.startedAtMs === undefined) return true;
    return await Promise.race([
      this.#confirmation(runner),
      pause(maxMs, { background: true }).then(() => false),
    ]);
  }

  /** Whether a runner has confirmed its start when asked at a time or later. */
  isConfirmedSince({ id, name, startedAtMs }: Runner, since: number): boolean {
    if (startedAtMs === undefined) return true;
    const confirmation = this.#confirmedAt.get(name);
    return confirmation?.id === id && confirmation.askedAt >= since;
  }

  #confirmation(runner: Runner): Promise<boolean> {
    const { id } = runner;
    const known = this.#confirmations.get(id);
    if (known !== undefined) return known;
    const confirmation = this.#askStart(runner);
    this.#confirmations.set(id, confirmation);
    void confirmation
      .then(() => pause(CONFIRMATION_MS, { background: true }))
      .then(() => this.#confirmations.delete(id));
    return confirmation;
  }

  async #askStart(runner: Runner): Promise<boolean> {
    this.#recordQuery(runner);
    const askedAt = performance.now();
    const answer = await this.#query(runner);
    if (answer?.startedAtMs !== runner.startedAtMs) return false;
    this.#forgetUnlisted();
    this.#confirmedAt.set(runner.name, { id: runner.id, askedAt });
    return true;
  }

  #forgetUnlisted(): void {
    const { runners } = this.#directory.list;
    if (this.#confirmedAt.size <= 2 * runners.length) return;
    const names = new Set(runners.map(({ name }) => name));
    for (const name of [...this.#confirmedAt.keys()]) {
      if (!names.has(name)) this.#confirmedAt.delete(name);
    }
  }

  #isListed(runner: Runner): boolean {
    return this.#directory.list.runners.some(({ id }) => id === runner.id);
  }

  /** Returns what the runner has responded, if it has. */
  async #query(
    runner: Runner,
  ): Promise<{ readonly startedAtMs: number | undefined } | undefined> {
    try {
      const startedAtMs = await this.#cache.startTime(
        runner,
        this.#recordStatements,
      );
      if (startedAtMs === undefined) return { startedAtMs };
      this.#log.event("runner_start_checked", {
        runner: runner.id,
        restarted: startedAtMs !== runner.startedAtMs,
      });
      this.#directory.recordStart(runner.name, startedAtMs);
      return { startedAtMs };
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.#log.event("runner_start_check_failed", {
        runner: runner.id,
        reason,
      });
      return undefined;
    }
  }
}
