/**
 * The server that callers connect to.
 *
 * @module
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { ListenAddress } from "../process/settings.ts";
import type { AddressInfo, Socket } from "node:net";
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
  /** Requests in flight on each open connection. */
  readonly #connections = new Map<Socket, number>();
  #inFlight = 0;

  constructor(handler: RequestHandler, maxConnections: number) {
    this.#server = createServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_MS,
      keepAlive: true,
      noDelay: true,
    }, (request, response) => {
      const { socket } = request;
      this.#count(socket, 1);
      response.once("close", () => this.#count(socket, -1));
      handler(request, response);
    });
    this.#server.on("connection", (socket) => {
      this.#connections.set(socket, 0);
      socket.once("close", () => this.#connections.delete(socket));
    });
    this.#server.maxConnections = maxConnections;
  }

  /** Requests that have no final answer yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** The port that it listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
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

  /**
   * Takes no new connections and closes those that have no request, among them
   * connections that never had one, which Node itself does not count as idle.
   */
  stopAccepting(): void {
    this.#server.close();
    for (const [socket, inFlight] of this.#connections) {
      if (inFlight === 0) socket.end();
    }
  }

  /** Closes everything at once. */
  destroy(): void {
    this.#server.close();
    for (const socket of this.#connections.keys()) socket.destroy();
  }

  #count(socket: Socket, change: number): void {
    this.#inFlight += change;
    const before = this.#connections.get(socket);
    if (before !== undefined) this.#connections.set(socket, before + change);
  }
}
