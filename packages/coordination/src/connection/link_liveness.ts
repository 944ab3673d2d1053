/**
 * Whether a link is in use, silent or idle.
 *
 * @module
 */
import type { Clock } from "../process/clock.ts";
import type { LinkSettings } from "./link_settings.ts";

/** What a look at the clock says about a link. */
export type Liveness = "well" | "silent" | "idle";

/**
 * The moments at which a link was last heard, written and used.
 *
 * An active link is heartbeaten often, so that silence shows soon; one that
 * nothing waits for seldom, since hundreds of links at a heartbeat a second
 * would take a daemon's whole control traffic.
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

  /** A frame came. */
  recordReceived(): void {
    this.#lastReceivedAt = this.#clock.monotonic();
  }

  /** A frame was written. */
  recordSent(): void {
    this.#lastSentAt = this.#clock.monotonic();
  }

  /** A message other than a heartbeat passed. */
  recordMessage(awaited: boolean): void {
    const now = this.#clock.monotonic();
    if (!this.isActive(awaited)) this.#activeSince = now;
    this.#lastMessageAt = now;
  }

  /** Whether messages passed lately or an answer is awaited. */
  isActive(awaited: boolean): boolean {
    if (awaited) return true;
    return this.#clock.monotonic() - this.#lastMessageAt <
      this.#settings.activeMs;
  }

  /** Whether a heartbeat should be sent. */
  heartbeatDue(awaited: boolean): boolean {
    const { heartbeatMs, idleHeartbeatMs } = this.#settings;
    const interval = this.isActive(awaited) ? heartbeatMs : idleHeartbeatMs;
    return this.#clock.monotonic() - this.#lastSentAt >= interval;
  }

  /** What the silence and the lack of use amount to. */
  liveness(awaited: boolean): Liveness {
    const { silentMs, idleHeartbeatMs, idleMs } = this.#settings;
    const now = this.#clock.monotonic();
    const active = this.isActive(awaited);
    // The far end learns that the link is in use again only from our message,
    // so silence is counted from that message at the earliest.
    const heard = active
      ? Math.max(this.#lastReceivedAt, this.#activeSince)
      : this.#lastReceivedAt;
    const limitMs = active ? silentMs : idleHeartbeatMs + silentMs;
    if (now - heard > limitMs) return "silent";
    return !active && now - this.#lastMessageAt > idleMs ? "idle" : "well";
  }
}
