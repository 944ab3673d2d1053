/**
 * Dispatch of free slots to waiting asks in the order of the queue.
 *
 * @module
 */
import type { BrokerReplies } from "./broker_replies.ts";
import type { BrokerState } from "./broker_state.ts";
import type { FairQueue } from "./fair_queue.ts";
import type { Flow } from "./flow.ts";
import type { RunnerChoice, RunnerPool } from "./runner_pool.ts";
import type { SlotLedger } from "./slot_ledger.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

/** Dependencies of a dispatcher. */
export interface GrantDispatcherDependencies {
  readonly queue: FairQueue;
  readonly pool: RunnerPool;
  readonly state: BrokerState;
  readonly slots: SlotLedger;
  readonly replies: BrokerReplies;
  /**
   * Number of member daemons. An entry that reaches no broker may use only the
   * slots divided by this number.
   */
  readonly members: () => number;
}

/** Grants slots to asks and refuses asks that can never be granted one. */
export class GrantDispatcher {
  readonly #dependencies: GrantDispatcherDependencies;

  constructor(dependencies: GrantDispatcherDependencies) {
    this.#dependencies = dependencies;
  }

  /** Grants slots until no waiting ask can be granted one now. */
  drain(now: number): void {
    while (this.#dependencies.queue.length > 0) {
      if (!this.#serveNext(now)) return;
    }
  }

  /** Removes an ask without a reply. */
  remove(waiting: WaitingAsk): void {
    this.#dependencies.queue.remove(waiting);
    this.#dependencies.state.removeWaiting(waiting);
  }

  /** Refuses an ask whose deadline has passed. */
  expire(waiting: WaitingAsk): void {
    this.#refuse(waiting, "deadline_passed");
  }

  /** Grants or refuses one ask; false if none can be served now. */
  #serveNext(now: number): boolean {
    const { queue, slots } = this.#dependencies;
    for (const flow of queue.order()) {
      if (!slots.admits(flow, now)) continue;
      const waiting = queue.headOf(flow, now);
      if (waiting === undefined) continue;
      if (this.#serve(flow, waiting, now)) return true;
    }
    return false;
  }

  /** Grants or refuses the head of a flow; false if it must wait. */
  #serve(flow: Flow, waiting: WaitingAsk, now: number): boolean {
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
    const { queue } = this.#dependencies;
    const order = queue.isBelowMinimumShare(flow.class)
      ? "minimum_share"
      : "tier";
    queue.dequeue(flow, waiting);
    this.#grant(waiting, { choice, now, order });
    return true;
  }

  #choose(waiting: WaitingAsk, now: number) {
    const { ask } = waiting;
    const { queue, pool, members } = this.#dependencies;
    return pool.choose(ask, {
      now,
      mayUseHeadroom: queue.isHighest(ask.class) ||
        queue.isBelowMinimumShare(ask.class),
      share: ask.alone ? 1 / Math.max(1, members()) : 1,
    });
  }

  #grant(
    waiting: WaitingAsk,
    grant: {
      readonly choice: RunnerChoice;
      readonly now: number;
      readonly order: "tier" | "minimum_share";
    },
  ): void {
    const { choice, now, order } = grant;
    const { state, slots, replies, queue } = this.#dependencies;
    state.removeWaiting(waiting);
    const held = slots.take(waiting, { runner: choice.runner.name, now });
    replies.grant(held, waiting.ask, {
      choice,
      order,
      waitedMs: now - waiting.arrivedAt,
      stillWaiting: queue.length,
    });
  }

  #refuse(waiting: WaitingAsk, code: "deadline_passed" | "no_runner"): void {
    this.remove(waiting);
    this.#dependencies.replies.refuse(waiting.entry, waiting.ask, { code });
  }
}
