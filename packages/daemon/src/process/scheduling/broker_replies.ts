/**
 * What a broker answers to entries, with a log line for each decision.
 *
 * @module
 */
import type { Log } from "../log.ts";
import type { AskMessage, EntryMessage } from "./messages.ts";
import type { Refusal } from "./admission_control.ts";
import type { Choice } from "./runner_pool.ts";
import type { GrantedSlot } from "./runner_state.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

/** A grant that was not used by then is of no use. */
export const GRANT_VALIDITY_MS = 5_000;
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** What is said of a grant. */
export interface GrantDetails {
  readonly choice: Choice;
  /** What put the ask first. */
  readonly order: "tier" | "minimum_share";
  readonly waitedMs: number;
  /** Asks that wait on. */
  readonly stillWaiting: number;
}

/** Sends grants and refusals. */
export class BrokerReplies {
  readonly #service: string;
  readonly #log: Log;
  readonly #send: (entry: string, message: EntryMessage) => void;

  constructor(service: string, parts: {
    readonly log: Log;
    readonly send: (entry: string, message: EntryMessage) => void;
  }) {
    this.#service = service;
    this.#log = parts.log;
    this.#send = parts.send;
  }

  /** Grants a slot. */
  grant(held: GrantedSlot, ask: AskMessage, details: GrantDetails): void {
    const { choice, order, waitedMs, stillWaiting } = details;
    this.#log.decision("slot_granted", {
      ...askFields(ask),
      entry: held.entry,
      runner: held.runner,
      runnersUp: choice.runnersUp.join(","),
      why: choice.why,
      order,
      waitedMs: Math.round(waitedMs),
      stillWaiting,
    });
    this.sendGrant(held);
  }

  /** Sends a grant, for the first time or again. */
  sendGrant(held: GrantedSlot): void {
    this.#send(held.entry, {
      type: "grant",
      service: this.#service,
      askId: held.askId,
      epoch: held.epoch,
      runner: held.runner,
      validForMs: GRANT_VALIDITY_MS,
    });
  }

  /** Sheds an ask to make room. */
  shed(
    waiting: WaitingAsk,
    state: { readonly tier: number; readonly waiting: number },
  ): void {
    this.#log.decision("ask_shed", {
      ...askFields(waiting.ask),
      ...state,
      why: "queue_full",
    });
    this.#sendRefusal(waiting.entry, waiting.ask, {
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

  /** Answers a beat; `resync` asks the entry to present all that it has. */
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
