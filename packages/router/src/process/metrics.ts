/**
 * Counters and latency histograms.
 *
 * @module
 */
// The library's entry module also loads clustering and tracing. That takes 79 ms of
// processor time instead of 8 ms, and on a third of a core adds a quarter of a
// second of downtime to each restart.
import Counter from "prom-client/lib/counter.js";
import Gauge from "prom-client/lib/gauge.js";
import Histogram from "prom-client/lib/histogram.js";
import Registry from "prom-client/lib/registry.js";
import { groupBy } from "./group.ts";
import type { ObservedShare } from "./workspace_shares.ts";
import type {
  Counter as CounterType,
  Gauge as GaugeType,
  Histogram as HistogramType,
  Registry as RegistryType,
} from "prom-client";

import type { BufferedBytes } from "./buffer_budget.ts";
import type { DataAges } from "./data_ages.ts";
import type { MemoryUse } from "./memory_watch.ts";

/** Time that a runner takes for its work, relative to others of its service. */
interface PaceSample {
  readonly service: string;
  readonly runner: string;
  readonly factor: number;
}

/** What callers hold besides bodies and answers. */
export interface HeldByCallers {
  readonly connections: number;
  /** Bytes of requests that have not begun. */
  readonly unreadBytes: number;
  /** Bytes that open requests take without their bodies. */
  readonly requestBytes: number;
}

const MS_PER_SECOND = 1_000;
/** In seconds, from the targets of interactive classes up to long streams. */
const LATENCY_BUCKETS = [0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10, 30];

/** What became of the place of a refused request. */
export type PlaceOutcome =
  | "promised"
  | "kept"
  | "early"
  | "late"
  | "used"
  | "identical";
/**
 * How the return of a refused request ended. One that was `early` is served like a
 * new request.
 */
export type ReturnOutcome =
  | "early"
  | "answered"
  | "refused"
  | "broken"
  | "left";
/**
 * Maximum number of workspaces with a share of their own for a service and rank;
 * those with the greatest shares are named, and the others added up.
 */
const MAX_SHARES = 10;
/** Label of the other workspaces. */
const OTHERS = "other";

/** Metrics of the daemon, in the text format of Prometheus. */
export class RequestMetrics {
  readonly #registry: RegistryType;
  readonly #ended: CounterType<"service" | "outcome">;
  readonly #seconds: HistogramType<"service">;
  readonly #waiting: GaugeType<"service" | "rank">;
  readonly #connections: CounterType<"service">;
  readonly #tunnels: CounterType<"service" | "role">;
  readonly #failures: CounterType<"service" | "kind">;
  readonly #ends: CounterType<"service">;
  readonly #version: GaugeType;
  readonly #dependency: GaugeType<"dependency">;
  readonly #term: GaugeType;
  readonly #windows: CounterType<"outcome">;
  readonly #lastWindow: GaugeType<"outcome">;
  readonly #calls: CounterType<"call" | "end">;
  readonly #places: CounterType<"service" | "outcome">;
  readonly #returns: CounterType<"service" | "outcome">;
  readonly #cutAnswers: CounterType<"service" | "limit">;
  readonly #resumptions: CounterType<"service" | "origin">;

