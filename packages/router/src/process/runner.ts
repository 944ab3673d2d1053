/**
 * Runners as listed by the platform.
 *
 * @module
 */

/**
 * One incarnation of a runner; a restart changes the id, but may keep the name.
 */
export interface Runner {
  /** Unique id of this incarnation; see {@linkcode runnerId}. */
  readonly id: string;
  /** Name in the platform's list; may stay the same across restarts. */
  readonly name: string;
  /**
   * Start of this incarnation in Unix ms of the runner's clock, if reported.
   */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /**
   * Version of its software, not of its weights. Undefined in a list from a daemon
   * that does not know versions.
   */
  readonly softwareVersion?: string | undefined;
  /** IP address. */
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** Whether it is shutting down and accepts no new requests. */
  readonly draining: boolean;
  /**
   * Whether the platform may reclaim it, with all others in its failure domain.
   */
  readonly preemptible?: boolean | undefined;
  /**
   * Duration of its warm-up after the start, in ms, during which it is slow.
   */
  readonly warmUpMs: number;
}

const RADIX = 36;

/**
 * Builds the id of a runner's incarnation from its name and start time. All
 * state on runners is keyed by this id, so that the cache, failures and load of
 * one incarnation are never attributed to the next, even if a peer reports them
 * late.
 *
 * @example
 * ```ts
 * runnerId("i-7f3a", 1_789_070_168_000); // "i-7f3a~mtvzsp8g"
 * ```
 */
export function runnerId(
  name: string,
  startedAtMs: number | undefined,
): string {
  if (startedAtMs === undefined) return name;
  return `${name}~${startedAtMs.toString(RADIX)}`;
}
