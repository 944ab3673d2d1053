/**
 * The router process: composes its parts and runs until shutdown.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { randomBytes } from "node:crypto";
import { shutDownGracefully } from "./connection/graceful_shutdown.ts";
import { CallerServer } from "./connection/caller_server.ts";
import { CrashDetector } from "./connection/crash_detector.ts";
import { LifeDetector } from "./connection/life_detector.ts";
import type { RunnerLife } from "./connection/life_detector.ts";
import type { BrokenRun } from "./connection/crash_detector.ts";
import { FleetSync } from "./connection/fleet_sync.ts";
import type { SharedStore } from "./connection/fleet_sync.ts";
import { Listening } from "./connection/listening.ts";
import { TcpPeerNetwork } from "./connection/peer_network.ts";
import type { RunnerConnections } from "./connection/runner_connections.ts";
import type { TunnelPeers } from "./connection/tunnel_peers.ts";
import { TcpRunnerNetwork } from "./connection/runner_network.ts";
import type { RunnerNetwork } from "./connection/runner_network.ts";
import {
  createMetricsServer,
  createReadinessServer,
} from "./connection/status_server.ts";
import { inBackground } from "./process/background.ts";
import { BrittleServices } from "./process/brittle_services.ts";
import type { RunnerRoom } from "./process/brittle_services.ts";
import { BufferBudget } from "./process/buffer_budget.ts";
import type {
  PossibleOrigin,
  VersionConfirmation,
} from "./process/confirmed_versions.ts";
import { CrashRecord } from "./process/crash_record.ts";
import { ageFields } from "./process/data_ages.ts";
import type { DataAges } from "./process/data_ages.ts";
import { DrainingRunners } from "./process/draining_runners.ts";
import { DrainRate } from "./process/drain_rate.ts";
import type { EventLog } from "./process/event_log.ts";
import { CacheSurvey } from "./process/cache_survey.ts";
import type { EngineCache } from "./process/cache_survey.ts";
import { LimitQueue } from "./process/limit_queue.ts";
import { Lifecycle } from "./process/lifecycle.ts";
import { RequestMetrics } from "./process/metrics.ts";
import { memoryUse, MemoryWatch } from "./process/memory_watch.ts";
import { ShareOrder } from "./process/share_order.ts";
import { SharedTimer } from "./process/shared_timer.ts";
import { OverloadGuard } from "./process/overload_guard.ts";
import { PlainCapacity } from "./process/plain_capacity.ts";
import { PerService } from "./process/per_service.ts";
import { PrefixIndex } from "./process/prefix_index.ts";
import { pause } from "./process/pause.ts";
import { RequestBudget } from "./process/request_budget.ts";
import { RestartDetector } from "./process/restart_detector.ts";
import { RetryBudget } from "./process/retry_budget.ts";
import { RunnerDirectory } from "./process/runner_directory.ts";
import type { Runner } from "./process/runner.ts";
import { RunnerLimits } from "./process/runner_limits.ts";
import type {
  RunnerStatements,
  StatementListener,
} from "./process/runner_statements.ts";
import type { RunnerPace } from "./process/runner_pace.ts";
import { RunnerPaces } from "./process/runner_paces.ts";
import { RunnerPauses } from "./process/runner_pauses.ts";
import { SoftwareVersions } from "./process/software_versions.ts";
import { RETENTION_MS, StreamOrigins } from "./process/stream_origins.ts";
import { ReturnPlaces } from "./process/return_places.ts";
import type { Path, RunnerPaths } from "./process/runner_paths.ts";
import type { RunnerReachability } from "./process/runner_reachability.ts";
import { RunnerRestrictions } from "./process/runner_restrictions.ts";
import { RunnerLoads } from "./process/runner_loads.ts";
import { SchedulingMode } from "./process/scheduling_mode.ts";
import { ServiceDemand } from "./process/service_demand.ts";
import { StreamPace } from "./process/stream_pace.ts";
import { WorkspaceShares } from "./process/workspace_shares.ts";
import type { RouterSettings } from "./process/settings.ts";
import { RunnerAccess } from "./runner_access.ts";
import { Leadership } from "./leadership.ts";
import type { LeaderPlatform } from "./leadership.ts";
import type { Dialect } from "./request/dialect.ts";
import { Caller } from "./request/caller.ts";
import type { Daemon } from "./request/daemon.ts";
import { Exchange } from "./request/exchange.ts";
import { OpenRequests } from "./request/open_requests.ts";
import type { RunnerFleet } from "./request/demand.ts";
import type { PlainState } from "./request/plain_admission.ts";
import type {
  Configuration,
  Service,
  Workspace,
} from "./version/configuration.ts";
import { RoutingTable } from "./version/routing_table.ts";

/** The platform's interfaces that the router uses. */
export interface Platform extends SharedStore, LeaderPlatform {
  readonly dialect: Dialect;
  readonly engineCache: EngineCache;
}

