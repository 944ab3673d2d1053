/**
 * Binds an HTTP server to its address.
 *
 * @module
 */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import * as Effect from "effect/Effect";

/** Address and port to listen on. */
export interface ListenOptions {
  /** IP address. */
  readonly address: string;
  /** 0 lets the system pick one. */
  readonly port: number;
}

/** Listening on an address failed. */
export interface ListenFailed {
  readonly _tag: "ListenFailed";
  readonly message: string;
}

/** Listens on an address. */
export function listen(
  server: Server,
  at: ListenOptions,
): Effect.Effect<void, ListenFailed> {
  return Effect.callback<void, ListenFailed>((resume) => {
    const refused = (error: Error) => {
      const message =
        `Cannot listen on ${at.address} port ${at.port}: ${error.message}`;
      resume(Effect.fail({ _tag: "ListenFailed", message }));
    };
    server.once("error", refused);
    server.listen(at.port, at.address, () => {
      server.off("error", refused);
      // One connection could not be accepted; without a handler the process ends.
      server.on("error", () => {});
      resume(Effect.void);
    });
  });
}

/** Formats the address that a server is bound to, as `IP:PORT`. */
export function addressOf(server: Server): string {
  const { address, family, port } = server.address() as AddressInfo;
  return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}
