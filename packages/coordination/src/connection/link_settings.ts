/**
 * Bounds and intervals of links.
 *
 * @module
 */

const KIB = 1024;
const MIB = 1024 * KIB;

/** Bounds and intervals of links. */
export interface LinkSettings {
  /** Largest frame accepted, in bytes. */
  readonly maxFrameBytes: number;
  /** Bytes that may wait to be sent on one link before `send` returns false. */
  readonly maxQueuedBytes: number;
  /** Messages that may wait for a link that is being dialled. */
  readonly maxWaiting: number;
  /** Handlers in progress for one link; more requests are refused. */
  readonly maxInProgress: number;
  /** Connections that may be in their handshake at once. */
  readonly maxHandshakes: number;
  /** Time for connecting and the handshake. */
  readonly dialTimeoutMs: number;
  /** Pause after a failed dial; doubles up to `maxBackoffMs`. */
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** A link counts as active for this long after a message. */
  readonly activeMs: number;
  /** Heartbeats on an active link that has nothing else to send. */
  readonly heartbeatMs: number;
  /** Heartbeats on a link that is not active. */
  readonly idleHeartbeatMs: number;
  /** An active link that is silent for this long is given up. */
  readonly silentMs: number;
  /** A link without messages for this long is closed. */
  readonly idleMs: number;
}

/** Settings for hosts a few milliseconds apart. */
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
