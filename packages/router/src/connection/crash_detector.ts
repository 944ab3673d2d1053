/**
 * Detects whether a runner has crashed when its responses are interrupted.
 *
 * @module
 */
import type { CrashedRun } from "../process/crash_entry.ts";
import type { CrashRecord } from "../process/crash_record.ts";
import type { EventLog } from "../process/event_log.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerNetwork } from "./runner_network.ts";

/**
 * Delay in ms from the first interrupted response until the runner is probed. The
 * responses to other requests at the runner are interrupted in this time, too.
 */
const PROBE_DELAY_MS = 30;
/** Minimum ms between two probes of a runner that interrupts many responses. */
const PROBE_INTERVAL_MS = 200;
/** Time-out in ms for a live runner to accept a connection. */
const CONNECT_TIMEOUT_MS = 300;
/** Maximum number of fingerprints in a log line. */
const MAX_LOGGED = 8;

/**
 * A request that was at a runner when its connection broke. Its start is that of
 * the response or, without one, the time at which the request was sent.
 */
export type BrokenRun = Pick<CrashedRun, "fingerprint" | "startedAt">;

/**
 * Probes a runner once after its responses were interrupted. The runner has crashed
 * only if it refuses a connection: a response is also interrupted when the
 * network resets its connection, or when the runner fails some of its requests.
 */
export class CrashDetector {
  readonly #log: EventLog;
  readonly #metrics: Pick<RequestMetrics, "runnerCrashed">;
  readonly #record: CrashRecord;
  readonly #network: RunnerNetwork;
  readonly #broken = new Map<string, CrashedRun[]>();
  /** Ids of runners that were probed in the last probe interval. */
  readonly #probed = new Set<string>();

  constructor(options: {
    readonly log: EventLog;
    readonly metrics: Pick<RequestMetrics, "runnerCrashed">;
    /** Receives the requests that were at a crashed runner. */
    readonly record: CrashRecord;
    readonly network: RunnerNetwork;
  }) {
    this.#log = options.log;
    this.#record = options.record;
    this.#network = options.network;
    this.#metrics = options.metrics;
  }

  /**
   * Records a response that was interrupted on the runner's side, and schedules a
   * probe.
   */
  recordBrokenRun(runner: Runner, broken: BrokenRun): void {
    const run = { ...broken, runner: runner.id, endedAt: performance.now() };
    const pending = this.#broken.get(runner.id);
    if (pending !== undefined) {
      pending.push(run);
      return;
    }
    this.#broken.set(runner.id, [run]);
    const delayMs = this.#probed.has(runner.id)
      ? PROBE_INTERVAL_MS
      : PROBE_DELAY_MS;
    setTimeout(() => void this.#probe(runner), delayMs).unref();
  }

  async #probe(runner: Runner): Promise<void> {
    const response = await connectTo(this.#network, runner);
    const crashed = response === "refused";
    const runs = this.#broken.get(runner.id) ?? [];
    this.#broken.delete(runner.id);
    this.#probed.add(runner.id);
    setTimeout(() => this.#probed.delete(runner.id), PROBE_INTERVAL_MS).unref();
    if (crashed) this.#metrics.runnerCrashed(runner.service);
    if (crashed) this.#record.recordCrashes(runs, performance.now());
    const logged = runs.slice(0, MAX_LOGGED).map((run) => run.fingerprint);
    this.#log.event("runner_probed", {
      runner: runner.id,
      service: runner.service,
      ended: crashed,
      response,
      broken_off: runs.length,
      fingerprints: logged.join(","),
    });
  }
}

/** How a runner responded to a new connection. */
type ConnectResponse = "accepted" | "refused" | "failed" | "timeout";

function connectTo(
  network: RunnerNetwork,
  runner: Runner,
): Promise<ConnectResponse> {
  return new Promise((resolve) => {
    const socket = network.connect(runner);
    const settle = (response: ConnectResponse) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(response);
    };
    const timer = setTimeout(() => settle("timeout"), CONNECT_TIMEOUT_MS);
    socket.once("connect", () => settle("accepted"));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      settle(error.code === "ECONNREFUSED" ? "refused" : "failed");
    });
  });
}
