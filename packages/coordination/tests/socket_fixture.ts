/**
 * Test fixture: connected sockets, an echo server and a TCP relay.
 *
 * @module
 */
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import * as Effect from "effect/Effect";
import type { Scope } from "effect/Scope";
import type { Endpoint } from "../src/process/endpoint.ts";

const LOOPBACK = "127.0.0.1";

function listen(
  onConnection: (socket: Socket) => void,
): Effect.Effect<Server, never, Scope> {
  return Effect.acquireRelease(
    Effect.callback<Server>((resume) => {
      const server = createServer((socket) => {
        socket.on("error", () => {});
        onConnection(socket);
      });
      server.listen(0, LOOPBACK, () => resume(Effect.succeed(server)));
    }),
    (server) => Effect.sync(() => server.close()),
  );
}

function endpointOf(server: Server): Endpoint {
  const { port } = server.address() as AddressInfo;
  return { address: LOOPBACK, port };
}

/** Two connected sockets; both are destroyed when the scope closes. */
export const socketPair: Effect.Effect<
  { readonly near: Socket; readonly far: Socket },
  never,
  Scope
> = Effect.acquireRelease(
  Effect.gen(function* () {
    const accepted: Socket[] = [];
    const server = yield* listen((socket) => accepted.push(socket));
    const { port } = endpointOf(server);
    const near = connect({ host: LOOPBACK, port });
    near.on("error", () => {});
    const far = yield* Effect.callback<Socket>((resume) => {
      server.once("connection", (socket) => resume(Effect.succeed(socket)));
    });
    return { near, far };
  }),
  ({ near, far }) =>
    Effect.sync(() => {
      near.destroy();
      far.destroy();
    }),
);

/** A server that echoes what it receives. */
export const echoServer: Effect.Effect<Endpoint, never, Scope> = listen(
  (socket) => socket.pipe(socket),
).pipe(Effect.map(endpointOf));

/**
 * A TCP relay in front of an endpoint, which can stall or reset connections.
 */
export class TcpRelay {
  readonly endpoint: Endpoint;
  readonly #connections: Set<Socket>;

  constructor(endpoint: Endpoint, connections: Set<Socket>) {
    this.endpoint = endpoint;
    this.#connections = connections;
  }

  static readonly open = Effect.fnUntraced(function* (
    target: () => Endpoint,
  ): Effect.fn.Return<TcpRelay, never, Scope> {
    const connections = new Set<Socket>();
    const server = yield* listen((near) => {
      const { address, port } = target();
      const far = connect({ host: address, port });
      far.on("error", () => near.destroy());
      near.on("close", () => far.destroy());
      far.on("close", () => near.destroy());
      near.pipe(far);
      far.pipe(near);
      for (const socket of [near, far]) {
        connections.add(socket);
        socket.on("close", () => connections.delete(socket));
      }
    });
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        for (const socket of connections) socket.destroy();
      })
    );
    return new TcpRelay(endpointOf(server), connections);
  });

  /** Waits until all connections are closed. */
  get allClosed(): Effect.Effect<void> {
    return Effect.callback((resume) => {
      const check = () => {
        if (this.#connections.size === 0) resume(Effect.void);
      };
      for (const socket of this.#connections) socket.on("close", check);
      check();
    });
  }

  /**
   * Stops relaying on existing connections but keeps them open; new ones work.
   */
  stall(): void {
    for (const socket of this.#connections) {
      socket.unpipe();
      socket.pause();
    }
  }

  /** Destroys the existing connections. */
  reset(): void {
    for (const socket of this.#connections) socket.destroy();
  }
}
