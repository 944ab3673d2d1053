/**
 * What operators configure: routes, services, workspaces and limits.
 *
 * @module
 */

import type { Scaling } from "../process/scaling.ts";

/** When a request may be sent to a second runner after it may have run. */
export type Repetition =
  /** At any time: running it twice does no harm. */
  | "idempotent"
  /** A broken stream may go on at another runner after the last event. */
  | "resumable"
  /** Never. */
  | "never";

/** A service that a route may lead to, and its share of the requests. */
export interface Destination {
  readonly service: string;
  readonly weight: number;
}

/** One rule that maps a host and a path prefix to a class of requests. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repetition: Repetition;
  /** Whether answers are streams of events. */
  readonly streaming: boolean;
  /** Milliseconds after which the caller gets a final answer. */
  readonly timeoutMs: number;
  /** Milliseconds to the answer, or to the first event of a stream. */
  readonly targetMs: number;
  /** Longest pause between two events that is still on time, in ms. */
  readonly gapTargetMs: number | undefined;
  /** Milliseconds for which callers bear to hear nothing of a stream. */
  readonly patienceMs: number;
  /** Tier of the route, 0 being the most urgent. */
  readonly tier: number;
  readonly destinations: readonly Destination[];
  /** Most runners that one request is sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly anonymous: boolean;
}

/** What a model engine holds and how it streams. */
export interface Engine {
  /** Requests in one batch. */
  readonly slots: number;
  /** Tokens that its memory holds. */
  readonly memoryTokens: number;
  /** Tokens in one event of a stream. */
  readonly eventTokens: number;
  /**
   * Milliseconds in which a runner fetches the memory of one token from another
   * one; absent when it cannot.
   */
  readonly fetchMsPerToken: number | undefined;
}

/** Runners that answer the same requests. */
export interface Service {
  readonly name: string;
  /** Connections that one runner accepts from all callers together. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine: Engine | undefined;
  /** Absent where the number of runners is not for daemons to decide. */
  readonly scaling?: Scaling | undefined;
}

/** Who sends requests, and the keys that prove it. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the tier of the route. */
  readonly tier: number | undefined;
}

/** Bounds on what callers send and how long they take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of all that operators configure. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly workspaces: readonly Workspace[];
  readonly limits: CallerLimits;
}
