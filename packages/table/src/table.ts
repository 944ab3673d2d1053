/**
 * The operators' table: classes, workspaces, rows and services.
 *
 * @module
 */

/** Latency targets of a class's requests, in milliseconds. */
export interface LatencyTarget {
  /** Time from arrival to the first token; absent for no target. */
  readonly firstTokenMs?: number;
  /** Time between two tokens; absent for no target. */
  readonly betweenTokensMs?: number;
  /** Time from arrival to the end of the response; absent for no target. */
  readonly wholeAnswerMs?: number;
}

/** A class of requests, with its priority and latency targets. */
export interface Class {
  readonly name: string;
  /** Priority of the class: 0 is the highest. Several classes may share a tier. */
  readonly tier: number;
  readonly target: LatencyTarget;
  /** Milliseconds after which a response that has not started is useless. */
  readonly timeoutMs: number;
  /** Share of service, 0 to 1, guaranteed while requests of the class are queued. */
  readonly minimumShare: number;
}

/** A workspace, whose callers send requests with its keys. */
export interface Workspace {
  readonly name: string;
  /** Hexadecimal SHA-256 digests of the workspace's keys. */
  readonly keyDigests: readonly string[];
  /** Class of requests that do not name one. */
  readonly defaultClass: string;
}

/** Weight and limits of one workspace in one class. */
export interface Row {
  readonly workspace: string;
  readonly class: string;
  /** Weight relative to the class's other workspaces; greater than 0. */
  readonly weight: number;
  /** Maximum requests admitted per second; absent for no limit. */
  readonly requestsPerSecond?: number;
  /** Maximum tokens served per second; absent for no limit. */
  readonly tokensPerSecond?: number;
  /** Maximum requests served concurrently; absent for no limit. */
  readonly inFlight?: number;
}

/** A service that requests are routed to. */
export interface Service {
  readonly name: string;
  /** `model` for model engines, `plain` for services called by method and path. */
  readonly kind: "model" | "plain";
  /** Models that a model service serves. */
  readonly models: readonly string[];
  /** Whether its runners reject an order with a stale fencing token. */
  readonly checksFencing: boolean;
  /** Initial number of concurrent requests per runner, before adaptation. */
  readonly slotsPerRunner: number;
}

/** One version of the operators' table. */
export interface Table {
  readonly classes: readonly Class[];
  readonly workspaces: readonly Workspace[];
  readonly rows: readonly Row[];
  readonly services: readonly Service[];
}
