/**
 * The operators' table: classes, workspaces, rows and services.
 *
 * @module
 */

/** What the requests of a class are promised, in milliseconds. */
export interface LatencyTarget {
  /** Time from arrival to the first token; absent when not promised. */
  readonly firstTokenMs?: number;
  /** Time between two tokens; absent when not promised. */
  readonly betweenTokensMs?: number;
  /** Time from arrival to the end of the answer; absent when not promised. */
  readonly wholeAnswerMs?: number;
}

/** A class of requests. */
export interface Class {
  readonly name: string;
  /** Rank of the class: 0 is served first. Several classes may share a tier. */
  readonly tier: number;
  readonly target: LatencyTarget;
  /** Milliseconds after which an answer that has not started is of no use. */
  readonly timeoutMs: number;
  /** Share of service, 0 to 1, owed to the class while it has waiting work. */
  readonly minimumShare: number;
}

/** A sender of requests. */
export interface Workspace {
  readonly name: string;
  /** Hexadecimal SHA-256 digests of the workspace's keys. */
  readonly keyDigests: readonly string[];
  /** Class of a request that names none. */
  readonly defaultClass: string;
}

/** Weight and limits of one workspace in one class. */
export interface Row {
  readonly workspace: string;
  readonly class: string;
  /** Weight among the workspaces of the class; greater than 0. */
  readonly weight: number;
  /** Requests admitted a second; absent for no limit. */
  readonly requestsPerSecond?: number;
  /** Tokens served a second; absent for no limit. */
  readonly tokensPerSecond?: number;
  /** Requests being served at once; absent for no limit. */
  readonly inFlight?: number;
}

/** A service that requests are routed to. */
export interface Service {
  readonly name: string;
  /** `model` for engines, `plain` for services called by method and path. */
  readonly kind: "model" | "plain";
  /** Models that a model service serves. */
  readonly models: readonly string[];
  /** Whether its runners refuse an order that carries an old fencing number. */
  readonly checksFencing: boolean;
  /** Requests that one runner may serve at once before adaptation. */
  readonly slotsPerRunner: number;
}

/** One version of the operators' table. */
export interface Table {
  readonly classes: readonly Class[];
  readonly workspaces: readonly Workspace[];
  readonly rows: readonly Row[];
  readonly services: readonly Service[];
}