  constructor() {
    const registry = new Registry();
    const registers = [registry];
    this.#registry = registry;
    this.#ended = new Counter({
      name: "umbermast_requests_total",
      help: "Requests that ended, by service and outcome",
      labelNames: ["service", "outcome"],
      registers,
    });
    this.#seconds = new Histogram({
      name: "umbermast_request_seconds",
      help: "Seconds from a request's head to the end of its answer",
      labelNames: ["service"],
      buckets: LATENCY_BUCKETS,
      registers,
    });
    this.#waiting = new Gauge({
      name: "umbermast_waiting_requests",
      help: "Requests that wait for a runner, by service and rank",
      labelNames: ["service", "rank"],
      registers,
    });
    this.#connections = new Counter({
      name: "umbermast_runner_connections_total",
      help: "New connections to runners, by service",
      labelNames: ["service"],
      registers,
    });
    this.#tunnels = new Counter({
      name: "umbermast_tunnels_total",
      help: "Connections to runners by way of a peer, by whether this daemon " +
        "opened them or served them for a peer",
      labelNames: ["service", "role"],
      registers,
    });
    this.#failures = new Counter({
      name: "umbermast_runner_failures_total",
      help: "Attempts without a response, by service and whether they were " +
        "unsent or may have run",
      labelNames: ["service", "kind"],
      registers,
    });
    this.#ends = new Counter({
      name: "umbermast_runner_ends_total",
      help: "Runners that ended with requests of this daemon, by service",
      labelNames: ["service"],
      registers,
    });
    this.#version = new Gauge({
      name: "umbermast_configuration_version",
      help: "Version of the configuration in force",
      registers,
    });
    this.#dependency = new Gauge({
      name: "umbermast_dependency_up",
      help: "1 while a dependency answers, 0 while it does not",
      labelNames: ["dependency"],
      registers,
    });
    this.#term = new Gauge({
      name: "umbermast_leader_term",
      help: "Number of the term while this daemon leads, else 0",
      registers,
    });
    this.#windows = new Counter({
      name: "umbermast_usage_windows_total",
      help: "Windows of usage that this daemon fixed, reported or missed",
      labelNames: ["outcome"],
      registers,
    });
    this.#lastWindow = new Gauge({
      name: "umbermast_usage_last_window",
      help: "Number of the last window of each outcome",
      labelNames: ["outcome"],
      registers,
    });
    this.#calls = new Counter({
      name: "umbermast_platform_calls_total",
      help: "Calls to the platform that this daemon made as the leader",
      labelNames: ["call", "end"],
      registers,
    });
    this.#places = new Counter({
      name: "umbermast_return_places_total",
      help: "Refused requests, by whether they keep a place for their return",
      labelNames: ["service", "outcome"],
      registers,
    });
    this.#returns = new Counter({
      name: "umbermast_returns_total",
      help: "Requests that came back after a refusal, by outcome",
      labelNames: ["service", "outcome"],
      registers,
    });
    this.#cutAnswers = new Counter({
      name: "umbermast_answers_cut_total",
      help: "Answers that ended because buffered bytes exceeded a limit",
      labelNames: ["service", "limit"],
      registers,
    });
    this.#resumptions = new Counter({
      name: "umbermast_stream_resumptions_total",
      help: "Streams that callers resumed, by service and how their origin " +
        "became known or why it is unknown",
      labelNames: ["service", "origin"],
      registers,
    });
  }

  /** Adds the shares of workspaces, which are read when metrics are collected. */
  observeShares(read: () => readonly ObservedShare[]): void {
    new Gauge({
      name: "umbermast_workspace_share",
      help: "Part of a workspace in the recent cost of a rank, by service",
      labelNames: ["service", "rank", "workspace"],
      registers: [this.#registry],
      collect() {
        this.reset();
        const byRank = groupBy(
          read(),
          ({ service, rank }) => `${rank} ${service}`,
        );
        for (const shares of byRank.values()) {
          shares.sort((one, other) => other.share - one.share);
          for (const [index, each] of shares.entries()) {
            const { service, rank, share } = each;
            const workspace = index < MAX_SHARES ? each.workspace : OTHERS;
            this.inc({ service, rank, workspace }, share);
          }
        }
      },
    });
  }

  /** Counts a request that has ended, and observes its duration. */
  requestEnded(service: string, outcome: string, elapsedMs: number): void {
    this.#ended.inc({ service, outcome });
    this.#seconds.observe({ service }, elapsedMs / MS_PER_SECOND);
  }

  /** Counts a request that begins to wait for a runner. */
  waitStarted(service: string, rank: number): void {
    this.#waiting.inc({ service, rank });
  }

  /** Counts a request that no longer waits. */
  waitEnded(service: string, rank: number): void {
    this.#waiting.dec({ service, rank });
  }

  /** Counts a new connection to a runner. */
  runnerConnected(service: string): void {
    this.#connections.inc({ service });
  }

  /** Counts a connection to a runner by way of a peer. */
  tunnelOpened(service: string, role: "opened" | "served"): void {
    this.#tunnels.inc({ service, role });
  }

  /**
   * Shows the number of runners whose direct paths are lost.
   *
   * @param lost called at each reading of the metrics.
   */
  observeLostPaths(lost: () => number): void {
    new Gauge({
      name: "umbermast_lost_paths",
      help: "Runners that this daemon reaches by way of a peer only",
      registers: [this.#registry],
      collect() {
        this.set(lost());
      },
    });
  }

  /** Counts an attempt to which the runner did not respond. */
  runnerFailed(service: string, kind: "unsent" | "broken"): void {
    this.#failures.inc({ service, kind });
  }

  /** Counts a runner that crashed while it had requests of this daemon. */
  runnerCrashed(service: string): void {
    this.#ends.inc({ service });
  }

  /** Sets the version of the current configuration. */
  version(version: number): void {
    this.#version.set(version);
  }

  /** Sets whether a dependency responds. */
  dependency(dependency: string, up: boolean): void {
    this.#dependency.set({ dependency }, up ? 1 : 0);
  }

  /** Sets the fencing token of the term; 0 while this daemon does not lead. */
  term(fencing: number): void {
    this.#term.set(fencing);
  }

  /** Counts `count` usage windows, and sets the last one of their outcome. */
  usageWindow(
    outcome: "fixed" | "accepted" | "missed",
    window: number,
    count = 1,
  ): void {
    this.#windows.inc({ outcome }, count);
    this.#lastWindow.set({ outcome }, window);
  }

  /**
   * Shows the observed pace of runners.
   *
   * @param samples called at each reading of the metrics.
   */
  observePaces(samples: () => readonly PaceSample[]): void {
    new Gauge({
      name: "umbermast_runner_work_factor",
      help: "Time that a runner takes for its work by that of a mean runner, " +
        "for the runners of each service that differ most",
      labelNames: ["service", "runner"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const { service, runner, factor } of samples()) {
          this.set({ service, runner }, factor);
        }
      },
    });
  }

  /**
   * Shows the buffered bytes by kind.
   *
   * @param buffered called at each reading of the metrics.
   */
  observeBuffers(buffered: () => BufferedBytes): void {
    new Gauge({
      name: "umbermast_buffered_bytes",
      help: "Bytes of request bodies and of answers that are buffered",
      labelNames: ["kind"],
      registers: [this.#registry],
      collect() {
        const { bodies, answers } = buffered();
        this.set({ kind: "body" }, bodies);
        this.set({ kind: "answer" }, answers);
      },
    });
  }

  /**
   * Shows what callers hold besides bodies and answers.
   *
   * @param held called at each reading of the metrics.
   */
  observeCallers(held: () => HeldByCallers): void {
    const registers = [this.#registry];
    new Gauge({
      name: "umbermast_caller_connections",
      help: "Open connections of callers",
      registers,
      collect() {
        this.set(held().connections);
      },
    });
    new Gauge({
      name: "umbermast_caller_bytes",
      help: "Bytes of requests that have not begun, and that open requests " +
        "take without their bodies",
      labelNames: ["kind"],
      registers,
      collect() {
        const { unreadBytes, requestBytes } = held();
        this.set({ kind: "unread" }, unreadBytes);
        this.set({ kind: "request" }, requestBytes);
      },
    });
  }

  /**
   * Shows the memory of the process and the bound of its heap.
   *
   * @param use called at each reading of the metrics.
   */
  observeMemory(use: () => MemoryUse): void {
    new Gauge({
      name: "umbermast_memory_bytes",
      help:
        "Resident memory, used heap, and the heap at which the process aborts",
      labelNames: ["kind"],
      registers: [this.#registry],
      collect() {
        const { residentBytes, heapBytes, heapLimitBytes } = use();
        if (residentBytes !== undefined) {
          this.set({ kind: "resident" }, residentBytes);
        }
        this.set({ kind: "heap" }, heapBytes);
        this.set({ kind: "heap_limit" }, heapLimitBytes);
      },
    });
  }

  /**
   * Shows how old the data of this daemon is. An age is left out before its first
   * event.
   *
   * @param ages called at each reading of the metrics.
   */
  observeAges(ages: () => DataAges): void {
    const registers = [this.#registry];
    new Gauge({
      name: "umbermast_data_age_seconds",
      help: "Seconds since the store or a peer last confirmed versions here",
      labelNames: ["source"],
      registers,
      collect() {
        const { configurationMs, runnersMs, heardMs } = ages();
        const bySource = {
          store_configuration: configurationMs,
          store_runners: runnersMs,
          peer: heardMs,
        };
        for (const [source, ms] of Object.entries(bySource)) {
          if (ms !== undefined) this.set({ source }, ms / MS_PER_SECOND);
        }
      },
    });
    new Gauge({
      name: "umbermast_behind_seconds",
      help: "Seconds since a peer first had versions that this daemon lacks",
      registers,
      collect() {
        this.set((ages().behindMs ?? 0) / MS_PER_SECOND);
      },
    });
  }

  /** Counts an answer that ended because buffered bytes exceeded a limit. */
  answerCut(service: string, limit: "caller" | "total"): void {
    this.#cutAnswers.inc({ service, limit });
  }

  /**
   * Counts a stream that a caller resumes.
   *
   * @param origin how its origin became known, or why it is unknown.
   */
  streamResumption(service: string, origin: string): void {
    this.#resumptions.inc({ service, origin });
  }

  /** Counts a call to the platform. */
  platformCall(call: "usage" | "runners", end: string): void {
    this.#calls.inc({ call, end });
  }

  /**
   * Counts a refused request: its place was kept, with a `promised` start or without
   * one (`kept`), it has one already (`early`), or it has none, because its turn
   * comes too late (`late`), because it had one (`used`) or because too many
   * identical requests have one (`identical`).
   */
  returnPlace(service: string, outcome: PlaceOutcome): void {
    this.#places.inc({ service, outcome });
  }

  /** Counts a request that came back after a refusal. */
  requestReturned(service: string, outcome: ReturnOutcome): void {
    this.#returns.inc({ service, outcome });
  }

  /** Returns all metrics in the text format of Prometheus. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }
}
