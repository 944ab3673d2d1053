/**
 * The operators' configuration: routes, services, workspaces and limits. Daemons
 * send it to each other, so the names of its fields are on the wire.
 *
 * @module
 */

import type { Scaling } from "../process/scaling.ts";

/** Whether a request may be retried at another runner after it may have run. */
export type Repetition =
  /** Always: running it twice does no harm. */
  | "idempotent"
  /** A broken stream may be resumed at another runner after its last event. */
  | "resumable"
  /** Never. */
  | "never";

/** A service that a route sends requests to, and its share of them. */
export interface Destination {
  readonly service: string;
  readonly weight: number;
}

/** A rule that maps a host and a path prefix to a class of requests. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly repetition: Repetition;
  /** Whether responses are event streams. */
  readonly streaming: boolean;
  /** Time-out of a request in ms, after which the caller gets a final response. */
  readonly timeoutMs: number;
  /** Target latency in ms of the response, or of the first event of a stream. */
  readonly targetMs: number;
  /** Target in ms for the gap between two events of a stream. */
  readonly gapTargetMs: number | undefined;
  /** Maximum ms without an event that callers of a stream tolerate. */
  readonly patienceMs: number;
  /** Tier of the route, 0 being the most urgent. */
  readonly tier: number;
  readonly destinations: readonly Destination[];
  /** Maximum number of runners to which one request is sent. */
  readonly maxAttempts: number;
  /** Whether requests without a key are accepted. */
  readonly anonymous: boolean;
}

/** Capacity and streaming of a model engine. */
export interface Engine {
  /** Maximum number of requests in one batch. */
  readonly slots: number;
  /** Capacity of the KV cache, in tokens. */
  readonly memoryTokens: number;
  /** Tokens in one event of a stream. */
  readonly eventTokens: number;
  /**
   * Milliseconds in which a runner fetches the KV cache of one token from another
   * runner; absent where it cannot.
   */
  readonly fetchMsPerToken: number | undefined;
}

/** A group of runners that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Connections that one runner accepts from all callers together. */
  readonly maxConnections: number;
  /** Path of the runners' health check; "/" if absent. */
  readonly healthPath?: string | undefined;
  /** Absent for a plain service. */
  readonly engine: Engine | undefined;
  /** Absent where daemons do not scale the service. */
  readonly scaling?: Scaling | undefined;
}

/** A workspace that sends requests, and the keys that authenticate it. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the tier of the route. */
  readonly tier: number | undefined;
  /** Weight of its share of scarce capacity; 1 if absent. */
  readonly weight?: number | undefined;
}

/** Limits on the size of callers' requests and on the time they take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly workspaces: readonly Workspace[];
  readonly limits: CallerLimits;
}
