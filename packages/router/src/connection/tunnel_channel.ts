/**
 * A channel between two daemons that carries one connection to a runner.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { FrameBuffer } from "./frame_buffer.ts";
import { decodeTunnelMessage, encodeTunnelMessage } from "./tunnel_message.ts";
import type { TunnelMessage } from "./tunnel_message.ts";

/**
 * First bytes of a tunnel channel, by which the accepting daemon distinguishes it
 * from a link. An older daemon reads them as the length of a frame that is too
 * large, and closes the connection.
 */
export const TUNNEL_PREFACE = Buffer.from("UMT1", "latin1");
/** Time-out in ms for the other side to receive what was sent before the end. */
const END_TIMEOUT_MS = 2_000;
/** Idle time in ms after which the system probes whether the other side is there. */
const KEEP_ALIVE_MS = 1_000;

/** Callbacks of a channel. */
export interface TunnelEvents {
  readonly onMessage: (message: TunnelMessage) => void;
  /** Called once, when the channel has closed without {@linkcode TunnelChannel.close}. */
  readonly onLost: () => void;
}

/** A tunnel channel over TCP. */
export class TunnelChannel {
  readonly #socket: Socket;
  readonly #frames = new FrameBuffer();
  #events: TunnelEvents;
  /** Messages that wait for a listener; undefined if there is one. */
  #held: TunnelMessage[] | undefined;
  #closed = false;
  /** Whether the channel was lost while there was no listener. */
  #lost = false;

  constructor(socket: Socket, events: TunnelEvents) {
    this.#socket = socket;
    this.#events = events;
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    // Errors are handled by the "close" event that follows.
    socket.on("error", () => {});
    socket.once("close", () => {
      if (this.#closed) return;
      this.#closed = true;
      if (this.#held === undefined) return this.#events.onLost();
      this.#lost = true;
    });
  }

  /** Bytes of a message that is not complete. */
  get incompleteBytes(): number {
    return this.#frames.size;
  }

  /**
   * Keeps what arrives until {@linkcode listen}: what follows a reply may arrive in one
   * piece with it, before whoever waits for the reply can listen.
   */
  hold(): void {
    this.#held ??= [];
  }

  /** Replaces the callbacks, and tells them what was kept. */
  listen(events: TunnelEvents): void {
    this.#events = events;
    const held = this.#held ?? [];
    this.#held = undefined;
    for (const message of held) events.onMessage(message);
    if (this.#lost) events.onLost();
    this.#lost = false;
  }

  /**
   * Sends a message; on a closed channel it is dropped.
   *
   * @returns false if the write buffer is full; see {@linkcode onceDrained}.
   */
  send(message: TunnelMessage): boolean {
    if (this.#closed || this.#socket.writableEnded) return true;
    return this.#socket.write(encodeTunnelMessage(message));
  }

  /** Calls the listener once the write buffer has been emptied. */
  onceDrained(listener: () => void): void {
    this.#socket.once("drain", listener);
  }

  /** Stops receiving until {@linkcode resume}. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  /**
   * Closes the channel once the other side has received all that was sent, or has not
   * for some time: the system would wait for a host without power for minutes.
   */
  end(): void {
    this.#closed = true;
    this.#socket.end();
    this.#socket.resume();
    const timer = setTimeout(() => this.#socket.destroy(), END_TIMEOUT_MS);
    this.#socket.once("close", () => clearTimeout(timer));
  }

  close(): void {
    this.#closed = true;
    this.#socket.destroy();
  }

  #receive(chunk: Buffer): void {
    const valid = this.#frames.push(chunk, (frame) => {
      if (this.#closed) return true;
      try {
        const message = decodeTunnelMessage(frame);
        if (this.#held === undefined) this.#events.onMessage(message);
        else this.#held.push(message);
        return true;
      } catch {
        return false;
      }
    });
    if (!valid) this.#socket.destroy();
  }
}

/** A channel on which the connection to a runner is open. */
export interface Tunnel {
  readonly channel: TunnelChannel;
  /** Name of the peer. */
  readonly peer: string;
}
