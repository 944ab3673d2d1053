/**
 * The HTTP server for callers: its connections and their limits.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import {
  acceptLimits,
  ConnectionPool,
  createSerialServer,
  descriptorLimit,
} from "@umbermast/router/connections";
import * as Effect from "effect/Effect";
import type { CallerLimits } from "../process/settings.ts";
import { TrackedSet } from "../process/tracked_set.ts";
import { connectionFault } from "./connection_fault.ts";
import type { ConnectionFault } from "./connection_fault.ts";
import { addressOf, listen } from "./listener.ts";
import type { ListenOptions } from "./listener.ts";

/** Handles requests and connection faults. */
export interface CallerHandler {
  /**
   * Serves one request.
   *
   * @param pipelined whether an earlier response on the connection is still open.
   */
  serve(
    request: IncomingMessage,
    response: ServerResponse,
    options: { readonly pipelined: boolean },
  ): void;
  /** Builds the complete response, head and body, to an invalid request. */
  faultResponse(fault: ConnectionFault): string;
  /** Reports a connection that was closed because of the connection limit. */
  connectionDropped(): void;
}

/** How often Node checks connections for expired time-outs. */
const TIMEOUT_CHECK_INTERVAL_MS = 250;
/** Idle time after which the system sends TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_MS = 10_000;

/** One that is served, and one that came too early and is refused. */
const MAX_OPEN_REQUESTS = 2;

/** Limits that leave descriptors for runners, other daemons and the platform. */
function connectionLimits({ connections }: CallerLimits) {
  const { callers } = acceptLimits({
    descriptors: descriptorLimit(),
    memoryMb: undefined,
  });
  return {
    ...callers,
    connections: Math.min(connections, callers.connections),
  };
}

/** An open server for callers. */
export interface CallerServer {
  /** Address and port, as `IP:PORT`. */
  readonly address: string;
  /** Number of open connections. */
  readonly connections: number;
  /** Completes when every ended response has been sent. */
  readonly flushed: Effect.Effect<void>;
  /** Accepts no new connections, and closes the open ones. */
  close(): void;
}

/** The latest response of each connection. */
class LastResponses {
  readonly #last = new WeakMap<Duplex, ServerResponse>();

  set(socket: Duplex, response: ServerResponse): void {
    this.#last.set(socket, response);
  }

  /** Whether a response on the connection is still open. */
  isOpen(socket: Duplex): boolean {
    return this.#last.get(socket)?.writableEnded === false;
  }

  /**
   * Whether bytes written to the connection would be read as part of a response,
   * or as the response to a complete request that may be running.
   */
  isAwaited(socket: Duplex): boolean {
    const last = this.#last.get(socket);
    if (last === undefined || last.writableEnded) return false;
    return last.headersSent || last.req.complete;
  }
}

/** Opens the server for callers. */
export const openCallerServer = Effect.fnUntraced(function* (
  listenAt: ListenOptions,
  options: { readonly limits: CallerLimits; readonly handler: CallerHandler },
) {
  const { limits, handler } = options;
  const latest = new LastResponses();
  // Node's close treats a connection as idle once its response has ended, and
  // destroys it with bytes that a slow caller has not read yet, which would
  // truncate the response. So unsent responses are tracked here.
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
  const pool = new ConnectionPool(
    connectionLimits(limits),
    () => handler.connectionDropped(),
  );
  const server = createSerialServer({
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headerTimeoutMs,
    // Bodies have their own time-out, whose error response names the cause.
    requestTimeout: 0,
    keepAliveTimeout: limits.idleCallerMs,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    highWaterMark: limits.callerBufferBytes,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
  }, {
    pool,
    maxOpen: MAX_OPEN_REQUESTS,
    serve,
    expect: serve,
    connect: (socket) => refuse(socket, CONNECT_FAULT),
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    refuse(socket, connectionFault(error));
  });
  yield* listen(server, listenAt);
  const opened: CallerServer = {
    address: addressOf(server),
    get connections() {
      return pool.size;
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
