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
export class LinkTimes {
  readonly #settings: LinkSettings;
  readonly #clock: Clock;
  #heard: number;
  #sent: number;
  #used: number;
  #activeSince: number;

  constructor(settings: LinkSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
    const now = clock.monotonic();
    this.#heard = now;
    this.#sent = now;
    this.#used = now;
    this.#activeSince = now;
  }

  /** A frame came. */
  heard(): void {
    this.#heard = this.#clock.monotonic();
  }

  /** A frame was written. */
  sent(): void {
    this.#sent = this.#clock.monotonic();
  }

  /** A message other than a heartbeat passed. */
  used(awaited: boolean): void {
    const now = this.#clock.monotonic();
    if (!this.active(awaited)) this.#activeSince = now;
    this.#used = now;
  }

  /** Whether messages passed lately or an answer is awaited. */
  active(awaited: boolean): boolean {
    if (awaited) return true;
    return this.#clock.monotonic() - this.#used < this.#settings.activeMs;
  }

  /** Whether a heartbeat should be sent. */
  heartbeatDue(awaited: boolean): boolean {
    const { heartbeatMs, idleHeartbeatMs } = this.#settings;
    const interval = this.active(awaited) ? heartbeatMs : idleHeartbeatMs;
    return this.#clock.monotonic() - this.#sent >= interval;
  }

  /** What the silence and the lack of use amount to. */
  verdict(awaited: boolean): Liveness {
    const { silentMs, idleHeartbeatMs, idleMs } = this.#settings;
    const now = this.#clock.monotonic();
    const active = this.active(awaited);
    // The far end learns that the link is in use again only from our message,
    // so silence is counted from that message at the earliest.
    const heard = active
      ? Math.max(this.#heard, this.#activeSince)
      : this.#heard;
    const limitMs = active ? silentMs : idleHeartbeatMs + silentMs;
    if (now - heard > limitMs) return "silent";
    return !active && now - this.#used > idleMs ? "idle" : "well";
  }
}
