/**
 * Tracking of replies that this daemon awaits from other daemons.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";

/** Detects unresponsive daemons by overdue replies. */
export class ReplyTracker {
  readonly #clock: Clock;
  /** Monotonic milliseconds of the first unanswered request, by daemon. */
  readonly #awaitingSince = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Daemons from which a reply is awaited. */
  get awaitingReply(): readonly string[] {
    return [...this.#awaitingSince.keys()];
  }

  /** Records that a message that requires a reply was sent. */
  requestSent(name: string): void {
    if (this.#awaitingSince.has(name)) return;
    this.#awaitingSince.set(name, this.#clock.monotonic());
  }

  /** Records a message from a daemon; any message counts as the awaited reply. */
  replyReceived(name: string): void {
    this.#awaitingSince.delete(name);
  }

  /** Whether a reply from a daemon has been awaited for longer than a time-out. */
  isOverdue(name: string, timeoutMs: number): boolean {
    const since = this.#awaitingSince.get(name);
    return since !== undefined && this.#clock.monotonic() - since > timeoutMs;
  }

  /**
   * Drops all other daemons: a daemon that has left the view would otherwise be
   * queried forever.
   */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.#awaitingSince.keys()) {
      if (!names.has(name)) this.#awaitingSince.delete(name);
    }
  }
}
