/**
 * The port that callers connect to: connections and their limits.
 *
 * @module
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import * as Effect from "effect/Effect";
import type { CallerLimits } from "../process/settings.ts";

/** Serves one request of a connection. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** How often Node looks for connections past their limits. */
const CHECK_INTERVAL_MS = 500;

/** A caller's port that is open. */
export interface CallerServer {
  /** Address and port, as `IP:PORT`. */
  readonly place: string;
  /** Accepts no new connections; open ones stay until their answers end. */
  close(): void;
  /** Cuts every connection. */
  cut(): void;
}

/** Writes a bound address as `IP:PORT`. */
export function placeOf(server: Server): string {
  const { address, family, port } = server.address() as AddressInfo;
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Listens on an address; fails when it cannot be had. */
export function listen(
  server: Server,
  at: { readonly address: string; readonly port: number },
): Effect.Effect<void, Error> {
  return Effect.callback<void, Error>((resume) => {
    server.once("error", (error) => resume(Effect.fail(error)));
    server.listen(at.port, at.address, () => resume(Effect.void));
  });
}

/** Opens the callers' port. */
export const openCallerServer = Effect.fnUntraced(function* (
  at: { readonly address: string; readonly port: number },
  options: { readonly limits: CallerLimits; readonly handler: RequestHandler },
) {
  const { limits, handler } = options;
  const server = createServer({
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: limits.bodyTimeoutMs,
    keepAliveTimeout: limits.idleCallerMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    highWaterMark: limits.callerBufferBytes,
    noDelay: true,
  }, handler);
  server.maxConnections = limits.connections;
  yield* listen(server, at);
  const opened: CallerServer = {
    place: placeOf(server),
    close: () => server.close(),
    cut: () => server.closeAllConnections(),
  };
  return opened;
});
