/**
 * Opens and accepts TCP connections.
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

/** Connects to an endpoint; interrupting the effect destroys the socket. */
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
 * Listens for connections until the scope closes.
 *
 * @returns the endpoint, with the assigned port if port 0 was given.
 */
export function listen(
  endpoint: Endpoint,
  onConnection: (socket: Socket) => void,
): Effect.Effect<Endpoint, ListenFailed, Scope> {
  const open = Effect.callback<Server, ListenFailed>((resume) => {
    const server = createServer({ noDelay: true }, (socket) => {
      // The reader sees the socket close. Without a handler the error event
      // would end the process.
      socket.on("error", () => socket.destroy());
      onConnection(socket);
    });
    // Stays for connections that cannot be accepted later, which would otherwise
    // end the process.
    server.on(
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
