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
  readonly #awaited = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Daemons that owe an answer. */
  get awaitingReply(): readonly string[] {
    return [...this.#awaited.keys()];
  }

  /** Something was sent that has to be answered. */
  requestSent(name: string): void {
    if (this.#awaited.has(name)) return;
    this.#awaited.set(name, this.#clock.monotonic());
  }

  /** Takes anything that a daemon sends for the answer that it owes. */
  replyReceived(name: string): void {
    this.#awaited.delete(name);
  }

  /** Whether a daemon has owed an answer for longer than that. */
  isOverdue(name: string, patienceMs: number): boolean {
    const since = this.#awaited.get(name);
    return since !== undefined && this.#clock.monotonic() - since > patienceMs;
  }

  /** Forgets all others: one that has left the view would be asked for ever. */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.#awaited.keys()) {
      if (!names.has(name)) this.#awaited.delete(name);
    }
  }
}
