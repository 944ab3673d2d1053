/**
 * A tunnel that this daemon serves for a peer.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { TunnelChannel } from "./tunnel_channel.ts";
import type { TunnelMessage } from "./tunnel_message.ts";

/** What happens on a tunnel. */
export interface TunnelListener {
  /**
   * Called when the peer has sent something and the runner has yet to respond.
   *
   * @returns a function that is called when the runner responds or the tunnel ends.
   */
  sent(): () => void;
  /** Called when the runner has sent something. */
  responded(): void;
  /**
   * Called when the tunnel has ended before the runner responded.
   *
   * @param sentAt monotonic ms.
   */
  unanswered(sentAt: number): void;
  /** Called when the tunnel has ended. */
  ended(): void;
}

/** Passes bytes between a channel and an open connection to a runner. */
export class ServedTunnel {
  readonly #channel: TunnelChannel;
  readonly #socket: Socket;
  readonly #listener: TunnelListener;
  /** What the peer has sent, if the runner has yet to respond. */
  #awaited: { readonly sentAt: number; readonly end: () => void } | undefined;

  constructor(
    channel: TunnelChannel,
    socket: Socket,
    listener: TunnelListener,
  ) {
    this.#channel = channel;
    this.#socket = socket;
    this.#listener = listener;
    channel.listen({
      onMessage: (message) => this.#forward(message),
      onLost: () => {
        this.#end();
        socket.destroy();
      },
    });
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => this.#respond(bytes));
    socket.once("end", () => channel.send({ kind: "end" }));
    socket.once("error", (error) => {
      channel.send({ kind: "broken", reason: error.message });
    });
    socket.once("close", () => {
      this.#end();
      channel.end();
    });
    channel.send({ kind: "connected" });
  }

  /** Tells the peer to use the tunnel for no further request. */
  leave(): void {
    this.#channel.send({ kind: "leaving" });
  }

  /** Closes the tunnel at once. */
  close(): void {
    this.#channel.close();
    this.#socket.destroy();
  }

  #forward(message: TunnelMessage): void {
    if (message.kind === "end") return void this.#socket.end();
    if (message.kind !== "data") return void this.#socket.destroy();
    this.#awaited ??= {
      sentAt: performance.now(),
      end: this.#listener.sent(),
    };
    if (this.#socket.write(message.bytes)) return;
    this.#channel.pause();
    this.#socket.once("drain", () => this.#channel.resume());
  }

  #respond(bytes: Buffer): void {
    this.#awaited?.end();
    this.#awaited = undefined;
    this.#listener.responded();
    if (this.#channel.send({ kind: "data", bytes })) return;
    this.#socket.pause();
    this.#channel.onceDrained(() => this.#socket.resume());
  }

  #end(): void {
    if (this.#awaited !== undefined) {
      this.#awaited.end();
      this.#listener.unanswered(this.#awaited.sentAt);
      this.#awaited = undefined;
    }
    this.#listener.ended();
  }
}
