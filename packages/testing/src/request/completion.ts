/**
 * One chat completion at the engine: its tokens, and the connection it goes to.
 *
 * Token `k` of request `R` reads `R:k `, so that a caller can tell mixed,
 * missing and doubled tokens.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Sequence } from "../process/batch.ts";
import type { Run, RunEnd } from "../process/ledger.ts";

/** What a completion generates, and for whom. */
export interface CompletionPlan {
  readonly model: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly prefix: string;
  readonly prefixTokens: number;
  /** Tokens until the end. */
  readonly outputTokens: number;
  /** Whether a bound of the request cuts the output. */
  readonly cut: boolean;
  readonly streamed: boolean;
  /** Milliseconds that it runs on, and is kept, for a resume; 0 for none. */
  readonly resumableMs: number;
}

/** Faults that a completion asks about. */
export interface CompletionFaults {
  /** Whether it crashes after so many tokens. */
  crashes(tokens: number): boolean;
  /** Whether the connection breaks instead of carrying the answer. */
  losesReply(): boolean;
}

const HTTP_OK = 200;
const MS_PER_SECOND = 1000;

/** A chat completion being generated. */
export class Completion implements Sequence {
  readonly run: Run;
  readonly #plan: CompletionPlan;
  readonly #faults: CompletionFaults;
  readonly #created = Math.floor(Date.now() / MS_PER_SECOND);
  readonly #eventStart: string;
  readonly #gone: () => void;
  #response: ServerResponse | undefined;
  #offset = 0;
  #ended = false;
  #expiry: NodeJS.Timeout | undefined;

  /** `gone` is called once, when it can no longer be resumed. */
  constructor(
    plan: CompletionPlan,
    options: {
      readonly run: Run;
      readonly faults: CompletionFaults;
      readonly gone: () => void;
    },
  ) {
    this.#plan = plan;
    this.run = options.run;
    this.#faults = options.faults;
    this.#gone = options.gone;
    this.#eventStart = `data: {"id":${JSON.stringify(this.#id)},` +
      `"object":"chat.completion.chunk","created":${this.#created},` +
      `"model":${JSON.stringify(plan.model)},"choices":[{"index":0,` +
      `"delta":{"content":"${this.run.requestId}:`;
  }

  get priority(): number {
    return this.#plan.priority;
  }

  get promptTokens(): number {
    return this.#plan.promptTokens;
  }

  get prefix(): string {
    return this.#plan.prefix;
  }

  get prefixTokens(): number {
    return this.#plan.prefixTokens;
  }

  get tokens(): number {
    return this.run.tokens;
  }

  get cancelled(): boolean {
    return this.#ended;
  }

  /** Sends the answer, from token `offset` on, to this connection. */
  attach(
    response: ServerResponse,
    options: { readonly attemptId: string; readonly offset: number },
  ): void {
    // A resume takes the stream over from a connection that may be silent.
    this.#response?.destroy();
    clearTimeout(this.#expiry);
    this.#response = response;
    this.#offset = options.offset;
    response.setHeader("umbermast-request-id", this.run.requestId);
    response.setHeader("umbermast-attempt-id", options.attemptId);
    response.on("close", () => this.#detach(response));
    if (!this.#plan.streamed) return;
    response.setHeader("content-type", "text/event-stream");
    const held = this.tokens;
    for (let token = options.offset; token < held; token++) {
      response.write(this.#event(token));
    }
    if (held === this.#plan.outputTokens) response.end("data: [DONE]\n\n");
  }

  /** Ends it before its end. */
  stop(end: RunEnd): void {
    this.#close(end);
    this.#response?.destroy();
    this.#forget();
  }

  emit(): boolean {
    const token = this.run.tokens++;
    const last = this.run.tokens === this.#plan.outputTokens;
    if (this.#plan.streamed) this.#stream(token);
    if (this.#ended) return true;
    if (this.#faults.crashes(this.run.tokens)) {
      this.stop("crashed");
      return true;
    }
    if (last) this.#complete();
    return last;
  }

  get #id(): string {
    return `chatcmpl-${this.run.requestId}`;
  }

  #stream(token: number): void {
    const response = this.#response;
    if (response === undefined || token < this.#offset) return;
    if (!response.headersSent) {
      if (this.#faults.losesReply()) {
        response.destroy();
        return;
      }
      response.writeHead(HTTP_OK);
    }
    response.write(this.#event(token));
  }

  #event(token: number): string {
    const start = `${this.#eventStart}${token} "},"finish_reason":`;
    if (token < this.#plan.outputTokens - 1) return `${start}null}]}\n\n`;
    const usage = JSON.stringify(this.#usage());
    return `${start}"${this.#finishReason}"}],"usage":${usage}}\n\n`;
  }

  #complete(): void {
    this.#close("complete");
    const response = this.#response;
    if (this.#plan.streamed) response?.end("data: [DONE]\n\n");
    else if (this.#faults.losesReply()) response?.destroy();
    else if (response !== undefined) this.#sendWhole(response);
    if (this.#plan.resumableMs === 0) return this.#forget();
    this.#expireLater();
  }

  #sendWhole(response: ServerResponse): void {
    const { requestId } = this.run;
    let content = "";
    for (let token = 0; token < this.tokens; token++) {
      content += `${requestId}:${token} `;
    }
    const message = { role: "assistant", content };
    const body = Buffer.from(JSON.stringify({
      id: this.#id,
      object: "chat.completion",
      created: this.#created,
      model: this.#plan.model,
      choices: [{ index: 0, message, finish_reason: this.#finishReason }],
      usage: this.#usage(),
    }));
    response.writeHead(HTTP_OK, {
      "content-type": "application/json",
      "content-length": body.length,
    });
    response.end(body);
  }

  get #finishReason(): string {
    return this.#plan.cut ? "length" : "stop";
  }

  #usage() {
    return {
      prompt_tokens: this.#plan.promptTokens,
      completion_tokens: this.#plan.outputTokens,
      total_tokens: this.#plan.promptTokens + this.#plan.outputTokens,
    };
  }

  #detach(response: ServerResponse): void {
    if (this.#response !== response) return;
    this.#response = undefined;
    if (this.#ended) return;
    if (this.#plan.resumableMs === 0) return this.stop("cancelled");
    this.#expireLater();
  }

  #expireLater(): void {
    clearTimeout(this.#expiry);
    this.#expiry = setTimeout(
      () => this.stop("cancelled"),
      this.#plan.resumableMs,
    );
    this.#expiry.unref();
  }

  #close(end: RunEnd): void {
    this.#ended = true;
    this.run.finish(end);
  }

  #forget(): void {
    clearTimeout(this.#expiry);
    this.#gone();
  }
}
