/**
 * The record of every run that reached a runner: the ground truth of tests
 * about running once, wasted work and "not run".
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { header } from "./http_server.ts";

/** How a run ended. */
export type RunEnd = "complete" | "cancelled" | "crashed" | "refused";

/** One run as `GET /ledger` gives it. Times in epoch milliseconds. */
export interface LedgerEntry {
  readonly requestId: string | null;
  readonly attemptId: string | null;
  readonly idempotencyKey: string | null;
  readonly workspace: string | null;
  readonly class: string | null;
  readonly model: string | null;
  /** When the request reached the runner. */
  readonly startedAt: number;
  /** Null while it runs or waits. */
  readonly endedAt: number | null;
  readonly promptTokens: number;
  /** Tokens generated so far. */
  readonly tokens: number;
  /** The run was cut off before its end. */
  readonly cancelled: boolean;
  readonly refused: boolean;
  /** Null while it runs or waits. */
  readonly end: RunEnd | null;
  /** How often the stream was resumed. */
  readonly resumes: number;
}

/** A run being recorded. */
export class Run {
  readonly requestId: string;
  readonly attemptId: string;
  tokens = 0;
  resumes = 0;
  readonly #known: Pick<
    LedgerEntry,
    "idempotencyKey" | "workspace" | "class" | "model" | "promptTokens"
  >;
  readonly #startedAt = Date.now();
  #endedAt: number | null = null;
  #end: RunEnd | null = null;

  constructor(
    request: IncomingMessage,
    known: { readonly model: string | null; readonly promptTokens: number },
  ) {
    this.requestId = header(request, "umbermast-request-id") ?? "";
    this.attemptId = header(request, "umbermast-attempt-id") ?? "";
    this.#known = {
      idempotencyKey: header(request, "idempotency-key") ?? null,
      workspace: header(request, "umbermast-workspace") ?? null,
      class: header(request, "umbermast-class") ?? null,
      ...known,
    };
  }

  /** Closes the record; later calls have no effect. */
  finish(end: RunEnd): void {
    if (this.#end !== null) return;
    this.#end = end;
    this.#endedAt = Date.now();
  }

  toJSON(): LedgerEntry {
    return {
      requestId: this.requestId || null,
      attemptId: this.attemptId || null,
      ...this.#known,
      startedAt: this.#startedAt,
      endedAt: this.#endedAt,
      tokens: this.tokens,
      cancelled: this.#end === "cancelled" || this.#end === "crashed",
      refused: this.#end === "refused",
      end: this.#end,
      resumes: this.resumes,
    };
  }
}

/** All runs of one runner, in order of arrival. */
export class Ledger {
  readonly #runs: Run[] = [];

  /** Starts the record of a run. */
  open(
    request: IncomingMessage,
    known: { readonly model: string | null; readonly promptTokens: number },
  ): Run {
    const run = new Run(request, known);
    this.#runs.push(run);
    return run;
  }

  list(): readonly LedgerEntry[] {
    return this.#runs.map((run) => run.toJSON());
  }
}
