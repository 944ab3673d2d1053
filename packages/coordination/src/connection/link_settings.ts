/**
 * Settings of links: bounds, intervals and time-outs.
 *
 * @module
 */

const KIB = 1024;
const MIB = 1024 * KIB;

/** Bounds, intervals and time-outs of links. */
export interface LinkSettings {
  /**
   * Maximum size of a frame that is sent or accepted, in bytes, without its
   * length. All members must use the same value.
   */
  readonly maxFrameBytes: number;
  /**
   * Maximum size of a link's send queue, in bytes; `send` returns false when it
   * is full.
   */
  readonly maxQueuedBytes: number;
  /**
   * Maximum number of messages that are queued for one peer while its link is
   * being dialled.
   */
  readonly maxWaiting: number;
  /**
   * Maximum number of handlers in progress for one link; further requests are
   * refused, and further one-way messages dropped.
   */
  readonly maxInProgress: number;
  /** Maximum number of accepted connections in their handshake. */
  readonly maxHandshakes: number;
  /**
   * Time-out for connecting and the handshake together, and for the handshake
   * of an accepted connection. Two links established within this time of each
   * other count as dialled at the same time.
   */
  readonly dialTimeoutMs: number;
  /**
   * Backoff after the first failed dial; doubles with each failure up to
   * `maxBackoffMs`.
   */
  readonly minBackoffMs: number;
  /** Maximum backoff after failed dials. */
  readonly maxBackoffMs: number;
  /**
   * Time for which a link is active after a one-way message, a request or a
   * response. It is also active while a request is in progress.
   */
  readonly activeMs: number;
  /** Interval of heartbeats on an active link that sends nothing else. */
  readonly heartbeatMs: number;
  /** Interval of heartbeats on a link that is not active. */
  readonly idleHeartbeatMs: number;
  /**
   * Time-out after which an active link that receives nothing is closed. On a
   * link that is not active, `idleHeartbeatMs` is added.
   */
  readonly silentMs: number;
  /**
   * A link that carries no messages other than heartbeats for this long is
   * closed. Also the maximum time for which a link drains.
   */
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
