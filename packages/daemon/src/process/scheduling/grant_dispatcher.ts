/**
 * Gives free slots to waiting asks, in the queue's order.
 *
 * @module
 */
import type { BrokerAnswers } from "./broker_replies.ts";
import type { BrokerBooks } from "./broker_state.ts";
import type { FairQueue } from "./fair_queue.ts";
import type { Flow } from "./flow.ts";
import type { Choice, RunnerPool } from "./runner_pool.ts";
import type { SlotLedger } from "./slot_ledger.ts";
import type { Waiting } from "./waiting_ask.ts";

/** What granting works with. */
export interface GrantingParts {
  readonly queue: FairQueue;
  readonly pool: RunnerPool;
  readonly books: BrokerBooks;
  readonly slots: SlotLedger;
  readonly answers: BrokerAnswers;
  /** Daemons that take part; a lone one gets its share of the slots. */
  readonly members: () => number;
}

/** Grants, and refuses what can never be granted. */
export class Granting {
  readonly #parts: GrantingParts;

  constructor(parts: GrantingParts) {
    this.#parts = parts;
  }

  /** Grants all that can be granted now. */
  drain(now: number): void {
    while (this.#parts.queue.length > 0) {
      if (!this.#serveOne(now)) return;
    }
  }

  /** Takes an ask out without an answer. */
  forget(waiting: Waiting): void {
    this.#parts.queue.remove(waiting);
    this.#parts.books.removeWaiting(waiting);
  }

  /** Refuses an ask whose answer is of no use any more. */
  expire(waiting: Waiting): void {
    this.#refuse(waiting, "deadline_passed");
  }

  /** Grants or refuses one ask; false when nothing can be done now. */
  #serveOne(now: number): boolean {
    const { queue, slots } = this.#parts;
    for (const flow of queue.order()) {
      if (!slots.admits(flow, now)) continue;
      const waiting = queue.headOf(flow, now);
      if (waiting === undefined) continue;
      if (this.#serve(flow, waiting, now)) return true;
    }
    return false;
  }

  /** Grants or refuses the head of a flow; false when it has to wait. */
  #serve(flow: Flow, waiting: Waiting, now: number): boolean {
    if (waiting.deadlineAt <= now) {
      this.expire(waiting);
      return true;
    }
    const choice = this.#choose(waiting, now);
    if (choice._tag === "Busy") return false;
    if (choice._tag === "None") {
      this.#refuse(waiting, "no_runner");
      return true;
    }
    const { queue } = this.#parts;
    const order = queue.isOwed(flow.class) ? "minimum_share" : "tier";
    queue.take(flow, waiting);
    this.#grant(waiting, { choice, now, order });
    return true;
  }

  #choose(waiting: Waiting, now: number) {
    const { ask } = waiting;
    const { queue, pool, members } = this.#parts;
    return pool.choose(ask, {
      now,
      highest: queue.isHighest(ask.class) || queue.isOwed(ask.class),
      share: ask.alone ? 1 / Math.max(1, members()) : 1,
    });
  }

  #grant(
    waiting: Waiting,
    given: {
      readonly choice: Choice;
      readonly now: number;
      readonly order: "tier" | "minimum_share";
    },
  ): void {
    const { choice, now, order } = given;
    const { books, slots, answers, queue } = this.#parts;
    books.removeWaiting(waiting);
    const held = slots.take(waiting, { runner: choice.runner.name, now });
    answers.grant(held, waiting.ask, {
      choice,
      order,
      waitedMs: now - waiting.arrivedAt,
      stillWaiting: queue.length,
    });
  }

  #refuse(waiting: Waiting, code: "deadline_passed" | "no_runner"): void {
    this.forget(waiting);
    this.#parts.answers.refuse(waiting.entry, waiting.ask, { code });
  }
}
