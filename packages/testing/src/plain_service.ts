/**
 * The stand-in for a plain service, such as a job card or notice service.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { randomUUID } from "node:crypto";
import { Faults } from "./process/faults.ts";
import {
  header,
  readBody,
  sendJson,
  serve,
  type StandIn,
} from "./process/http_server.ts";
import { Ledger, type Run } from "./process/ledger.ts";
import { LoadHistory } from "./process/load_history.ts";

/** Settings of a plain service. */
export interface PlainConfig {
  readonly name: string;
  readonly service: string;
  /** 0 lets the system choose. */
  readonly port: number;
  readonly incarnation: number;
  /** Calls served at once; more are refused. */
  readonly slots: number;
  /** How long a call takes. */
  readonly serviceMs: number;
  readonly loadLagMs: number;
}

/** Defaults of a plain service's settings. */
export const PLAIN_DEFAULTS: PlainConfig = {
  name: "plain",
  service: "plain",
  port: 0,
  incarnation: 1,
  slots: 64,
  serviceMs: 5,
  loadLagMs: 500,
};

const UNAVAILABLE = 503;
const DEFAULT_STRAGGLE = 5;

/** Starts a plain service in this process. */
export async function startPlainService(
  config: Partial<PlainConfig> = {},
): Promise<StandIn> {
  const service = new PlainService({ ...PLAIN_DEFAULTS, ...config });
  const standIn = await serve(
    (request, response) => service.handle(request, response),
    { faults: service.faults, port: service.config.port },
  );
  return {
    ...standIn,
    close: async () => {
      service.close();
      await standIn.close();
    },
  };
}

class PlainService {
  readonly config: PlainConfig;
  readonly faults = new Faults();
  readonly #ledger = new Ledger();
  readonly #load: LoadHistory<object>;
  #running = 0;

  constructor(config: PlainConfig) {
    this.config = config;
    this.#load = new LoadHistory(() => this.#readLoad(), config.loadLagMs);
  }

  close(): void {
    this.#load.close();
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const route = `${request.method} ${request.url}`;
    if (route === "GET /ledger") return sendJson(response, this.#ledger.list());
    if (this.faults.get("down") !== undefined) {
      request.socket.destroy();
      return;
    }
    if (route === "GET /load") return sendJson(response, this.#load.report());
    await this.#call(request, response);
  }

  async #call(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const run = this.#ledger.open(request, { model: null, promptTokens: 0 });
    const ids = {
      "umbermast-request-id": run.requestId,
      "umbermast-attempt-id": run.attemptId,
    };
    const refusing = this.faults.get("leaving")?.factor === 0;
    if (refusing || this.#running >= this.config.slots) {
      run.finish("refused");
      const headers = { ...ids, "umbermast-started": "false" };
      const error = { code: refusing ? "leaving" : "busy" };
      sendJson(response, { error }, { status: UNAVAILABLE, headers });
      return;
    }
    this.#running += 1;
    await pause(this.config.serviceMs * this.#slowdown());
    this.#running -= 1;
    run.finish("complete");
    const crash = this.faults.strike("crash-mid-answer");
    if (this.faults.strike("lose-reply") !== undefined) {
      response.destroy();
      return;
    }
    if (crash !== undefined) return breakOff(response, ids);
    sendJson(response, this.#echo(request, { body, run }), { headers: ids });
  }

  #echo(
    request: IncomingMessage,
    options: { readonly body: Buffer; readonly run: Run },
  ): object {
    return {
      callId: randomUUID(),
      service: this.config.service,
      runner: this.config.name,
      requestId: options.run.requestId,
      idempotencyKey: header(request, "idempotency-key") ?? null,
      method: request.method,
      path: request.url,
      headers: request.headers,
      body: options.body.toString("utf8"),
    };
  }

  #slowdown(): number {
    const order = this.faults.get("straggle");
    return order === undefined ? 1 : order.factor ?? DEFAULT_STRAGGLE;
  }

  #readLoad(): object {
    return {
      running: this.#running,
      waiting: 0,
      slots: this.config.slots,
      leaving: this.faults.get("leaving") !== undefined,
      incarnation: this.config.incarnation,
    };
  }
}

/** Sends a part of an answer, then breaks the connection. */
function breakOff(
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
): void {
  const length = 1000;
  response.writeHead(200, { ...headers, "content-length": length });
  response.write('{"callId":', () => response.destroy());
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
