/**
 * The HTTP side that all stand-ins share: listening, JSON, faults on order.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type Faults, readFault } from "./faults.ts";

/** Answers one request. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** A running stand-in. */
export interface StandIn {
  /** Base URL of its HTTP server. */
  readonly url: string;
  readonly port: number;
  /** Where it takes `POST /control`, when not at `url`. */
  readonly controlUrl?: string;
  /** Ends the server and all its connections. */
  close(): Promise<void>;
}

const ADDRESS = "127.0.0.1";
const HTTP_OK = 200;
const BAD_REQUEST = 400;
const SERVER_ERROR = 500;
const DEFAULT_SLOW_MS = 1000;
const KEEP_ALIVE_MS = 300_000;

/** Paths that answer whatever fault holds, because tests steer by them. */
const STEERING = /^\/(control|ledger|orders-ledger|calls)(\?|$)/;

/** Reads a whole body. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Reads a JSON body; `undefined` when it is not JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}

/** Sends a JSON answer with its length. */
export function sendJson(
  response: ServerResponse,
  value: unknown,
  options: {
    readonly status?: number;
    readonly headers?: Readonly<Record<string, string>>;
  } = {},
): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(options.status ?? HTTP_OK, {
    ...options.headers,
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.end(body);
}

/** One header's value, or `undefined`. */
export function header(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Silences a connection for good: takes everything, gives nothing back. */
function swallow(socket: Socket): void {
  socket.write = () => true;
  socket.end = () => socket;
}

/** Serves a handler behind `POST /control` and the faults it orders. */
export async function serve(
  handler: Handler,
  options: { readonly faults: Faults; readonly port: number },
): Promise<StandIn> {
  const { faults } = options;
  const sockets = new Set<Socket>();
  /** Connections that carry an answer at present, steering apart. */
  const busy = new Set<Socket>();
  /** Connections that give nothing more, steering apart. */
  const silenced = new WeakSet<Socket>();

  async function control(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = readFault(await readJson(request));
    if (typeof order === "string") {
      sendJson(response, { error: order }, { status: BAD_REQUEST });
      return;
    }
    faults.order(order);
    if (order.fault === "silent") {
      for (const socket of sockets) silenced.add(socket);
      for (const socket of busy) swallow(socket);
    }
    sendJson(response, { fault: order.fault });
  }

  async function answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? "/";
    if (STEERING.test(path)) {
      if (!path.startsWith("/control")) return await handler(request, response);
      return await control(request, response);
    }
    const { socket } = request;
    if (silenced.has(socket) || faults.strike("silent") !== undefined) {
      silenced.add(socket);
      swallow(socket);
      return;
    }
    busy.add(socket);
    response.once("close", () => busy.delete(socket));
    const slow = faults.strike("slow");
    if (slow !== undefined) await pause(slow.delayMs ?? DEFAULT_SLOW_MS);
    await handler(request, response);
  }

  const server: Server = createServer((request, response) => {
    answer(request, response).catch((error) => {
      // The other end left while its body was read: there is no one to tell.
      if (response.headersSent || response.destroyed) return;
      sendJson(response, { error: String(error) }, { status: SERVER_ERROR });
    });
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.requestTimeout = 0;
  server.on("connection", (socket) => {
    socket.setNoDelay(true);
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, ADDRESS, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${ADDRESS}:${port}`,
    port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
