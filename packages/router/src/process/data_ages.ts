/**
 * Ages of the data by which a daemon decides, for the log and the metrics.
 *
 * @module
 */
import type { Fields } from "./log_line.ts";

/**
 * Milliseconds since what a daemon has was last confirmed. A value is undefined
 * before the first confirmation. A daemon that does not watch the store gets its
 * data from peers: there, only `heardMs` is expected to stay low.
 */
export interface DataAges {
  /** Since the store last responded to this daemon about configurations. */
  readonly configurationMs: number | undefined;
  /** Since the store last responded to this daemon about runners. */
  readonly runnersMs: number | undefined;
  /** Since any peer last sent its versions. */
  readonly heardMs: number | undefined;
  /** Since a peer first sent newer versions; undefined unless still behind them. */
  readonly behindMs: number | undefined;
  /** Number of links that are up. */
  readonly peers: number;
}

/** Returns the time since an event, in ms; undefined if it has not occurred. */
export function ageOf(at: number, now: number): number | undefined {
  return at === -Infinity ? undefined : now - at;
}

function rounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** Returns the fields of a log line. */
export function ageFields(ages: DataAges): Fields {
  return {
    configuration_age_ms: rounded(ages.configurationMs),
    runners_age_ms: rounded(ages.runnersMs),
    heard_ms: rounded(ages.heardMs),
    behind_ms: rounded(ages.behindMs),
    peers: ages.peers,
  };
}
