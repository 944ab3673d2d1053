/**
 * HTTP servers that read the requests of a connection one after the other.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createServer } from "node:http";
import type {
  IncomingMessage,
  RequestListener,
  Server,
  ServerOptions,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { TurnQueue } from "../process/turn_queue.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import { SerialConnection } from "./serial_connection.ts";

/** How a server handles its connections and requests. */
export interface SerialHandlers {
  readonly pool: ConnectionPool;
  /** Number of requests that may be open on a connection; 1 by default. */
  readonly maxOpen?: number;
  /** Whether a new connection is served; others are closed unread. */
  readonly accepts?: () => boolean;
  /** Handles a request. */
  readonly serve: RequestListener;
  /**
   * Handles a request that expects something before its body. By default 100 is sent
   * to one that waits for it, and any other is refused.
   */
  readonly expect?: RequestListener;
  /** Handles a request for a tunnel. By default its connection is closed. */
  readonly connect?: (socket: Duplex) => void;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_EXPECTATION_FAILED = 417;

/** A request without a host (RFC 9112, section 3.2). */
function lacksHost({ headers, httpVersion }: IncomingMessage): boolean {
  return headers.host === undefined && httpVersion === "1.1";
}

/**
 * Creates a server whose connections are counted in a pool. A request begins when the
 * response to the one before on its connection has been sent.
 *
 * @example
 * ```ts
 * const pool = new ConnectionPool({ connections: 100, heldBytes: 1024 * 1024 });
 * const server = createSerialServer({}, {
 *   pool,
 *   serve: (_request, response) => response.end("ok"),
 * });
 * server.listen(8080);
 * ```
 */
export function createSerialServer(
  options: ServerOptions,
  handlers: SerialHandlers,
): Server {
  const { pool, accepts = () => true, connect, maxOpen = 1 } = handlers;
  const connections = new WeakMap<Duplex, SerialConnection>();
  const turns = new TurnQueue();
  // A request that Node answered itself would be no part of the order.
  const server = createServer({ ...options, requireHostHeader: false });
  server.on("connection", (socket: Socket) => {
    if (!accepts()) return void socket.destroy();
    const [parse] = socket.listeners("data") as [(bytes: Buffer) => void];
    const connection: SerialConnection = new SerialConnection(socket, {
      parse,
      maxOpen,
      turns,
      onHeld: () => pool.update(connection),
    });
    connections.set(socket, connection);
    pool.add(connection);
    socket.once("close", () => pool.remove(connection));
  });
  const inOrder =
    (serve: RequestListener): RequestListener => (request, response) => {
      if (!connections.get(request.socket)?.begin(request, response)) return;
      if (!lacksHost(request)) return serve(request, response);
      response.writeHead(HTTP_BAD_REQUEST, { connection: "close" }).end();
    };
  server.on("request", inOrder(handlers.serve));
  const { expect } = handlers;
  if (expect !== undefined) server.on("checkContinue", inOrder(expect));
  server.on(
    "checkExpectation",
    inOrder(
      expect ?? ((_request, response) => {
        response.writeHead(HTTP_EXPECTATION_FAILED).end();
      }),
    ),
  );
  if (connect !== undefined) {
    server.on("connect", (_request: IncomingMessage, socket: Duplex) => {
      connections.get(socket)?.stop();
      connect(socket);
    });
  }
  return server;
}
