/**
 * Opening TCP connections.
 *
 * @module
 */
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import * as Effect from "effect/Effect";
import type { Scope } from "effect/Scope";
import type { Endpoint, ListenFailed } from "../process/endpoint.ts";
import { listenFailed } from "../process/endpoint.ts";
import type { LinkClosed } from "./frame.ts";
import { linkClosed } from "./frame.ts";

/** Connects; interrupting destroys the socket. */
export function dial(endpoint: Endpoint): Effect.Effect<Socket, LinkClosed> {
  return Effect.callback((resume) => {
    const socket = connect({
      host: endpoint.address,
      port: endpoint.port,
      noDelay: true,
    });
    socket.on("error", (error) => {
      socket.destroy();
      resume(Effect.fail(linkClosed("error", error.message)));
    });
    socket.once("connect", () => resume(Effect.succeed(socket)));
    return Effect.sync(() => socket.destroy());
  });
}

/**
 * Listens until the scope closes.
 *
 * @returns where it listens: port 0 has become the one that was given.
 */
export function listen(
  endpoint: Endpoint,
  onConnection: (socket: Socket) => void,
): Effect.Effect<Endpoint, ListenFailed, Scope> {
  const open = Effect.callback<Server, ListenFailed>((resume) => {
    const server = createServer({ noDelay: true }, (socket) => {
      // An error also closes the socket, which the reader sees; unhandled, it
      // would end the process.
      socket.on("error", () => socket.destroy());
      onConnection(socket);
    });
    server.once(
      "error",
      (error) => resume(Effect.fail(listenFailed(endpoint, error))),
    );
    server.listen(endpoint.port, endpoint.address, () => {
      resume(Effect.succeed(server));
    });
  });
  return Effect.acquireRelease(
    open,
    (server) => Effect.sync(() => server.close()),
  ).pipe(Effect.map((server) => {
    const { port } = server.address() as AddressInfo;
    return { address: endpoint.address, port };
  }));
}
