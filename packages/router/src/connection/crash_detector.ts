/**
 * Detects whether a runner has crashed when its responses are interrupted.
 *
 * @module
 */
import { inBackground } from "../process/background.ts";
import type { CrashRecord } from "../process/crash_record.ts";
import type { EventLog } from "../process/event_log.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import { isPart } from "../process/suspect.ts";
import type { Suspect } from "../process/suspect.ts";
import type {
  Path,
  PeerVerdict,
  RunnerPaths,
} from "../process/runner_paths.ts";
import type { RunnerNetwork } from "./runner_network.ts";
import { connectTo } from "./runner_probe.ts";
import type { ConnectResult } from "./runner_probe.ts";

/**
 * Delay in ms from the first interrupted response until the runner is probed. The
 * responses to other requests at the runner are interrupted in this time, too.
 */
const PROBE_DELAY_MS = 30;
/** Minimum ms between two probes of a runner that interrupts many responses. */
const PROBE_INTERVAL_MS = 200;
/** Maximum number of fingerprints, and of parts of prompts, in a log line. */
const MAX_LOGGED = 8;

/**
 * A request that was at a runner when its connection broke. Its start is that of
 * the response or, without one, the time at which the request was sent.
 */
export interface BrokenRun {
  /** The request, and the parts of its prompt that others may share. */
  readonly suspects: readonly Suspect[];
  /** Monotonic ms. */
  readonly startedAt: number;
}

/** Whether a runner has crashed, and how that was found out. */
interface RunnerCheck {
  readonly path: Path;
  /** How its address answered a new connection, or what peers say of it. */
  readonly response: ConnectResult | PeerVerdict;
  readonly crashed: boolean;
}

interface EndedRun extends BrokenRun {
  /** Monotonic ms. */
  readonly endedAt: number;
}

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
  readonly #paths: Pick<RunnerPaths, "pathTo" | "check" | "askPeers">;
  readonly #broken = new Map<string, EndedRun[]>();
  /** Ids of runners that were probed in the last probe interval. */
  readonly #probed = new Set<string>();

  constructor(options: {
    readonly log: EventLog;
    readonly metrics: Pick<RequestMetrics, "runnerCrashed">;
    /** Receives the requests that were at a crashed runner. */
    readonly record: CrashRecord;
    readonly network: RunnerNetwork;
    readonly paths: Pick<RunnerPaths, "pathTo" | "check" | "askPeers">;
  }) {
    this.#log = options.log;
    this.#record = options.record;
    this.#network = options.network;
    this.#paths = options.paths;
    this.#metrics = options.metrics;
  }

  /**
   * Records a response that was interrupted on the runner's side, and schedules a
   * probe.
   */
  recordBrokenRun(runner: Runner, broken: BrokenRun): void {
    const run = { ...broken, endedAt: performance.now() };
    const pending = this.#broken.get(runner.id);
    if (pending !== undefined) {
      pending.push(run);
      return;
    }
    this.#broken.set(runner.id, [run]);
    const delayMs = this.#probed.has(runner.id)
      ? PROBE_INTERVAL_MS
      : PROBE_DELAY_MS;
    setTimeout(() => {
      const name = "crash_probe";
      inBackground(this.#probe(runner), { name, log: this.#log });
    }, delayMs).unref();
  }

  /**
   * Finds out whether a runner has crashed: whether its address refuses connections. If
   * it does so to this daemon only, the path is to blame.
   */
  async #check(runner: Runner): Promise<RunnerCheck> {
    if (this.#paths.pathTo(runner) === "tunnel") {
      const response = await this.#paths.askPeers(runner);
      return { path: "tunnel", response, crashed: response === "refused" };
    }
    const response = await connectTo(this.#network, runner);
    const pathLost = response !== "accepted" && await this.#paths.check(runner);
    const crashed = response === "refused" && !pathLost;
    return { path: "direct", response, crashed };
  }

  async #probe(runner: Runner): Promise<void> {
    const { crashed, response, path } = await this.#check(runner);
    const runs = this.#broken.get(runner.id) ?? [];
    this.#broken.delete(runner.id);
    this.#probed.add(runner.id);
    setTimeout(() => this.#probed.delete(runner.id), PROBE_INTERVAL_MS).unref();
    if (crashed) this.#metrics.runnerCrashed(runner.service);
    const suspected = runs.flatMap(({ suspects, ...times }) =>
      suspects.map((suspect) => ({ suspect, runner: runner.id, ...times }))
    );
    if (crashed) this.#record.recordCrashes(suspected, performance.now());
    const [parts, fingerprints] = partition(
      new Set(suspected.map(({ suspect }) => suspect)),
      isPart,
    );
    this.#log.event("runner_probed", {
      runner: runner.id,
      service: runner.service,
      ended: crashed,
      path,
      response,
      broken_off: runs.length,
      fingerprints: fingerprints.slice(0, MAX_LOGGED).join(","),
      parts: parts.slice(0, MAX_LOGGED).join(","),
    });
  }
}

/** Splits items into those that meet a condition, and the others. */
function partition<Item>(
  items: Iterable<Item>,
  meets: (item: Item) => boolean,
): readonly [meeting: readonly Item[], others: readonly Item[]] {
  const all = [...items];
  return [all.filter(meets), all.filter((item) => !meets(item))];
}
