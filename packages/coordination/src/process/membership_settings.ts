/**
 * Intervals and bounds of probing.
 *
 * @module
 */

/** Intervals and bounds of probing. */
export interface ProbeSettings {
  /** Each member probes one other a period, in milliseconds. */
  readonly periodMs: number;
  /** Wait for a direct answer before others are asked to probe. */
  readonly answerMs: number;
  /** Members asked to probe one that does not answer. */
  readonly helpers: number;
  /**
   * Shortest time from suspicion to removal, in periods, for up to ten members;
   * grows with the logarithm of their number.
   */
  readonly suspicionPeriods: number;
  /** A suspicion that nobody shares lasts this many times longer. */
  readonly suspicionStretch: number;
  /** Members that must share a suspicion for the shortest time to hold. */
  readonly suspicionConfirmations: number;
  /** Every so many periods one removed member is probed again. */
  readonly reprobePeriods: number;
  /** A removed member that is not listed is probed again for this long. */
  readonly reprobeForMs: number;
  /** While there is news it is sent this often, to `gossipFanout` members. */
  readonly gossipMs: number;
  readonly gossipFanout: number;
  /** News is sent this many times the binary logarithm of the members' number. */
  readonly retransmits: number;
  /** Records beside the news in each probe, so that all views agree in the end. */
  readonly rotatingRecords: number;
  /** Largest datagram sent or accepted, in bytes. */
  readonly maxDatagramBytes: number;
  /** A process that stood still for this long checks its view before it judges. */
  readonly pauseMs: number;
  /** Waits grow by this many times at most while this process itself is slow. */
  readonly maxSlowness: number;
  /** Members told directly of leaving. */
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