/** Interval in ms at which waiting requests check for free capacity. */
const CAPACITY_CHECK_MS = 20;
/**
 * Maximum time in ms, number and interval in ms of the queries that find out whether
 * the runner at which a stream has begun is the one that its entry tells of.
 */
const START_QUERY_MS = 300;
const START_QUERIES = 2;
const START_QUERY_INTERVAL_MS = 150;
/**
 * Maximum time in ms of a query that finds out whether a response which states no end
 * is whole; a sound runner may fall silent for a part of it.
 */
const LIFE_QUERY_MS = 1_000;
/**
 * The same for plain services. A slot that works 43 ms on a request is released
 * every 43 ms, and is idle until a request that waits sees it.
 */
const PLAIN_CAPACITY_CHECK_MS = 10;
/**
 * Minimum number of daemons among which the budget for extra retries is divided.
 * Until a
 * daemon has found the others, its share is safe for a fleet of this size.
 */
const MIN_DAEMONS = 8;
/**
 * Share of a runner's connections that the known daemons may use; the rest is for
 * daemons that have not been found yet.
 */
const CONNECTION_SHARE = 0.8;
/** Connections to a runner that each daemon may open in any case. */
const MIN_CONNECTIONS = 2;
/** Random bytes that distinguish the incarnations of a daemon. */
const INCARNATION_BYTES = 6;
/** Settings that take effect without a restart. */
const RELOADABLE: ReadonlySet<keyof RouterSettings> = new Set([
  "seeds",
  "retries",
  "graceMs",
]);

