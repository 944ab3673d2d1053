/**
 * Transport of datagrams between members.
 *
 * @module
 */
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { isIPv6 } from "node:net";
import * as Effect from "effect/Effect";
import type { Scope } from "effect/Scope";
import type { Endpoint, ListenFailed } from "./endpoint.ts";
import { listenFailed } from "./endpoint.ts";
import type { TrafficCounter } from "./traffic.ts";

/** Unreliable datagram transport. */
export interface ProbeTransport {
  /** Sends a datagram without confirmation that it arrives. */
  send(datagram: Uint8Array, to: Endpoint): void;
  /** Sets the single listener. */
  listen(listener: (datagram: Uint8Array) => void): void;
}

class UdpTransport implements ProbeTransport {
  readonly #socket: Socket;
  readonly #traffic: TrafficCounter;
  #sending = 0;
  #onSent: (() => void) | undefined;

  constructor(socket: Socket, traffic: TrafficCounter) {
    this.#socket = socket;
    this.#traffic = traffic;
    // A failed send is a lost datagram, which probing tolerates. Without an
    // error listener it would end the process.
    socket.on("error", () => {});
  }

  send(datagram: Uint8Array, to: Endpoint): void {
    this.#sending += 1;
    this.#traffic.addSent(datagram.length);
    this.#socket.send(datagram, to.port, to.address, () => {
      this.#sending -= 1;
      if (this.#sending === 0) this.#onSent?.();
    });
  }

  listen(listener: (datagram: Uint8Array) => void): void {
    this.#socket.on("message", (datagram: Uint8Array) => {
      this.#traffic.addReceived(datagram.length);
      listener(datagram);
    });
  }

  /**
   * Closes the socket once the last datagrams are sent, which announce that this
   * process has left.
   */
  close(): Effect.Effect<void> {
    return Effect.callback((resume) => {
      const end = () => this.#socket.close(() => resume(Effect.void));
      if (this.#sending === 0) end();
      else this.#onSent = end;
    });
  }
}

/** Opens a UDP socket at an endpoint until the scope closes. */
export function openUdp(
  endpoint: Endpoint,
  traffic: TrafficCounter,
): Effect.Effect<ProbeTransport, ListenFailed, Scope> {
  const open = Effect.callback<UdpTransport, ListenFailed>((resume) => {
    const type = isIPv6(endpoint.address) ? "udp6" : "udp4";
    const socket = createSocket({ type });
    const fail = (error: Error) => {
      socket.close();
      resume(Effect.fail(listenFailed(endpoint, error)));
    };
    socket.once("error", fail);
    socket.bind(endpoint.port, endpoint.address, () => {
      socket.off("error", fail);
      resume(Effect.succeed(new UdpTransport(socket, traffic)));
    });
  });
  return Effect.acquireRelease(open, (transport) => transport.close());
}
