/**
 * Settings of probing and gossip.
 *
 * @module
 */

/** Intervals and bounds of probing and gossip. */
export interface ProbeSettings {
  /**
   * Length of a period, in milliseconds; each member probes one other per
   * period.
   */
  readonly periodMs: number;
  /**
   * Time to wait for the ack of a direct probe before indirect probes are
   * requested, in milliseconds.
   */
  readonly answerMs: number;
  /** Number of members asked to probe an unresponsive member indirectly. */
  readonly helpers: number;
  /**
   * Minimum time from suspicion to removal, in periods, in a group of up to ten
   * members. In larger groups it grows with the logarithm of the number of members.
   */
  readonly suspicionPeriods: number;
  /**
   * Factor by which the minimum time is multiplied while no other member has
   * confirmed the suspicion.
   */
  readonly suspicionStretch: number;
  /** Number of confirmations that reduce a suspicion to the minimum time. */
  readonly suspicionConfirmations: number;
  /** Number of periods between probes of a removed member. */
  readonly reprobePeriods: number;
  /**
   * How long a removed member that the platform does not list is probed again, in
   * milliseconds.
   */
  readonly reprobeForMs: number;
  /** Interval of gossip while records are queued, in milliseconds. */
  readonly gossipMs: number;
  /** Number of members that gossip is sent to per interval. */
  readonly gossipFanout: number;
  /**
   * Each changed record is sent this many times the binary logarithm of the number
   * of members.
   */
  readonly retransmits: number;
  /**
   * Number of records, taken in turn from all, that are sent with each probe in
   * addition to gossip, so that all views eventually converge.
   */
  readonly rotatingRecords: number;
  /** Largest datagram sent or accepted, in bytes. */
  readonly maxDatagramBytes: number;
  /**
   * Shortest pause of this process after which it refreshes its view, in
   * milliseconds.
   */
  readonly pauseMs: number;
  /**
   * Maximum local health score (0 is healthy); probe time-outs are multiplied by the
   * score plus one.
   */
  readonly maxSlowness: number;
  /** Number of members notified directly when this process leaves. */
  readonly leaveFanout: number;
}

/** Settings for a network latency of a few milliseconds between hosts. */
export const DEFAULT_PROBE_SETTINGS: ProbeSettings = {
  periodMs: 1000,
  answerMs: 400,
  helpers: 3,
  suspicionPeriods: 3,
  suspicionStretch: 3,
  suspicionConfirmations: 3,
  reprobePeriods: 5,
  reprobeForMs: 2 * 60 * 60 * 1000,
  gossipMs: 250,
  gossipFanout: 2,
  retransmits: 3,
  rotatingRecords: 2,
  maxDatagramBytes: 1400,
  pauseMs: 1500,
  maxSlowness: 8,
  leaveFanout: 16,
};
