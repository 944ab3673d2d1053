/**
 * Prometheus metrics. Names include units. Labels are classes, services, outcomes,
 * codes and states: the table and the code bound their cardinality, never callers.
 *
 * @module
 */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";

/** A request that has ended. */
export interface EndedRequest {
  readonly class: string;
  readonly service: string;
  /** `complete`, `caller-left`, `not-run`, `failed` or `unknown`. */
  readonly outcome: string;
  readonly durationMs: number;
  /** Time from arrival to the response head; absent without a response. */
  readonly answerMs?: number;
}

/** Values that are read when metrics are scraped. */
export interface Gauges {
  readonly requestsInFlight: number;
  readonly callerConnections: number;
  readonly tableVersion: number;
  /** Number of members by state. */
  readonly members: Readonly<Record<string, number>>;
  /** Number of runners by service. */
  readonly runners: Readonly<Record<string, number>>;
}

const MS_PER_SECOND = 1000;
const ANSWER_BUCKETS_S = [
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  1.5,
  2.5,
  5,
  10,
  30,
];
const DURATION_BUCKETS_S = [0.01, 0.05, 0.1, 0.5, 1, 2.5, 5, 10, 30, 60, 300];

/** The metrics of the daemon, in their own registry. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: "umbermast_requests_total",
    help: "Requests that were run, by how they ended",
    labelNames: ["class", "service", "outcome"],
    registers: [this.#registry],
  });
  readonly #refusals = new Counter({
    name: "umbermast_requests_refused_total",
    help: "Requests refused before they were run, by code",
    labelNames: ["code"],
    registers: [this.#registry],
  });
  readonly #dropped = new Counter({
    name: "umbermast_caller_connections_dropped_total",
    help: "Callers' connections closed because too many were open",
    registers: [this.#registry],
  });
  readonly #answers = new Histogram({
    name: "umbermast_time_to_answer_seconds",
    help: "Time from a request's arrival to the head of its answer",
    labelNames: ["class", "service"],
    buckets: ANSWER_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #durations = new Histogram({
    name: "umbermast_request_duration_seconds",
    help: "Time from a request's arrival to its end",
    labelNames: ["class", "service"],
    buckets: DURATION_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #warnings = new Counter({
    name: "umbermast_warnings_total",
    help: "Warnings logged, by code",
    labelNames: ["code"],
    registers: [this.#registry],
  });

  constructor() {
    collectDefaultMetrics({ register: this.#registry });
  }

  /** Registers gauges that are read on each scrape; must be called once. */
  observeGauges(gauges: () => Gauges): void {
    this.#gauge("umbermast_requests_in_flight", {
      help: "Requests of callers that are held, waiting or being served",
      read: () => gauges().requestsInFlight,
    });
    this.#gauge("umbermast_caller_connections", {
      help: "Open connections of callers",
      read: () => gauges().callerConnections,
    });
    this.#gauge("umbermast_table_version", {
      help: "Version of the table in force; 0 before the first",
      read: () => gauges().tableVersion,
    });
    this.#gaugeBy("umbermast_members", {
      help: "Daemons known, by state",
      label: "state",
      read: () => gauges().members,
    });
    this.#gaugeBy("umbermast_runners", {
      help: "Runners listed, by service",
      label: "service",
      read: () => gauges().runners,
    });
  }

  /** Counts a request that was run. */
  requestEnded(request: EndedRequest): void {
    const { class: name, service, outcome } = request;
    this.#requests.inc({ class: name, service, outcome });
    const labels = { class: name, service };
    this.#durations.observe(labels, request.durationMs / MS_PER_SECOND);
    if (request.answerMs === undefined) return;
    this.#answers.observe(labels, request.answerMs / MS_PER_SECOND);
  }

  /** Counts a request that was refused before it was run. */
  requestRefused(code: string): void {
    this.#refusals.inc({ code });
  }

  /** Counts a connection that was closed because of the connection limit. */
  connectionDropped(): void {
    this.#dropped.inc();
  }

  /** Counts a warning. */
  warningLogged(code: string): void {
    this.#warnings.inc({ code });
  }

  /** Renders all metrics in the exposition format. */
  async render(): Promise<{
    readonly contentType: string;
    readonly body: string;
  }> {
    const body = await this.#registry.metrics();
    return { contentType: this.#registry.contentType, body };
  }

  #gauge(
    name: string,
    options: { readonly help: string; readonly read: () => number },
  ): void {
    new Gauge({
      name,
      help: options.help,
      registers: [this.#registry],
      collect() {
        this.set(options.read());
      },
    });
  }

  #gaugeBy(
    name: string,
    options: {
      readonly help: string;
      readonly label: string;
      readonly read: () => Readonly<Record<string, number>>;
    },
  ): void {
    new Gauge({
      name,
      help: options.help,
      labelNames: [options.label],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [value, count] of Object.entries(options.read())) {
          this.set({ [options.label]: value }, count);
        }
      },
    });
  }
}
