/**
 * Which other daemons owe this one an answer, and since when.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";

/** Notices daemons that have fallen silent by their missing answers. */
export class ReplyTracker {
  readonly #clock: Clock;
  /** Monotonic milliseconds since when an answer is awaited, by daemon. */
  readonly #awaitingSince = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Daemons that owe an answer. */
  get awaitingReply(): readonly string[] {
    return [...this.#awaitingSince.keys()];
  }

  /** Something was sent that has to be answered. */
  requestSent(name: string): void {
    if (this.#awaitingSince.has(name)) return;
    this.#awaitingSince.set(name, this.#clock.monotonic());
  }

  /** Takes anything that a daemon sends for the answer that it owes. */
  replyReceived(name: string): void {
    this.#awaitingSince.delete(name);
  }

  /** Whether a daemon has owed an answer for longer than that. */
  isOverdue(name: string, timeoutMs: number): boolean {
    const since = this.#awaitingSince.get(name);
    return since !== undefined && this.#clock.monotonic() - since > timeoutMs;
  }

  /** Forgets all others: one that has left the view would be asked for ever. */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.#awaitingSince.keys()) {
      if (!names.has(name)) this.#awaitingSince.delete(name);
    }
  }
}
