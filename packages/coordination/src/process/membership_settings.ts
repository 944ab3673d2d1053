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
   * Wait for a direct ack before indirect probes are requested, in
   * milliseconds.
   */
  readonly answerMs: number;
  /** Number of members asked to probe one that does not answer. */
  readonly helpers: number;
  /**
   * Minimum time from suspicion to removal, in periods, for up to ten members;
   * grows with the logarithm of the number of members.
   */
  readonly suspicionPeriods: number;
  /** A suspicion without confirmations lasts this many times the minimum. */
  readonly suspicionStretch: number;
  /** Number of confirmations that reduce a suspicion to the minimum time. */
  readonly suspicionConfirmations: number;
  /** Number of periods between probes of a removed member. */
  readonly reprobePeriods: number;
  /** How long a removed, unlisted member is probed again, in milliseconds. */
  readonly reprobeForMs: number;
  /** Interval of gossip while records are queued, in milliseconds. */
  readonly gossipMs: number;
  /** Number of members that gossip is sent to per interval. */
  readonly gossipFanout: number;
  /**
   * Gossip is sent this many times the binary logarithm of the number of
   * members.
   */
  readonly retransmits: number;
  /**
   * Records per probe in addition to gossip, so that all views eventually
   * converge.
   */
  readonly rotatingRecords: number;
  /** Largest datagram sent or accepted, in bytes. */
  readonly maxDatagramBytes: number;
  /**
   * Shortest pause of this process after which it refreshes its view, in
   * milliseconds.
   */
  readonly pauseMs: number;
  /** Maximum local health score; waits are multiplied by the score plus one. */
  readonly maxSlowness: number;
  /** Number of members notified directly when this process leaves. */
  readonly leaveFanout: number;
}

/** Settings for hosts a few milliseconds apart. */
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