/** A daemon that routes requests until it is shut down. */
export class Router implements Daemon {
  readonly dialect: Dialect;
  readonly connections: RunnerConnections;
  readonly loads = new RunnerLoads();
  readonly prefixes = new PrefixIndex();
  readonly crashes: CrashRecord;
  readonly limits: RunnerLimits;
  readonly pauses: RunnerPauses;
  readonly brittle: BrittleServices;
  readonly restrictions: RunnerRestrictions;
  readonly reachability: RunnerReachability;
  readonly paths: RunnerPaths;
  readonly tunnels: TunnelPeers;
  readonly scheduling: SchedulingMode;
  readonly paces: RunnerPaces;
  readonly places: ReturnPlaces;
  readonly softwareVersions = new SoftwareVersions(() => this.#retentionMs());
  readonly origins = new StreamOrigins({
    // In a large fleet, only while a mistake is possible.
    isPublished: (service) =>
      !this.#fleetSync.relayed ||
      this.softwareVersions.isMixed(service, this.now()),
    now: () => this.now(),
  });
  readonly shares: WorkspaceShares;
  readonly shareOrder: ShareOrder;
  readonly requests: RequestBudget;
  readonly buffers: BufferBudget;
  readonly holdsStreams: boolean;
  readonly sharedTimer = new SharedTimer(CAPACITY_CHECK_MS);
  readonly plainTimer = new SharedTimer(PLAIN_CAPACITY_CHECK_MS);
  readonly metrics = new RequestMetrics();
  readonly log: EventLog;
  readonly #random = () => this.random();
  #settings: RouterSettings;
  readonly #lifecycle: Lifecycle;
  readonly #overload: OverloadGuard;
  readonly #memoryWatch: MemoryWatch;
  readonly #server: CallerServer;
  readonly #openRequests = new OpenRequests();
  readonly #draining: DrainingRunners;
  readonly #directory: RunnerDirectory;
  readonly #retryBudgets = new PerService(() =>
    new RetryBudget(
      this.#settings.retries,
      () => Math.max(MIN_DAEMONS, this.#fleetSync.fleetSize),
    )
  );
  readonly #streamPaces = new PerService(() => new StreamPace());
  readonly #drainRates = new PerService(() => new DrainRate());
  readonly #plainCapacities = new PerService(() => new PlainCapacity());
  readonly #demands = new PerService(() => new ServiceDemand());
  readonly #limitQueues = new PerService(() => new LimitQueue());
  readonly #access: RunnerAccess;
  readonly #fleetSync: FleetSync;
  readonly #leadership: Leadership;
  readonly #survey: CacheSurvey;
  readonly #restartDetector: RestartDetector;
  readonly #crashDetector: CrashDetector;
  readonly #lifeDetector: LifeDetector;
  #surveyed = false;
  #statusServers: readonly Listening[] = [];
  /** The listed runners by their ids. */
  #runnersById: ReadonlyMap<string, Runner> = new Map();
  #configuration: Configuration | undefined;
  #routingTable: RoutingTable | undefined;
  /** Time at which the current configuration came into force. */
  #inForceAt: number | undefined;

  /** @param options.network how runners are reached; by default over TCP. */
  constructor(
    settings: RouterSettings,
    platform: Platform,
    log: EventLog,
    options: { readonly network?: RunnerNetwork | undefined } = {},
  ) {
    const { network = new TcpRunnerNetwork() } = options;
    this.#settings = settings;
    this.dialect = platform.dialect;
    this.log = log;
    this.scheduling = new SchedulingMode(settings.scheduling, log);
    this.paces = new RunnerPaces(this.scheduling, log);
    this.metrics.observePaces(() => this.paces.samples(this.now()));
    this.requests = new RequestBudget(settings.accepts.requestBytes);
    this.buffers = new BufferBudget(settings.buffers);
    this.metrics.observeBuffers(() => this.buffers.buffered);
    this.holdsStreams = settings.holdsStreams;
    this.metrics.observeCallers(() => ({
      connections: this.#server.connections,
      unreadBytes: this.#server.unreadBytes,
      requestBytes: this.requests.bytes,
    }));
    this.metrics.observeMemory(() => memoryUse());
    this.#memoryWatch = new MemoryWatch({
      log,
      memoryMb: settings.memoryMb,
      onDescriptorsLacking: () => this.#server.shrink(),
      use: () => memoryUse(),
      now: () => this.now(),
    });
    this.places = new ReturnPlaces(log, () => this.random());
    this.shares = new WorkspaceShares({
      log,
      weightOf: (workspace) => this.#routingTable?.weightOf(workspace) ?? 1,
    });
    this.shareOrder = new ShareOrder({
      shares: this.shares,
      now: () => this.now(),
      propagationMs: () => this.propagationMs(),
      random: () => this.random(),
      othersWaiting: (service, rank) => this.#othersWaiting(service, rank),
    });
    this.metrics.observeShares(() => this.shares.observed(this.now()));
    this.crashes = new CrashRecord(log);
    this.#access = new RunnerAccess({
      network,
      log,
      metrics: this.metrics,
      failureDomain: settings.failureDomain,
      peers: () => this.#fleetSync.reachable,
      runner: (id) => this.#runnersById.get(id),
      isClosed: () => this.closed,
      healthPath: ({ service }) =>
        this.#routingTable?.service(service)?.healthPath ?? "/",
      mayQuery: ({ id }) => this.#mayQuery(id),
      cleared: ({ id }) => this.loads.of(id).recordSuccess(),
      now: () => this.now(),
      random: () => this.random(),
    });
    this.reachability = this.#access.reachability;
    this.paths = this.#access.paths;
    this.tunnels = this.#access.tunnels;
    this.connections = this.#access.connections;
    this.limits = new RunnerLimits(log, () => this.#fleetSync.view);
    this.pauses = new RunnerPauses(log);
    this.brittle = new BrittleServices(log, {
      room: (id) => this.#roomOf(id),
      daemons: () => this.#fleetSync.fleetSize,
    });
    this.restrictions = new RunnerRestrictions(
      this.limits,
      this.pauses,
      this.brittle,
    );
    this.#draining = new DrainingRunners(log);
    this.#directory = new RunnerDirectory(this.#draining);
    this.#lifecycle = new Lifecycle(log);
    this.#lifecycle.addRequirement("callers_port", () => this.#server.isOpen);
    this.#lifecycle.addRequirement(
      "configuration",
      () => this.#routingTable !== undefined,
    );
    this.#lifecycle.addRequirement(
      "runners",
      () => this.#directory.revision > 0,
    );
    this.#overload = new OverloadGuard({
      log,
      delayMs: (now) => this.paces.recentDelayMs(now),
      ownRequests: () => this.loads.inFlight.own,
      meanRequests: () => {
        const others = this.#fleetSync.fleetSize - 1;
        return others < 1 ? undefined : this.loads.inFlight.others / others;
      },
    });
    this.#lifecycle.addRequirement("load", () => !this.#overloaded);
    this.#server = new CallerServer(
      (request, response) => this.#handle(request, response),
      {
        limits: settings.accepts.callers,
        accepts: () => !this.#overloaded,
        log,
      },
    );
    const { host, port } = settings.advertised ?? settings.peers;
    const address = `${host}:${port}`;
    const own = {
      name: settings.name,
      incarnation: randomBytes(INCARNATION_BYTES).toString("base64url"),
      address,
      failureDomain: settings.failureDomain,
      linkMbps: settings.linkMbps,
    };
    this.#leadership = new Leadership(settings.leadership, platform, {
      own,
      log,
      metrics: this.metrics,
      loads: this.loads,
      runners: () => this.#directory.runners,
      services: () => this.#configuration?.services ?? [],
      fleetSync: () => this.#fleetSync,
      random: () => this.random(),
    });
    const { time, usage, lease } = this.#leadership;
    this.#fleetSync = new FleetSync({
      time,
      usage,
      lease,
      loads: this.loads,
      prefixes: this.prefixes,
      crashes: this.crashes,
      limits: this.limits,
      draining: this.#draining,
      paces: this.paces,
      places: this.places,
      origins: this.origins,
      shares: this.shares,
      directory: this.#directory,
      configuration: () => this.#configuration,
      applyConfiguration: (configuration, source) =>
        this.#applyConfiguration(configuration, source),
    }, {
      own,
      log,
      store: platform,
      network: new TcpPeerNetwork({
        acceptTunnel: (socket) => this.#access.acceptTunnel(socket),
        limits: settings.accepts.peers,
        log,
      }),
      metrics: this.metrics,
      relaysFrom: settings.relaysFrom,
      controlBytesPerS: settings.controlBytesPerS,
      retentionMs: () => this.#retentionMs(),
      random: () => this.random(),
    });
    this.metrics.observeAges(() => this.dataAges());
    const mayQuery = ({ id }: Runner) => this.#mayQuery(id);
    const recordStatements: StatementListener = (runner, statements) =>
      this.recordStatements(runner, statements);
    this.#survey = new CacheSurvey(platform.engineCache, {
      prefixes: this.prefixes,
      log,
      mayQuery,
      recordStatements,
    });
    this.#restartDetector = new RestartDetector(platform.engineCache, {
      directory: this.#directory,
      log,
      mayQuery,
      recordQuery: ({ id }) => this.restrictions.recordRequest(id, this.now()),
      recordStatements,
    });
    this.#crashDetector = new CrashDetector({
      log,
      metrics: this.metrics,
      record: this.crashes,
      network,
      paths: this.paths,
    });
    this.#lifeDetector = new LifeDetector({
      network,
      paths: this.paths,
      connections: this.connections,
      confirmsStart: (runner, since) => this.#confirmsStart(runner, since),
    });
    this.#directory.onChange(() => this.#runnersChanged());
    this.loads.queueAt((id) => {
      const service = this.#runnersById.get(id)?.service;
      return service !== undefined && this.#isQueued(service);
    });
  }

  get closed(): boolean {
    return this.#lifecycle.closed;
  }

  now(): number {
    return performance.now();
  }

  random(): number {
    return Math.random();
  }

  routingTable(): RoutingTable | undefined {
    return this.#routingTable;
  }

  fleet(service: string): RunnerFleet {
    const adaptive = this.scheduling.isAdaptive(service);
    return {
      runners: this.#directory.ready(service),
      loads: this.loads,
      prefixes: this.prefixes,
      restrictions: this.restrictions,
      pace: this.runnerPace(service),
      shortestGapMs: adaptive
        ? this.#routingTable?.shortestGapMs(service)
        : undefined,
      demand: adaptive ? this.#demands.of(service) : undefined,
      boundsMemory: adaptive,
      failureDomain: this.#settings.failureDomain,
      plain: this.#plainState(service),
      now: this.now(),
    };
  }

  inForceMs(): number | undefined {
    return this.#inForceAt === undefined
      ? undefined
      : this.now() - this.#inForceAt;
  }

  dataAges(): DataAges {
    return this.#fleetSync.ages;
  }

  confirmVersion(
    origin: PossibleOrigin,
    maxMs: number,
  ): Promise<VersionConfirmation> {
    return this.#fleetSync.confirmVersion(origin, maxMs);
  }

  runnerListAgeMs(): number {
    return this.#fleetSync.runnersAgeMs;
  }

  connectionShare(service: Service): number {
    const share = CONNECTION_SHARE * service.maxConnections /
      this.#fleetSync.fleetSize;
    return Math.max(MIN_CONNECTIONS, Math.floor(share));
  }

  propagationMs(): number {
    return this.#fleetSync.propagationMs;
  }

  runnerPace(service: string): RunnerPace {
    return this.paces.of(service);
  }

  drainRate(service: string): DrainRate {
    return this.#drainRates.of(service);
  }

  plainCapacity(service: string): PlainCapacity {
    return this.#plainCapacities.of(service);
  }

  streamPace(service: string): StreamPace {
    return this.#streamPaces.of(service);
  }

  recordStatements(runner: Runner, statements: RunnerStatements): void {
    const { id, service } = runner;
    const { draining, pauseMs, brittlePerS } = statements;
    this.brittle.recordStated(service, brittlePerS, this.now());
    if (draining) this.#draining.recordStated(id, this.now());
    if (pauseMs === undefined) return;
    this.pauses.recordAsked(id, pauseMs, this.now());
  }

  reportBrokenConnection(runner: Runner, run: BrokenRun): void {
    this.#crashDetector.recordBrokenRun(runner, run);
    if (this.#routingTable?.service(runner.service)?.engine === undefined) {
      return;
    }
    this.#inBackground("restart_check", this.#restartDetector.check(runner));
  }

  async confirmStart(runner: Runner, maxMs: number): Promise<boolean> {
    if (!this.#tellsStart(runner)) return true;
    return await this.#restartDetector.confirm(runner, maxMs);
  }

  /** Whether a runner can be asked for its start: engines report theirs. */
  #tellsStart({ service, startedAtMs }: Runner): boolean {
    return startedAtMs !== undefined &&
      this.#routingTable?.service(service)?.engine !== undefined;
  }

  isListedStart(runner: Runner): true | Promise<boolean> {
    if (!this.#tellsStart(runner)) return true;
    if (this.paths.pathTo(runner) === "tunnel") return true;
    const since = this.connections.connectedSince(runner);
    const isKnown = since !== undefined &&
      this.#restartDetector.isConfirmedSince(runner, since);
    if (isKnown) return true;
    return this.#confirmConnected(runner, since);
  }

  /** Whether a runner confirms its start while connections to it stay open. */
  async #confirmConnected(
    runner: Runner,
    since: number | undefined,
  ): Promise<boolean> {
    for (let query = 0; query < START_QUERIES; query++) {
      if (!this.restrictions.allowRequest(runner.id, this.now())) return false;
      if (!await this.confirmStart(runner, START_QUERY_MS)) return false;
      if (this.connections.connectedSince(runner) !== since) return false;
      const isRecent = since === undefined ||
        this.#restartDetector.isConfirmedSince(runner, since);
      if (isRecent) return true;
      // The query had been sent before the connection was open.
      await pause(START_QUERY_INTERVAL_MS, { background: true });
    }
    return false;
  }

  checkLife(runner: Runner, path: Path): Promise<RunnerLife> {
    return this.#lifeDetector.check(runner, path);
  }

  /** Whether a runner, asked after a time, confirms the start in its entry. */
  async #confirmsStart(runner: Runner, since: number): Promise<boolean> {
    if (!this.#tellsStart(runner)) return true;
    for (let query = 0; query < START_QUERIES; query++) {
      if (!await this.confirmStart(runner, LIFE_QUERY_MS)) return false;
      if (this.#restartDetector.isConfirmedSince(runner, since)) return true;
      // The query had been sent before.
      await pause(START_QUERY_INTERVAL_MS, { background: true });
    }
    return false;
  }

  requestStarted(
    { workspace }: { readonly workspace: Workspace | undefined },
  ): void {
    if (workspace !== undefined) {
      this.#leadership.requestStarted(workspace.name);
    }
  }

  limitQueue(service: string): LimitQueue {
    return this.#limitQueues.of(service);
  }

  retryBudget(service: string): RetryBudget {
    return this.#retryBudgets.of(service);
  }

  /** The port that callers connect to; 0 before it is open. */
  get callersPort(): number {
    return this.#server.port;
  }

  /** The port on which links of other daemons are accepted; 0 before they are. */
  get peersPort(): number {
    return this.#fleetSync.port;
  }

  /** Time in ms from SIGTERM to the kill, by the settings in force. */
  get graceMs(): number {
    return this.#settings.graceMs;
  }

  /** Whether the daemon is ready for traffic. */
  get ready(): boolean {
    return this.#lifecycle.missing().length === 0;
  }

  /**
   * Opens the ports, and starts to read and watch the store. Each port is opened as
   * soon as it is free, and a port that is not does not delay the others.
   *
   * @returns settles when all ports but that of metrics are open or can never be.
   */
  async start(): Promise<void> {
    const { callers, peers, seeds } = this.#settings;
    const opened = [
      this.#server.open(callers).then(() => this.#logStart()),
      this.#fleetSync.open(peers),
      this.#openStatusServers(),
    ];
    this.#fleetSync.start(seeds);
    this.#leadership.start();
    this.#memoryWatch.start();
    await Promise.all(opened);
  }

  /**
   * Applies the changed settings that need no restart: seeds, the bounds of
   * retries and the grace period of the shutdown. Others, such as addresses,
   * take effect after a restart.
   */
  apply(settings: RouterSettings): void {
    const names = Object.keys(settings) as (keyof RouterSettings)[];
    const changed = names.filter((name) =>
      JSON.stringify(settings[name]) !== JSON.stringify(this.#settings[name])
    );
    if (changed.length === 0) return;
    const restart = changed.filter((name) => !RELOADABLE.has(name));
    this.log.event("settings_changed", {
      changed: changed.join(","),
      need_restart: restart.length === 0 ? undefined : restart.join(","),
    });
    this.#settings = settings;
    this.#retryBudgets.clear();
    this.#fleetSync.discover(settings.seeds);
  }

  /** Stops at once, without a graceful shutdown. */
  stop(): void {
    this.#memoryWatch.stop();
    this.#leadership.stop();
    this.#fleetSync.stop();
    this.#openRequests.abort();
    this.#server.destroy();
    this.#access.destroy();
    for (const server of this.#statusServers) server.close();
  }

  /**
   * Leaves the fleet and finishes requests; see {@linkcode shutDownGracefully}.
   *
   * @returns whether all requests were finished.
   */
  async shutDown(): Promise<boolean> {
    this.#lifecycle.startShutdown();
    this.#inBackground("step_down", this.#leadership.stepDown());
    this.#inBackground("deregister", this.#fleetSync.deregister());
    this.#access.leave();
    const cut = await shutDownGracefully(this.#server, {
      graceMs: () => this.#settings.graceMs,
      lifecycle: this.#lifecycle,
      log: this.log,
      tunnels: () => this.#access.servedTunnels,
    });
    await this.#openRequests.stop();
    await this.#fleetSync.leave();
    return cut === 0;
  }

  #inBackground(name: string, task: Promise<unknown>): void {
    inBackground(task, { name, log: this.log });
  }

  #logStart(): void {
    if (!this.#server.isOpen) return;
    this.log.event("started", { name: this.#settings.name });
  }

  /** @returns settles as the opening of the readiness server does. */
  #openStatusServers(): Promise<void> {
    const settings = this.#settings;
    const { log } = this;
    const readiness = new Listening(
      createReadinessServer(settings.readiness.path, this.#lifecycle),
      { name: "readiness", log },
    );
    const metrics = new Listening(
      createMetricsServer(settings.metrics.path, this.metrics),
      { name: "metrics", log },
    );
    this.#statusServers = [readiness, metrics];
    // A daemon serves without metrics. The failure has been logged.
    metrics.open(settings.metrics).catch(() => {});
    return readiness.open(settings.readiness);
  }

  /** Time in ms for which streams may be resumed that began at a version. */
  #retentionMs(): number {
    const { routes = [] } = this.#configuration ?? {};
    return routes.reduce(
      (longest, { timeoutMs }) => Math.max(longest, timeoutMs),
      RETENTION_MS,
    );
  }

  /** Requests of a rank to a service that wait at other daemons. */
  #othersWaiting(service: string, rank: number): number {
    let requests = 0;
    for (const { id } of this.#directory.ready(service)) {
      requests += this.loads.of(id).queue.othersOfRank(rank);
    }
    return requests;
  }

  /** Whether this daemon takes no new connections for now. */
  get #overloaded(): boolean {
    return this.#overload.isOverloaded(this.now());
  }

  #roomOf(id: string): RunnerRoom | undefined {
    const runner = this.#runnersById.get(id);
    return runner && {
      service: runner.service,
      slots: runner.slots,
      requests: (now) => this.loads.of(id).requestCount(now),
    };
  }

  /** Whether requests of a service wait in the queues of its plain runners. */
  #isQueued(service: string): boolean {
    const plain = this.#routingTable?.service(service)?.engine === undefined;
    return plain && this.scheduling.isAdaptive(service);
  }

  /** Returns the state of a plain service whose requests are queued. */
  #plainState(service: string): PlainState | undefined {
    if (!this.#isQueued(service)) return undefined;
    return {
      capacity: this.plainCapacity(service),
      propagationMs: this.propagationMs(),
      heardShare: this.#fleetSync.heardShare,
      daemons: this.#fleetSync.fleetSize,
      random: this.#random,
    };
  }

  /** Whether a runner's restrictions allow a query now; counts it if so. */
  #mayQuery(id: string): boolean {
    const now = this.now();
    if (!this.restrictions.allowRequest(id, now)) return false;
    this.restrictions.recordRequest(id, now);
    return true;
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const caller = new Caller(
      request,
      response,
      () => this.#lifecycle.shuttingDown || this.#overloaded,
    );
    const exchange = new Exchange(this, caller);
    this.#openRequests.add(exchange);
    response.once("close", () => this.#openRequests.delete(exchange));
    exchange.run().catch((error: unknown) => {
      const reason = error instanceof Error ? error.stack : String(error);
      this.log.event("request_failed", { reason });
      caller.fail();
    });
  }

  /** Applies a configuration if it is newer than the current one. */
  #applyConfiguration(configuration: Configuration, source: string): void {
    const current = this.#routingTable?.version ?? -1;
    if (configuration.version <= current) return;
    const ages = this.dataAges();
    const beforeMs = this.inForceMs();
    // First, as it throws on a broken configuration, which peers must not be given.
    this.#routingTable = new RoutingTable(configuration);
    this.#configuration = configuration;
    this.#inForceAt = this.now();
    this.#server.applyLimits(configuration.limits);
    this.metrics.version(configuration.version);
    this.log.event("configuration_in_force", {
      version: configuration.version,
      before: current,
      source,
      routes: configuration.routes.length,
      before_ms: beforeMs === undefined ? undefined : Math.round(beforeMs),
      ...ageFields(ages),
    });
    this.#fleetSync.configurationChanged();
    this.#surveyOnce();
  }

  #runnersChanged(): void {
    const { runners } = this.#directory.list;
    const ids = new Set(runners.map(({ id }) => id));
    this.softwareVersions.record(runners, this.now());
    this.origins.publish();
    this.paces.retain(runners);
    this.#runnersById = new Map(runners.map((runner) => [runner.id, runner]));
    this.loads.retain(ids);
    this.prefixes.retain(ids);
    this.limits.retain(ids);
    this.#access.retain(ids);
    this.brittle.retain(ids);
    this.pauses.retain(ids, this.now());
    this.#draining.retain(ids, this.now());
    for (const pace of this.#streamPaces.all()) pace.retain(ids);
    for (const capacity of this.#plainCapacities.all()) capacity.retain(ids);
    this.#surveyOnce();
  }

  /**
   * Surveys the engines' caches once, when configuration and runners are known.
   */
  #surveyOnce(): void {
    if (this.#surveyed || this.#routingTable === undefined) return;
    if (this.#directory.revision === 0) return;
    this.#surveyed = true;
    const survey = this.#survey.run({
      engines: () =>
        this.#directory.list.runners.filter(({ service }) =>
          this.#routingTable?.service(service)?.engine !== undefined
        ),
      view: () => this.#fleetSync.view,
    });
    this.#inBackground("cache_survey", survey);
  }
}
