/**
 * A caller for tests and measurements: sends calls and tells how each ended.
 *
 * @module
 */
import { clientRequest } from "@umbermast/coordination/client_request";
import { ClientAgent } from "@umbermast/coordination/client_socket";
import type { Agent } from "node:http";
import { urlToHttpOptions } from "node:url";
import type { Answer } from "./request/answer.ts";
import { Progress } from "./request/progress.ts";
import {
  PlainBody,
  type Reader,
  RefusalBody,
  StreamedBody,
  WholeBody,
} from "./request/readers.ts";

/** Settings of a caller. */
export interface CallerOptions {
  /** Key of its workspace; none sends no `authorization`. */
  readonly key?: string;
  /** Agent that holds its connections; one of its own by default. */
  readonly agent?: Agent;
}

/** Settings of any call. */
export interface CallOptions {
  readonly class?: string;
  /** False sends `umbermast-repeatable: false`. */
  readonly repeatable?: boolean;
  readonly idempotencyKey?: string;
  /** Further request headers. */
  readonly headers?: Readonly<Record<string, string>>;
  /** The caller leaves when it is aborted. */
  readonly signal?: AbortSignal;
  /** Silence after which the caller gives up; 60 s by default. */
  readonly idleMs?: number;
}

/** A chat call. */
export interface ChatOptions extends CallOptions {
  /** Default: streamed. */
  readonly streamed?: boolean;
  /** First message: the prefix that prompts share. */
  readonly system?: string;
  readonly prompt?: string;
  readonly maxTokens?: number;
  /** Output length at the stand-in engine. */
  readonly testTokens?: number;
  /** First token expected, for the resume of a stream; 0 by default. */
  readonly fromToken?: number;
  /** Called with the number of tokens so far whenever some arrive. */
  readonly onTokens?: (tokens: number) => void;
}

/** A call of a plain service. */
export interface PlainOptions extends CallOptions {
  readonly method?: string;
  readonly body?: string;
}

const FIRST_ERROR_STATUS = 400;
const DEFAULT_IDLE_MS = 60_000;

/** A caller of one daemon or, for comparison, of one runner. */
export class Caller {
  readonly #url: string;
  readonly #key: string | undefined;
  readonly #agent: Agent;

  /**
   * @example
   * ```ts
   * const caller = new Caller(stack.daemons[0].url, { key });
   * const answer = await caller.chat("drafting-llm", { testTokens: 20 });
   * assert.equal(answer.outcome, "complete");
   * caller.close();
   * ```
   */
  constructor(url: string, options: CallerOptions = {}) {
    this.#url = url;
    this.#key = options.key;
    this.#agent = options.agent ?? new ClientAgent({ keepAlive: true });
  }

  /** Sends a chat call; never rejects. */
  chat(model: string, options: ChatOptions = {}): Promise<Answer> {
    const streamed = options.streamed ?? true;
    const messages = [
      ...(options.system === undefined
        ? []
        : [{ role: "system", content: options.system }]),
      { role: "user", content: options.prompt ?? "A quote, please" },
    ];
    const body = JSON.stringify({
      model,
      messages,
      stream: streamed,
      max_tokens: options.maxTokens,
      umbermast_test_tokens: options.testTokens,
    });
    return this.#send("/v1/chat/completions", { ...options, body }, {
      begin: (call) =>
        streamed ? new StreamedBody(call, options) : new WholeBody(call),
    });
  }

  /** Calls a plain service; never rejects. */
  plain(path: string, options: PlainOptions = {}): Promise<Answer> {
    return this.#send(path, options, {
      begin: (call) => new PlainBody(call, options.body ?? ""),
    });
  }

  /** Closes idle connections. */
  close(): void {
    this.#agent.destroy();
  }

  #send(
    path: string,
    options: PlainOptions,
    reading: { readonly begin: (call: Progress) => Reader },
  ): Promise<Answer> {
    return new Promise((resolve) => {
      const progress = new Progress();
      const call = clientRequest({
        ...urlToHttpOptions(new URL(`${this.#url}${path}`)),
        method: options.method ?? "POST",
        headers: this.#headers(options),
        agent: this.#agent,
        timeout: options.idleMs ?? DEFAULT_IDLE_MS,
        ...(options.signal === undefined ? {} : { signal: options.signal }),
      });
      let reader: Reader | undefined;
      const left = () => options.signal?.aborted ?? false;
      call.on("timeout", () => call.destroy(new Error("idle for too long")));
      call.on("error", (error: NodeJS.ErrnoException) => {
        if (reader !== undefined) return;
        resolve(progress.unanswered(error, left()));
      });
      call.on("response", (response) => {
        progress.head(response);
        const chosen = progress.status < FIRST_ERROR_STATUS
          ? reading.begin(progress)
          : new RefusalBody(progress);
        reader = chosen;
        response.setEncoding("utf8");
        response.on("data", (text: string) => chosen.take(text));
        response.on("error", () => {});
        response.on("close", () => {
          const whole = response.complete && response.errored === null;
          const answer = chosen.end(whole);
          resolve(left() ? { ...answer, outcome: "cancelled" } : answer);
        });
      });
      call.end(options.body);
    });
  }

  #headers(options: PlainOptions): Record<string, string> {
    const headers: Record<string, string> = {
      "content-type": "application/json",
      ...options.headers,
    };
    if (this.#key !== undefined) headers.authorization = `Bearer ${this.#key}`;
    if (options.class !== undefined) headers["umbermast-class"] = options.class;
    if (options.repeatable === false) headers["umbermast-repeatable"] = "false";
    if (options.idempotencyKey !== undefined) {
      headers["idempotency-key"] = options.idempotencyKey;
    }
    return headers;
  }
}
