/**
 * The HTTP server for callers.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionLimits } from "../process/connection_limits.ts";
import type { EventLog } from "../process/event_log.ts";
import type { ListenAddress } from "../process/settings.ts";
import { timerDelay } from "../process/timer_delay.ts";
import type { CallerLimits } from "../version/configuration.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { EvictionLog } from "./eviction_log.ts";
import { Listening } from "./listening.ts";
import { createSerialServer } from "./serial_server.ts";

/** Milliseconds between checks for requests that take too long to arrive. */
const CHECK_MS = 500;
/**
 * Maximum size of a head that the server parses. The configured limit, which may change
 * while connections are open, is checked afterwards.
 */
const MAX_HEAD_BYTES = 64 * 1024;

/** Handles one request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Accepts connections of callers and enforces the configured time-outs. */
export class CallerServer {
  readonly #server: Server;
  readonly #listening: Listening;
  readonly #pool: ConnectionPool;
  /** Number of requests in flight on each open connection. */
  readonly #connections = new Map<Socket, number>();
  #inFlight = 0;
  /** Whether connections close behind their last responses. */
  #closing = false;

  /**
   * @param options.accepts returns whether new connections are served; others are
   * closed unread.
   */
  constructor(handler: RequestHandler, options: {
    readonly limits: ConnectionLimits;
    readonly accepts: () => boolean;
    readonly log: EventLog;
  }) {
    const { accepts, limits, log } = options;
    const evictions = new EvictionLog(log, "callers");
    this.#pool = new ConnectionPool(limits, (reason) => evictions.add(reason));
    this.#server = createSerialServer({
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_MS,
      keepAlive: true,
      noDelay: true,
    }, {
      pool: this.#pool,
      accepts,
      serve: (request, response) => {
        const { socket } = request;
        this.#count(socket, 1);
        response.once("close", () => this.#count(socket, -1));
        handler(request, response);
      },
    });
    this.#server.on("connection", (socket: Socket) => {
      if (socket.destroyed) return;
      this.#connections.set(socket, 0);
      socket.once("close", () => this.#connections.delete(socket));
    });
    this.#listening = new Listening(this.#server, { name: "callers", log });
  }

  /** Number of requests whose responses are not finished. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#pool.size;
  }

  /** Bytes of requests that have not begun. */
  get unreadBytes(): number {
    return this.#pool.heldBytes;
  }

  /** Takes fewer connections, as no descriptor is left for the process's own work. */
  shrink(): void {
    this.#pool.shrink();
  }

  /** The port that the server listens on; 0 before it does. */
  get port(): number {
    return this.#listening.port;
  }

  /** Whether connections are accepted. */
  get isOpen(): boolean {
    return this.#listening.isOpen;
  }

  /** Accepts connections; see {@linkcode Listening.open}. */
  open(address: ListenAddress): Promise<void> {
    return this.#listening.open(address);
  }

  /** Applies limits, which open connections use from their next request on. */
  applyLimits(limits: CallerLimits): void {
    const idleMs = timerDelay(limits.idleTimeoutMs);
    this.#server.keepAliveTimeout = idleMs;
    // Also bounds how long a connection may be open before its first request.
    this.#server.headersTimeout = idleMs;
    this.#server.requestTimeout = timerDelay(idleMs + limits.headerTimeoutMs);
  }

  /**
   * Stops accepting connections and closes those without a request in flight.
   * These include connections that never had a request, which Node does not
   * count as idle. Others close behind their responses: that of a stream may have
   * begun before, and kept its connection.
   */
  stopAccepting(): void {
    this.#closing = true;
    this.#listening.close();
    for (const [socket, inFlight] of this.#connections) {
      if (inFlight === 0) socket.end();
    }
  }

  /** Closes the server and all connections at once. */
  destroy(): void {
    this.#listening.close();
    for (const socket of this.#connections.keys()) socket.destroy();
  }

  #count(socket: Socket, change: number): void {
    this.#inFlight += change;
    const previous = this.#connections.get(socket);
    if (previous === undefined) return;
    const inFlight = previous + change;
    this.#connections.set(socket, inFlight);
    if (this.#closing && inFlight === 0) socket.end();
  }
}
