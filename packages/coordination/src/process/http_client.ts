/**
 * Sends HTTP requests to the platform over persistent connections.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import { Agent, request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Unavailable } from "./store.ts";

const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
const MS_PER_SECOND = 1_000;

/** A complete response of the store. */
export interface StoreResponse {
  readonly status: number;
  /** Decoded JSON; absent if there was none. */
  readonly body?: unknown;
  readonly retryAfterMs?: number;
}

/** A request to the store. */
export interface StoreRequest {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | undefined;
}

/** Sends requests to one address: the platform's store or host list. */
export class HttpClient {
  readonly #base: URL;
  readonly #agent: Agent;

  constructor(base: URL, options: { readonly maxSockets: number }) {
    this.#base = base;
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: options.maxSockets,
      scheduling: "lifo",
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  /** Sends one request; interruption closes its connection. */
  send(
    message: StoreRequest,
    options: { readonly timeoutMs: number },
  ): Effect.Effect<StoreResponse, Unavailable> {
    return Effect.callback<StoreResponse, Unavailable>((resume) => {
      const tracker = new RequestTracker(message.method !== "GET");
      const finish = (result: Effect.Effect<StoreResponse, Unavailable>) => {
        clearTimeout(timer);
        resume(result);
      };
      const outgoing = request({
        agent: this.#agent,
        host: this.#base.hostname,
        port: this.#base.port,
        method: message.method,
        path: message.path,
        headers: headersOf(message),
      });
      const timer = setTimeout(() => {
        finish(Effect.fail(tracker.failure("No answer in time")));
        outgoing.destroy();
        this.closeIdleConnections();
      }, options.timeoutMs);
      tracker.track(outgoing);
      outgoing.on("error", (error) => {
        finish(Effect.fail(tracker.failure(error.message)));
      });
      outgoing.on("response", (incoming) => {
        readResponse(incoming, (response) => {
          finish(
            typeof response === "string"
              ? Effect.fail(tracker.failure(response))
              : Effect.succeed(response),
          );
        });
      });
      outgoing.end(message.body);
      return Effect.sync(() => {
        clearTimeout(timer);
        outgoing.destroy();
      });
    });
  }

  /**
   * Closes idle connections. They share the network path of a connection that
   * stopped responding, and each of them would make the next request time out.
   */
  closeIdleConnections(): void {
    for (const sockets of Object.values(this.#agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

/**
 * Tracks whether any byte of a request may have left this process, and thus
 * whether a write may have taken effect.
 */
class RequestTracker {
  readonly #isWrite: boolean;
  #connected = false;

  constructor(writes: boolean) {
    this.#isWrite = writes;
  }

  track(outgoing: ClientRequest): void {
    outgoing.on("socket", (socket) => {
      if (!socket.connecting) {
        this.#connected = true;
        return;
      }
      socket.once("connect", () => {
        this.#connected = true;
      });
    });
  }

  failure(reason: string): Unavailable {
    return {
      _tag: "Unavailable",
      reason,
      // Nothing can have reached the store before the connection is
      // established. After that the result is unknown, so the caller must read
      // a write back.
      mayHaveWritten: this.#isWrite && this.#connected,
    };
  }
}

function headersOf(message: StoreRequest): Record<string, string | number> {
  if (message.body === undefined) return { ...message.headers };
  return {
    ...message.headers,
    "content-type": "application/json",
    "content-length": Buffer.byteLength(message.body),
  };
}

function readResponse(
  incoming: IncomingMessage,
  done: (response: StoreResponse | string) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  incoming.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAX_RESPONSE_BYTES) {
      incoming.destroy();
      done("The response is too large");
      return;
    }
    chunks.push(chunk);
  });
  incoming.on("error", (error) => done(error.message));
  incoming.on("aborted", () => done("The response was cut off"));
  incoming.on("end", () => {
    if (incoming.complete) done(parseResponse(incoming, Buffer.concat(chunks)));
  });
}

function parseResponse(
  incoming: IncomingMessage,
  bytes: Buffer,
): StoreResponse | string {
  const retryAfter = Number(incoming.headers["retry-after"]);
  const status = incoming.statusCode ?? 0;
  const body = bytes.length === 0 ? undefined : parse(bytes);
  if (body instanceof SyntaxError && status === 200) {
    return "The response is not JSON";
  }
  return {
    status,
    ...(body instanceof SyntaxError ? {} : { body }),
    ...(Number.isFinite(retryAfter)
      ? { retryAfterMs: retryAfter * MS_PER_SECOND }
      : {}),
  };
}

function parse(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8"));
  } catch (error) {
    return error;
  }
}
