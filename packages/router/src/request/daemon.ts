/**
 * The services of the daemon that request handling depends on.
 *
 * @module
 */
import type { BrokenRun } from "../connection/crash_detector.ts";
import type { RunnerLife } from "../connection/life_detector.ts";
import type { RunnerConnections } from "../connection/runner_connections.ts";
import type { TunnelPeers } from "../connection/tunnel_peers.ts";
import type { BrittleServices } from "../process/brittle_services.ts";
import type { BufferBudget } from "../process/buffer_budget.ts";
import type { DataAges } from "../process/data_ages.ts";
import type { CrashRecord } from "../process/crash_record.ts";
import type { DrainRate } from "../process/drain_rate.ts";
import type {
  PossibleOrigin,
  VersionConfirmation,
} from "../process/confirmed_versions.ts";
import type { SoftwareVersions } from "../process/software_versions.ts";
import type { StreamOrigins } from "../process/stream_origins.ts";
import type { ReturnPlaces } from "../process/return_places.ts";
import type { RunnerStatements } from "../process/runner_statements.ts";
import type { EventLog } from "../process/event_log.ts";
import type { LimitQueue } from "../process/limit_queue.ts";
import type { ShareOrder } from "../process/share_order.ts";
import type { SharedTimer } from "../process/shared_timer.ts";
import type { PlainCapacity } from "../process/plain_capacity.ts";
import type { PrefixIndex } from "../process/prefix_index.ts";
import type { RequestBudget } from "../process/request_budget.ts";
import type { RetryBudget } from "../process/retry_budget.ts";
import type { Path, RunnerPaths } from "../process/runner_paths.ts";
import type { RunnerReachability } from "../process/runner_reachability.ts";
import type { RunnerPace } from "../process/runner_pace.ts";
import type { RunnerPaces } from "../process/runner_paces.ts";
import type { SchedulingMode } from "../process/scheduling_mode.ts";
import type { StreamPace } from "../process/stream_pace.ts";
import type { WorkspaceShares } from "../process/workspace_shares.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { RunnerLimits } from "../process/runner_limits.ts";
import type { RunnerPauses } from "../process/runner_pauses.ts";
import type { RunnerRestrictions } from "../process/runner_restrictions.ts";
import type { Runner } from "../process/runner.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Service, Workspace } from "../version/configuration.ts";
import type { RoutingTable } from "../version/routing_table.ts";
import type { Dialect } from "./dialect.ts";
import type { RunnerFleet } from "./demand.ts";

/** Services that exist for the lifetime of the process. */
export interface Daemon {
  readonly dialect: Dialect;
  readonly connections: RunnerConnections;
  readonly log: EventLog;
  readonly loads: RunnerLoads;
  readonly metrics: RequestMetrics;
  readonly prefixes: PrefixIndex;
  /** Rate limits that runners state. */
  readonly limits: RunnerLimits;
  /** Pauses that runners ask this daemon for. */
  readonly pauses: RunnerPauses;
  /** Services whose runners fall over when they reject too much. */
  readonly brittle: BrittleServices;
  /** Rate limits and pauses, as they are checked before a request is sent. */
  readonly restrictions: RunnerRestrictions;
  /** The services whose requests are scheduled adaptively. */
  readonly scheduling: SchedulingMode;
  /** When runners last responded to this daemon. */
  readonly reachability: RunnerReachability;
  /** How requests reach the runners. */
  readonly paths: RunnerPaths;
  /** Peers by way of which runners are reached. */
  readonly tunnels: Pick<TunnelPeers, "recordUnanswered">;
  /** Observed pace of runners, where scheduling is adaptive. */
  readonly paces: RunnerPaces;
  /** Recent cost of requests by workspace. */
  readonly shares: WorkspaceShares;
  /** Order of waiting requests by the shares of their workspaces. */
  readonly shareOrder: ShareOrder;
  /** Requests that crash the runners on which they run. */
  readonly crashes: CrashRecord;
  /** Places of refused requests whose callers may return. */
  readonly places: ReturnPlaces;
  /** Where streams began that callers may resume. */
  readonly origins: Pick<StreamOrigins, "begin" | "find" | "ask">;
  /** Software versions at which runners have served. */
  readonly softwareVersions: Pick<SoftwareVersions, "isMixed">;
  /** Budget of the memory of open requests. */
  readonly requests: RequestBudget;
  /** Budget of the bytes that are buffered. */
  readonly buffers: BufferBudget;
  /** Whether what the caller of a stream does not read is buffered. */
  readonly holdsStreams: boolean;
  /** Wakes requests that wait for capacity. */
  readonly sharedTimer: SharedTimer;
  /** Wakes requests that wait for a runner of a plain service. */
  readonly plainTimer: SharedTimer;
  /** Whether new requests are refused because the process is about to exit. */
  readonly closed: boolean;
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Returns a random number in [0, 1). */
  random(): number;
  /** Returns the latest configuration, or `undefined` before there is one. */
  routingTable(): RoutingTable | undefined;
  /** Returns the runners of a service and their known state. */
  fleet(service: string): RunnerFleet;
  /**
   * Returns the milliseconds since the latest configuration came into force;
   * undefined before there is one.
   */
  inForceMs(): number | undefined;
  /** Returns how long ago the data of this daemon was last confirmed. */
  dataAges(): DataAges;
  /**
   * Returns the only software version at which streams of a route can have begun that
   * may be resumed, as the store confirms it after this call.
   *
   * @param maxMs time after which it counts as unknown.
   */
  confirmVersion(
    origin: PossibleOrigin,
    maxMs: number,
  ): Promise<VersionConfirmation>;
  /** Returns the milliseconds since the list of runners was last confirmed. */
  runnerListAgeMs(): number;
  /**
   * Returns how many connections this daemon may open to one runner of a
   * service.
   */
  connectionShare(service: Service): number;
  /**
   * Returns the milliseconds within which a change here reaches all other
   * daemons.
   */
  propagationMs(): number;
  /** Records what a runner states about itself in a response. */
  recordStatements(runner: Runner, statements: RunnerStatements): void;
  /** Reports that a connection to a runner broke while a request was on it. */
  reportBrokenConnection(runner: Runner, run: BrokenRun): void;
  /**
   * Returns whether a runner has not started again since its entry was written, as
   * far as it tells within `maxMs`. It may have come back with other software.
   */
  confirmStart(runner: Runner, maxMs: number): Promise<boolean>;
  /**
   * Returns whether the process that a runner's connections lead to is the one that
   * its entry tells of; a promise if the runner has to be asked.
   */
  isListedStart(runner: Runner): true | Promise<boolean>;
  /**
   * Finds out whether a runner's process lives on, right after a connection to it has
   * ended.
   */
  checkLife(runner: Runner, path: Path): Promise<RunnerLife>;
  /** Returns how fast the runners of a service do their work. */
  runnerPace(service: string): RunnerPace;
  /** Returns how fast the runners of a service get through requests. */
  drainRate(service: string): DrainRate;
  /** Returns what is observed of the runners of a plain service. */
  plainCapacity(service: string): PlainCapacity;
  /** Returns how fast the runners of a service generate tokens. */
  streamPace(service: string): StreamPace;
  /**
   * Returns the requests that wait for a service's runners, all of which are
   * restricted.
   */
  limitQueue(service: string): LimitQueue;
  /** Records that a runner has begun to run a request. */
  requestStarted(routed: { readonly workspace: Workspace | undefined }): void;
  /** Returns the budget for retries to a service. */
  retryBudget(service: string): RetryBudget;
}
