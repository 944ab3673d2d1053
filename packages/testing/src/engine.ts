/**
 * The stand-in for a model engine.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Batch } from "./process/batch.ts";
import { CacheFeed } from "./process/cache_feed.ts";
import { ENGINE_DEFAULTS, type EngineConfig } from "./process/engine_config.ts";
import { Faults } from "./process/faults.ts";
import {
  header,
  readJson,
  sendJson,
  serve,
  type StandIn,
} from "./process/http_server.ts";
import { Ledger, type Run } from "./process/ledger.ts";
import { LoadHistory } from "./process/load_history.ts";
import { Orders, readOrder } from "./process/orders.ts";
import { PrefixCache } from "./process/prefix_cache.ts";
import { seededRandom } from "./process/random.ts";
import { Completion } from "./request/completion.ts";
import { type Prompt, readPrompt } from "./request/prompt.ts";
import { refuse } from "./request/refusal.ts";

const MAX_OUTPUT_TOKENS = 4096;
const DEFAULT_STRAGGLE = 5;
const DEFAULT_CRASH_TOKENS = 5;
const MS_PER_SECOND = 1000;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;

/** Starts an engine in this process. */
export async function startEngine(
  config: Partial<EngineConfig> = {},
): Promise<StandIn> {
  const engine = new Engine({ ...ENGINE_DEFAULTS, ...config });
  const standIn = await serve(
    (request, response) => engine.handle(request, response),
    { faults: engine.faults, port: engine.config.port },
  );
  return {
    ...standIn,
    close: async () => {
      engine.close();
      await standIn.close();
    },
  };
}

class Engine {
  readonly config: EngineConfig;
  readonly faults = new Faults();
  readonly #ledger = new Ledger();
  /** Completions by request id, while they run or may be resumed. */
  readonly #completions = new Map<string, Completion>();
  readonly #orders: Orders;
  readonly #feed: CacheFeed;
  readonly #cache: PrefixCache;
  readonly #batch: Batch;
  readonly #load: LoadHistory<object>;

