/**
 * What a broker answers to entries, with a log line for each decision.
 *
 * @module
 */
import type { Log } from "../log.ts";
import type { AskMessage, EntryMessage } from "./messages.ts";
import type { Verdict } from "./admission_control.ts";
import type { Choice } from "./runner_pool.ts";
import type { Held } from "./runner_state.ts";
import type { Waiting } from "./waiting_ask.ts";

/** A grant that was not used by then is of no use. */
export const GRANT_MS = 5_000;
const RETRY_MS = 1_000;

/** What is said of a grant. */
export interface GrantReason {
  readonly choice: Choice;
  /** What put the ask first. */
  readonly order: "tier" | "minimum_share";
  readonly waitedMs: number;
  /** Asks that wait on. */
  readonly stillWaiting: number;
}

/** Sends grants and refusals. */
export class BrokerAnswers {
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
  grant(held: Held, ask: AskMessage, reason: GrantReason): void {
    const { choice, order, waitedMs, stillWaiting } = reason;
    this.#log.decision("slot_granted", {
      ...named(ask),
      entry: held.entry,
      runner: held.runner,
      runnersUp: choice.runnersUp.join(","),
      why: choice.why,
      order,
      waitedMs: Math.round(waitedMs),
      stillWaiting,
    });
    this.repeat(held);
  }

  /** Sends a grant, for the first time or again. */
  repeat(held: Held): void {
    this.#send(held.entry, {
      type: "grant",
      service: this.#service,
      askId: held.askId,
      epoch: held.epoch,
      runner: held.runner,
      validForMs: GRANT_MS,
    });
  }

  /** Sheds an ask to make room. */
  shed(
    waiting: Waiting,
    state: { readonly tier: number; readonly waiting: number },
  ): void {
    this.#log.decision("ask_shed", {
      ...named(waiting.ask),
      ...state,
      why: "queue_full",
    });
    this.#refuse(waiting.entry, waiting.ask, {
      code: "queue_full",
      retryAfterMs: RETRY_MS,
    });
  }

  /** Refuses an ask. */
  refuse(
    entry: string,
    ask: AskMessage,
    verdict: Pick<Verdict, "code"> & Partial<Verdict>,
  ): void {
    const { code, retryAfterMs = RETRY_MS } = verdict;
    this.#log.decision("ask_refused", {
      ...named(ask),
      why: code,
      retryAfterMs,
    });
    this.#refuse(entry, ask, { code, retryAfterMs });
  }

  /** Answers a beat; `resync` asks the entry to present all that it has. */
  alive(entry: string, reply: { readonly resync: boolean }): void {
    const service = this.#service;
    this.#send(entry, { type: "beat_reply", service, ...reply });
  }

  #refuse(entry: string, ask: AskMessage, verdict: Verdict): void {
    const { askId, epoch } = ask;
    this.#send(entry, { type: "refuse", askId, epoch, ...verdict });
  }
}

function named(ask: AskMessage) {
  return {
    requestId: ask.requestId,
    askId: ask.askId,
    workspace: ask.workspace,
    class: ask.class,
  };
}
