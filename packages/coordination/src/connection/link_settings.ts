/**
 * Settings of links: bounds, intervals and time-outs.
 *
 * @module
 */

const KIB = 1024;
const MIB = 1024 * KIB;

/** Bounds, intervals and time-outs of links. */
export interface LinkSettings {
  /** Largest frame accepted, in bytes. */
  readonly maxFrameBytes: number;
  /**
   * Size of a link's send queue, in bytes; `send` returns false when it is
   * full.
   */
  readonly maxQueuedBytes: number;
  /** Messages that are queued for one peer while its link is being dialled. */
  readonly maxWaiting: number;
  /** Handlers in progress for one link; further requests are refused. */
  readonly maxInProgress: number;
  /** Accepted connections that may be in their handshake at once. */
  readonly maxHandshakes: number;
  /** Time-out for connecting and the handshake. */
  readonly dialTimeoutMs: number;
  /**
   * Backoff after a failed dial; doubles with each failure up to
   * `maxBackoffMs`.
   */
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** A link is active for this long after a message. */
  readonly activeMs: number;
  /** Interval of heartbeats on an active link that sends nothing else. */
  readonly heartbeatMs: number;
  /** Interval of heartbeats on an inactive link. */
  readonly idleHeartbeatMs: number;
  /** Time-out after which an active link that receives nothing is closed. */
  readonly silentMs: number;
  /** A link that carries no messages for this long is closed. */
  readonly idleMs: number;
}

/** Settings for hosts with a few milliseconds of latency between them. */
export const DEFAULT_LINK_SETTINGS: LinkSettings = {
  maxFrameBytes: 4 * MIB,
  maxQueuedBytes: 4 * MIB,
  maxWaiting: 256,
  maxInProgress: 1024,
  maxHandshakes: 256,
  dialTimeoutMs: 1000,
  minBackoffMs: 100,
  maxBackoffMs: 5000,
  activeMs: 5000,
  heartbeatMs: 1000,
  idleHeartbeatMs: 10_000,
  silentMs: 3000,
  idleMs: 60_000,
};
