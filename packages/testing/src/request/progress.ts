/**
 * Head and times of a call under way.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Answer, Outcome } from "./answer.ts";

/** Head and times of a call under way. */
export class Progress {
  readonly #startedAt = performance.now();
  #response: IncomingMessage | undefined;

  head(response: IncomingMessage): void {
    this.#response = response;
  }

  get status(): number {
    return this.#response?.statusCode ?? 0;
  }

  get elapsedMs(): number {
    return performance.now() - this.#startedAt;
  }

  get requestId(): string {
    return this.header("umbermast-request-id") ?? "";
  }

  header(name: string): string | undefined {
    const value = this.#response?.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  answer(outcome: Outcome, more: Partial<Answer> = {}): Answer {
    const { status, requestId } = this;
    const wholeMs = this.elapsedMs;
    return { outcome, status, requestId, tokens: 0, wholeMs, ...more };
  }

  /** No head arrived: without a connection nothing can have run. */
  unanswered(error: NodeJS.ErrnoException, left: boolean): Answer {
    if (left) return this.answer("cancelled");
    const outcome = error.code === "ECONNREFUSED" ? "not-run" : "unknown";
    return this.answer(outcome, { finding: error.message });
  }
}
