/**
 * Finding out whether a runner has ended when it breaks off answers.
 *
 * @module
 */
import { connect } from "node:net";
import type { CrashedRun } from "../process/crash_entry.ts";
import type { CrashRecord } from "../process/crash_record.ts";
import type { EventLog } from "../process/event_log.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";

/**
 * Milliseconds from the first answer that breaks off until the runner is looked
 * at: those of the other requests there break off in this time, too.
 */
const LOOK_AFTER_MS = 30;
/** Milliseconds between two looks at a runner that breaks off many answers. */
const LOOK_AGAIN_MS = 200;
/** Milliseconds for a runner that lives to take a connection. */
const CONNECT_MS = 300;
/** Fingerprints that a line of the log names. */
const MAX_NAMED = 8;

/**
 * A request that was at a runner when its connection broke. It began when its
 * answer did or, without one, when it was sent.
 */
export type BrokenRun = Pick<CrashedRun, "fingerprint" | "startedAt">;

/**
 * Looks at a runner once after answers of it broke off. Only one that refuses a
 * connection has ended: a single answer also breaks off where a connection has
 * been reset on its way, or when a runner fails part of its requests.
 */
export class CrashDetector {
  readonly #log: EventLog;
  readonly #metrics: Pick<RequestMetrics, "runnerEnded">;
  readonly #record: CrashRecord;
  readonly #broken = new Map<string, CrashedRun[]>();
  /** Ids of runners that were looked at a moment ago. */
  readonly #seen = new Set<string>();

  constructor(options: {
    readonly log: EventLog;
    readonly metrics: Pick<RequestMetrics, "runnerEnded">;
    /** Told of the requests that were at a runner which has ended. */
    readonly record: CrashRecord;
  }) {
    this.#log = options.log;
    this.#record = options.record;
    this.#metrics = options.metrics;
  }

  /** An answer of the runner broke off, and not by this daemon. */
  recordBrokenRun(runner: Runner, broken: BrokenRun): void {
    const run = { ...broken, runner: runner.id, endedAt: performance.now() };
    const known = this.#broken.get(runner.id);
    if (known !== undefined) {
      known.push(run);
      return;
    }
    this.#broken.set(runner.id, [run]);
    const waitMs = this.#seen.has(runner.id) ? LOOK_AGAIN_MS : LOOK_AFTER_MS;
    setTimeout(() => void this.#look(runner), waitMs).unref();
  }

  async #look(runner: Runner): Promise<void> {
    const ended = await refusesConnections(runner);
    const runs = this.#broken.get(runner.id) ?? [];
    this.#broken.delete(runner.id);
    this.#seen.add(runner.id);
    setTimeout(() => this.#seen.delete(runner.id), LOOK_AGAIN_MS).unref();
    if (ended) this.#metrics.runnerEnded(runner.service);
    if (ended) this.#record.recordCrashes(runs, performance.now());
    const named = runs.slice(0, MAX_NAMED).map((each) => each.fingerprint);
    this.#log.event("runner_probed", {
      runner: runner.id,
      service: runner.service,
      ended,
      broken_off: runs.length,
      fingerprints: named.join(","),
    });
  }
}

function refusesConnections({ address, port }: Runner): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: address, port });
    const decide = (refused: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(refused);
    };
    const timer = setTimeout(() => decide(false), CONNECT_MS);
    socket.once("connect", () => decide(false));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      decide(error.code === "ECONNREFUSED");
    });
  });
}
