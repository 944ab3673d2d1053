/**
 * A broker's replies to entry daemons, with a log line for each decision.
 *
 * @module
 */
import type { Log } from "../log.ts";
import type { AskMessage, EntryMessage } from "./messages.ts";
import type { Refusal } from "./admission_control.ts";
import type { RunnerChoice } from "./runner_pool.ts";
import type { GrantedSlot } from "./runner_state.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

/** Validity of a grant; an entry must use it within this time. */
export const GRANT_VALIDITY_MS = 5_000;
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Details of a grant, for the log. */
export interface GrantDetails {
  readonly choice: RunnerChoice;
  /** Rule that put the ask before the other waiting asks. */
  readonly order: "tier" | "minimum_share";
  readonly waitedMs: number;
  /** Number of asks that still wait. */
  readonly stillWaiting: number;
}

/** Sends grants and refusals. */
export class BrokerReplies {
  readonly #service: string;
  readonly #log: Log;
  readonly #send: (entry: string, message: EntryMessage) => void;

  constructor(service: string, dependencies: {
    readonly log: Log;
    readonly send: (entry: string, message: EntryMessage) => void;
  }) {
    this.#service = service;
    this.#log = dependencies.log;
    this.#send = dependencies.send;
  }

  /** Logs and sends a new grant. */
  grant(slot: GrantedSlot, ask: AskMessage, details: GrantDetails): void {
    const { choice, order, waitedMs, stillWaiting } = details;
    this.#log.decision("slot_granted", {
      ...askFields(ask),
      entry: slot.entry,
      runner: slot.runner,
      runnersUp: choice.runnersUp.join(","),
      why: choice.why,
      order,
      waitedMs: Math.round(waitedMs),
      stillWaiting,
    });
    this.sendGrant(slot);
  }

  /** Sends a grant without logging it, for the first time or again. */
  sendGrant(slot: GrantedSlot): void {
    this.#send(slot.entry, {
      type: "grant",
      service: this.#service,
      askId: slot.askId,
      epoch: slot.epoch,
      runner: slot.runner,
      validForMs: GRANT_VALIDITY_MS,
    });
  }

  /**
   * Refuses an ask that the full queue has shed.
   *
   * @param state tier of the shed ask, and number of asks that still wait.
   */
  shed(
    shedAsk: WaitingAsk,
    state: { readonly tier: number; readonly waiting: number },
  ): void {
    this.#log.decision("ask_shed", {
      ...askFields(shedAsk.ask),
      ...state,
      why: "queue_full",
    });
    this.#sendRefusal(shedAsk.entry, shedAsk.ask, {
      code: "queue_full",
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    });
  }

  /** Refuses an ask. */
  refuse(
    entry: string,
    ask: AskMessage,
    refusal: Pick<Refusal, "code"> & Partial<Refusal>,
  ): void {
    const { code, retryAfterMs = DEFAULT_RETRY_AFTER_MS } = refusal;
    this.#log.decision("ask_refused", {
      ...askFields(ask),
      why: code,
      retryAfterMs,
    });
    this.#sendRefusal(entry, ask, { code, retryAfterMs });
  }

  /** Replies to a heartbeat; `resync` requests a snapshot from the entry. */
  replyToHeartbeat(entry: string, reply: { readonly resync: boolean }): void {
    const service = this.#service;
    this.#send(entry, { type: "beat_reply", service, ...reply });
  }

  #sendRefusal(entry: string, ask: AskMessage, refusal: Refusal): void {
    const { askId, epoch } = ask;
    this.#send(entry, { type: "refuse", askId, epoch, ...refusal });
  }
}

function askFields(ask: AskMessage) {
  return {
    requestId: ask.requestId,
    askId: ask.askId,
    workspace: ask.workspace,
    class: ask.class,
  };
}