  constructor(config: EngineConfig) {
    this.config = config;
    this.#orders = new Orders(config);
    const random = seededRandom(`${config.seed}/cache-events`);
    this.#feed = new CacheFeed({
      lagMs: config.cacheEventLagMs,
      lost: () => random() < config.cacheEventLoss,
    });
    this.#cache = new PrefixCache(
      config.cacheTokens,
      (event) => this.#feed.publish(event),
    );
    this.#batch = new Batch(config, {
      cache: this.#cache,
      slowdown: () => {
        const order = this.faults.get("straggle");
        return order === undefined ? 1 : order.factor ?? DEFAULT_STRAGGLE;
      },
    });
    this.#load = new LoadHistory(() => this.#readLoad(), config.loadLagMs);
  }

  close(): void {
    this.#batch.close();
    this.#load.close();
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { pathname, searchParams } = new URL(request.url ?? "/", "http://x");
    const route = `${request.method} ${pathname}`;
    if (route === "GET /ledger") return sendJson(response, this.#ledger.list());
    if (route === "GET /orders-ledger") {
      return sendJson(response, this.#orders.entries);
    }
    if (this.faults.get("down") !== undefined) {
      request.socket.destroy();
      return;
    }
    if (route === "POST /v1/chat/completions") {
      return await this.#complete(request, response);
    }
    if (route === "GET /load") return sendJson(response, this.#load.report());
    if (route === "POST /v1/cancel") {
      return await this.#cancel(request, response);
    }
    if (route === "POST /orders") return await this.#order(request, response);
    if (route === "GET /cache-events") {
      const from = Number(searchParams.get("from") ?? 0);
      const wait = Number(searchParams.get("wait") ?? 0);
      return sendJson(response, await this.#feed.read(from, wait));
    }
    if (pathname.startsWith("/kv/")) {
      return await this.#kv(request, response);
    }
    sendJson(response, { error: `Unknown path "${pathname}"` }, {
      status: NOT_FOUND,
    });
  }

  async #complete(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const resumeAt = header(request, "umbermast-resume-offset");
    if (resumeAt !== undefined) {
      await readJson(request);
      return this.#resume(request, response, Number(resumeAt));
    }
    const prompt = readPrompt(await readJson(request));
    const run = this.#ledger.open(request, {
      model: prompt?.model ?? null,
      promptTokens: prompt?.promptTokens ?? 0,
    });
    if (prompt === undefined) {
      return refuse(response, run, { code: "bad_request" });
    }
    if (!this.#orders.models.includes(prompt.model)) {
      return refuse(response, run, { code: "model_not_found" });
    }
    if (this.faults.get("leaving")?.factor === 0) {
      return refuse(response, run, { code: "leaving" });
    }
    const completion = this.#completion(request, { prompt, run });
    if (!this.#batch.submit(completion)) {
      return refuse(response, run, { code: "queue_full" });
    }
    this.#completions.set(run.requestId, completion);
    completion.attach(response, { attemptId: run.attemptId, offset: 0 });
  }

  #completion(
    request: IncomingMessage,
    options: { readonly prompt: Prompt; readonly run: Run },
  ): Completion {
    const { prompt, run } = options;
    const resumable = Number(header(request, "umbermast-resumable") ?? 0);
    const wanted = prompt.testTokens ?? this.#drawTokens(run.requestId);
    const bound = prompt.maxTokens ?? MAX_OUTPUT_TOKENS;
    const plan = {
      ...prompt,
      priority: Number(header(request, "umbermast-priority") ?? 0),
      outputTokens: Math.min(wanted, bound),
      cut: wanted > bound,
      resumableMs: prompt.streamed ? resumable * MS_PER_SECOND : 0,
    };
    const completion = new Completion(plan, {
      run,
      faults: {
        crashes: (tokens) => this.#crashes(tokens),
        losesReply: () => this.faults.strike("lose-reply") !== undefined,
      },
      gone: () => {
        if (this.#completions.get(run.requestId) !== completion) return;
        this.#completions.delete(run.requestId);
      },
    });
    return completion;
  }

  #crashes(tokens: number): boolean {
    const order = this.faults.get("crash-mid-answer");
    if (order === undefined) return this.faults.get("down") !== undefined;
    if (tokens < (order.afterTokens ?? DEFAULT_CRASH_TOKENS)) return false;
    this.faults.strike("crash-mid-answer");
    return true;
  }

  /** The same request draws the same length at any engine of the seed. */
  #drawTokens(requestId: string): number {
    const random = seededRandom(`${this.config.seed}/${requestId}`);
    const drawn = -Math.log(1 - random()) * this.config.meanTokens;
    return Math.min(MAX_OUTPUT_TOKENS, Math.max(1, Math.round(drawn)));
  }

  #resume(
    request: IncomingMessage,
    response: ServerResponse,
    offset: number,
  ): void {
    const requestId = header(request, "umbermast-request-id") ?? "";
    const attemptId = header(request, "umbermast-attempt-id") ?? "";
    const completion = this.#completions.get(requestId);
    if (completion === undefined) {
      sendJson(response, { error: { code: "resume_unknown" } }, {
        status: NOT_FOUND,
        headers: {
          "umbermast-request-id": requestId,
          "umbermast-attempt-id": attemptId,
        },
      });
      return;
    }
    completion.run.resumes += 1;
    completion.attach(response, { attemptId, offset });
  }

  async #cancel(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(request) as { requestId?: string } | undefined;
    const completion = this.#completions.get(body?.requestId ?? "");
    completion?.stop("cancelled");
    sendJson(response, { cancelled: completion !== undefined });
  }

  async #order(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = readOrder(await readJson(request));
    if (typeof order === "string") {
      return sendJson(response, { error: order }, { status: BAD_REQUEST });
    }
    const accepted = this.#orders.take(order);
    sendJson(response, { fencing: this.#orders.fencing }, {
      ...(accepted ? {} : { status: PRECONDITION_FAILED }),
    });
  }

  async #kv(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const prefix = decodeURIComponent((request.url ?? "").slice("/kv/".length));
    if (request.method === "PUT") {
      const body = await readJson(request) as { tokens?: number } | undefined;
      if (!(Number(body?.tokens) > 0)) {
        const error = "/tokens: expected a number above 0";
        return sendJson(response, { error }, { status: BAD_REQUEST });
      }
      this.#cache.store(prefix, Number(body?.tokens));
      return sendJson(response, { prefix });
    }
    const tokens = this.#cache.get(prefix);
    if (tokens > 0) return sendJson(response, { prefix, tokens });
    sendJson(response, { error: `Unknown prefix "${prefix}"` }, {
      status: NOT_FOUND,
    });
  }

  #readLoad(): object {
    return {
      running: this.#batch.running,
      waiting: this.#batch.waiting,
      slots: this.config.maxBatch,
      stepMs: this.#batch.stepMs,
      kvUsed: this.#batch.tokens + this.#cache.used,
      kvTotal: this.config.kvTotal,
      models: this.#orders.models,
      role: this.#orders.role,
      leaving: this.faults.get("leaving") !== undefined,
      incarnation: this.config.incarnation,
    };
  }
}
