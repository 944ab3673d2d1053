/**
 * The server that callers connect to.
 *
 * @module
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { ListenAddress } from "../process/settings.ts";
import type { CallerLimits } from "../version/configuration.ts";

/** Milliseconds between checks for requests that take too long to arrive. */
const CHECK_MS = 500;
/**
 * Largest head that is read at all, in bytes. The configured limit, which may
 * change while connections are open, is checked behind it.
 */
const MAX_HEAD_BYTES = 64 * 1024;

/** Answers one request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Opens a server at an address. */
export function listen(server: Server, address: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
}

/** Takes connections of callers and keeps them by the limits in force. */
export class CallerServer {
  readonly #server: Server;
  #inFlight = 0;

  constructor(handler: RequestHandler, maxConnections: number) {
    this.#server = createServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_MS,
      keepAlive: true,
      noDelay: true,
    }, (request, response) => {
      this.#inFlight += 1;
      response.once("close", () => this.#inFlight -= 1);
      handler(request, response);
    });
    this.#server.maxConnections = maxConnections;
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  open(address: ListenAddress): Promise<void> {
    return listen(this.#server, address);
  }

  /** Puts limits in force, for open connections from their next request on. */
  limit(limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    // Also bounds how long a connection may be open before its first request.
    this.#server.headersTimeout = limits.idleTimeoutMs;
    this.#server.requestTimeout = limits.idleTimeoutMs +
      limits.headerTimeoutMs;
  }

  /** Takes no new connections and closes those that have no request. */
  stopAccepting(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }
}
