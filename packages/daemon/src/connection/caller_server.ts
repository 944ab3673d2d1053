/**
 * The port that callers connect to: connections and their limits.
 *
 * @module
 */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import * as Effect from "effect/Effect";
import type { CallerLimits } from "../process/settings.ts";
import { TrackedSet } from "../process/tracked_set.ts";
import { connectionFault } from "./connection_fault.ts";
import type { ConnectionFault } from "./connection_fault.ts";
import { addressOf, listen } from "./listener.ts";
import type { ListenOptions } from "./listener.ts";

/** Serves what comes on the connections. */
export interface CallerHandler {
  /**
   * Serves one request.
   *
   * @param pipelined whether an answer on the same connection has not ended.
   */
  serve(
    request: IncomingMessage,
    response: ServerResponse,
    options: { readonly pipelined: boolean },
  ): void;
  /** The whole answer, head and body, to what is not a request. */
  faultResponse(fault: ConnectionFault): string;
  /** A connection beyond the limit was closed. */
  connectionDropped(): void;
}

/** How often Node looks for connections past their limits. */
const TIMEOUT_CHECK_INTERVAL_MS = 250;
/** Idle time after which the system probes whether a caller is still there. */
const KEEP_ALIVE_PROBE_MS = 10_000;

/** A callers' port that is open. */
export interface CallerServer {
  /** Address and port, as `IP:PORT`. */
  readonly address: string;
  /** Connections that are open. */
  readonly connections: number;
  /** Ends when every answer that has ended has also gone out. */
  readonly flushed: Effect.Effect<void>;
  /** Accepts no new connections, and cuts those that are open. */
  close(): void;
}

/** The last answer of each connection. */
class LastResponses {
  readonly #last = new WeakMap<Duplex, ServerResponse>();

  set(socket: Duplex, response: ServerResponse): void {
    this.#last.set(socket, response);
  }

  /** Whether an answer on the connection has not ended. */
  isOpen(socket: Duplex): boolean {
    return this.#last.get(socket)?.writableEnded === false;
  }

  /**
   * Whether text on the connection would be taken for part of an answer, or
   * for the answer to a request that came whole and may be running.
   */
  isAwaited(socket: Duplex): boolean {
    const last = this.#last.get(socket);
    if (last === undefined || last.writableEnded) return false;
    return last.headersSent || last.req.complete;
  }
}

/** Opens the callers' port. */
export const openCallerServer = Effect.fnUntraced(function* (
  at: ListenOptions,
  options: { readonly limits: CallerLimits; readonly handler: CallerHandler },
) {
  const { limits, handler } = options;
  const latest = new LastResponses();
  // Node's own close counts a connection as idle once its answer has ended, and
  // destroys it with what a slow caller has not taken yet: that answer would be
  // cut off. So it is known here which answers have not gone out.
  const unsent = new TrackedSet<ServerResponse>();
  const serve = (request: IncomingMessage, response: ServerResponse) => {
    const pipelined = latest.isOpen(request.socket);
    latest.set(request.socket, response);
    unsent.add(response);
    response.once("close", () => unsent.delete(response));
    handler.serve(request, response, { pipelined });
  };
  const refuse = (socket: Duplex, fault: ConnectionFault) => {
    if (!socket.writable || latest.isAwaited(socket)) return socket.destroy();
    socket.end(handler.faultResponse(fault), () => socket.destroy());
  };
  const server = createServer({
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headerTimeoutMs,
    // Bodies have their own limit, whose error answer says what was late.
    requestTimeout: 0,
    keepAliveTimeout: limits.idleCallerMs,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    highWaterMark: limits.callerBufferBytes,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
  }, serve);
  const sockets = new Set<Socket>();
  server.maxConnections = limits.connections;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  server.on("checkContinue", serve);
  server.on("checkExpectation", serve);
  server.on("connect", (_request, socket) => refuse(socket, CONNECT_FAULT));
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    refuse(socket, connectionFault(error));
  });
  server.on("drop", () => handler.connectionDropped());
  yield* listen(server, at);
  const opened: CallerServer = {
    address: addressOf(server),
    get connections() {
      return sockets.size;
    },
    flushed: unsent.whenEmpty,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  return opened;
});

const CONNECT_FAULT: ConnectionFault = {
  code: "method_unsupported",
  message: 'Cannot serve method "CONNECT"',
  place: "method",
};
