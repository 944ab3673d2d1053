/**
 * What the work on a request uses of the daemon.
 *
 * @module
 */
import type { BrokenRun } from "../connection/crash_detector.ts";
import type { RunnerConnections } from "../connection/runner_connections.ts";
import type { CrashRecord } from "../process/crash_record.ts";
import type { EventLog } from "../process/event_log.ts";
import type { LimitQueue } from "../process/limit_queue.ts";
import type { Pulse } from "../process/pulse.ts";
import type { PrefixIndex } from "../process/prefix_index.ts";
import type { RetryBudget } from "../process/retry_budget.ts";
import type { StreamPace } from "../process/stream_pace.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { RunnerLimits } from "../process/runner_limits.ts";
import type { Runner } from "../process/runner.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Service, Workspace } from "../version/configuration.ts";
import type { RoutingTable } from "../version/routing_table.ts";
import type { Dialect } from "./dialect.ts";
import type { RunnerFleet } from "./demand.ts";

/** Parts that live as long as the process. */
export interface Daemon {
  readonly dialect: Dialect;
  readonly connections: RunnerConnections;
  readonly log: EventLog;
  readonly loads: RunnerLoads;
  readonly metrics: RequestMetrics;
  readonly prefixes: PrefixIndex;
  /** How much runners say that they take. */
  readonly limits: RunnerLimits;
  /** Requests that end the runners which run them. */
  readonly crashes: CrashRecord;
  /** Wakes requests that wait for room. */
  readonly pulse: Pulse;
  /** Whether new requests are refused, because the process ends soon. */
  readonly closed: boolean;
  /** Steady milliseconds. */
  now(): number;
  /** In [0, 1). */
  random(): number;
  /** The newest configuration; absent until there is one. */
  routingTable(): RoutingTable | undefined;
  /** Runners of a service and what is known of them. */
  fleet(service: string): RunnerFleet;
  /** Milliseconds since the list of runners was last confirmed. */
  runnersAgeMs(): number;
  /** Connections that this daemon may have to one runner of a service. */
  connectionShare(service: Service): number;
  /** Milliseconds in which a change here is known to all other daemons. */
  propagationMs(): number;
  /** A connection to a runner broke while a request was there. */
  reportBrokenConnection(runner: Runner, run: BrokenRun): void;
  /** How fast the runners of a service make tokens. */
  pace(service: string): StreamPace;
  /** Requests that wait until runners of a service take more. */
  limitWaits(service: string): LimitQueue;
  /** A runner has begun a request. */
  requestStarted(subject: { readonly workspace: Workspace | undefined }): void;
  /** Repeats that may be sent to a service. */
  retryBudget(service: string): RetryBudget;
}
