/**
 * Detects silent and idle links, and schedules heartbeats.
 *
 * @module
 */
import type { Clock } from "../process/clock.ts";
import type { LinkSettings } from "./link_settings.ts";

/**
 * State of a link: nothing is received on a silent one, and nothing uses an
 * idle one.
 */
export type Liveness = "healthy" | "silent" | "idle";

/**
 * Records when a link last received, sent and carried messages.
 *
 * Active links exchange heartbeats often, so that a failed one is detected
 * soon. Inactive links exchange them seldom: with hundreds of links, one
 * heartbeat a second on each would use up a daemon's whole budget of control
 * traffic.
 */
export class LinkActivity {
  readonly #settings: LinkSettings;
  readonly #clock: Clock;
  #lastReceivedAt: number;
  #lastSentAt: number;
  #lastMessageAt: number;
  #activeSince: number;

  constructor(settings: LinkSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
    const now = clock.monotonic();
    this.#lastReceivedAt = now;
    this.#lastSentAt = now;
    this.#lastMessageAt = now;
    this.#activeSince = now;
  }

  /** Records that a frame was received. */
  recordReceived(): void {
    this.#lastReceivedAt = this.#clock.monotonic();
  }

  /** Records that a frame was sent. */
  recordSent(): void {
    this.#lastSentAt = this.#clock.monotonic();
  }

  /**
   * Records that a one-way message, a request or a response was sent or
   * received.
   */
  recordMessage(hasRequests: boolean): void {
    const now = this.#clock.monotonic();
    if (!this.isActive(hasRequests)) this.#activeSince = now;
    this.#lastMessageAt = now;
  }

  /** Whether messages passed recently or a request is in progress. */
  isActive(hasRequests: boolean): boolean {
    if (hasRequests) return true;
    return this.#clock.monotonic() - this.#lastMessageAt <
      this.#settings.activeMs;
  }

  /** Whether a heartbeat should be sent. */
  isHeartbeatDue(hasRequests: boolean): boolean {
    const { heartbeatMs, idleHeartbeatMs } = this.#settings;
    const intervalMs = this.isActive(hasRequests)
      ? heartbeatMs
      : idleHeartbeatMs;
    return this.#clock.monotonic() - this.#lastSentAt >= intervalMs;
  }

  /**
   * Classifies the link by the time since it last received and last was used.
   */
  liveness(hasRequests: boolean): Liveness {
    const { silentMs, idleHeartbeatMs, idleMs } = this.#settings;
    const now = this.#clock.monotonic();
    const active = this.isActive(hasRequests);
    // The peer learns that the link is active again only from the first
    // message, so silence is counted from that message at the earliest.
    const silentSince = active
      ? Math.max(this.#lastReceivedAt, this.#activeSince)
      : this.#lastReceivedAt;
    const limitMs = active ? silentMs : idleHeartbeatMs + silentMs;
    if (now - silentSince > limitMs) return "silent";
    return !active && now - this.#lastMessageAt > idleMs ? "idle" : "healthy";
  }
}
