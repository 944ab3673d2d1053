/**
 * Ages of the data by which a daemon decides, for the log and the metrics.
 *
 * @module
 */
import type { Fields } from "./log_line.ts";

/**
 * Milliseconds since what a daemon has was last confirmed.
 */
export interface DataAges {
  /**
   * Since the store last confirmed the configuration, to this daemon or to another;
   * before that, since the start.
   */
  readonly configurationMs: number;
  /** The same for the list of runners. */
  readonly runnersMs: number;
  /** Since any peer last sent its versions; undefined before. */
  readonly heardMs: number | undefined;
  /** Since a peer first sent newer versions; undefined unless still behind them. */
  readonly behindMs: number | undefined;
  /** Number of links that are up. */
  readonly peers: number;
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
