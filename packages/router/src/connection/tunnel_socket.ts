/**
 * A connection to a runner by way of a peer.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Duplex } from "node:stream";
import type { Tunnel, TunnelChannel } from "./tunnel_channel.ts";
import type { TunnelMessage } from "./tunnel_message.ts";

/** The channel to the peer was lost: the runner is not to blame. */
export class TunnelLostError extends Error {
  override readonly name = "TunnelLostError";
}

/** Callbacks of a {@linkcode TunnelSocket}. */
export interface TunnelSocketEvents {
  /**
   * Called when the connection takes no further requests, with the name of the peer,
   * which is shutting down.
   */
  readonly onLeaving: (peer: string) => void;
  /** Called when something arrives from the runner, with the name of the peer. */
  readonly onResponse: (peer: string) => void;
}

/**
 * The part of a socket that Node's HTTP client uses, over a tunnel channel. The peer
 * says how the runner's connection ended: without that, the end of a peer would look
 * like the end of a response that has no length.
 *
 * The end is handled in a turn of its own, as with a socket: a response that arrives in
 * one piece with it would otherwise break before anybody listens to it.
 */
export class TunnelSocket extends Duplex {
  /** Whether the peer has not yet opened the connection. */
  connecting = true;
  readonly #open: () => Promise<Tunnel>;
  readonly #events: TunnelSocketEvents;
  #channel: TunnelChannel | undefined;
  #peer: string | undefined;
  #leaving = false;
  /** Whether the runner has ended the connection as it should. */
  #ended = false;
  #idleMs = 0;
  #idleTimer: NodeJS.Timeout | undefined;

  /**
   * @param open opens a channel on which the connection to the runner is open.
   */
  constructor(open: () => Promise<Tunnel>, events: TunnelSocketEvents) {
    super({ allowHalfOpen: false });
    this.#open = open;
    this.#events = events;
  }

  /** Name of the peer; undefined before the connection is open. */
  get peer(): string | undefined {
    return this.#peer;
  }

  /** Whether the peer is shutting down: the connection takes no further requests. */
  get leaving(): boolean {
    return this.#leaving;
  }

  override _construct(callback: (error?: Error | null) => void): void {
    this.#open().then(({ channel, peer }) => {
      this.#channel = channel;
      this.#peer = peer;
      // It is destroyed only now, as its construction is over.
      if (this.destroyed) return callback();
      channel.listen({
        onMessage: (message) => this.#receive(message),
        onLost: () => this.#lost(),
      });
      this.connecting = false;
      this.emit("connect");
      callback();
    }, callback);
  }

  override _read(): void {
    this.#channel?.resume();
  }

  override _write(
    bytes: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    this.#restartIdleTimer();
    const channel = this.#channel!;
    if (channel.send({ kind: "data", bytes })) return callback();
    channel.onceDrained(callback);
  }

  override _final(callback: () => void): void {
    this.#channel?.send({ kind: "end" });
    callback();
  }

  override _destroy(
    error: Error | null,
    callback: (error: Error | null) => void,
  ): void {
    clearTimeout(this.#idleTimer);
    this.connecting = false;
    this.#channel?.close();
    callback(error);
  }

  /** Emits "timeout" when the connection carries nothing for a time; 0: never. */
  setTimeout(ms: number): this {
    this.#idleMs = ms;
    this.#restartIdleTimer();
    return this;
  }

  /** Has no effect: channels send without delay. */
  setNoDelay(): this {
    return this;
  }

  /** Has no effect: channels are probed by the system. */
  setKeepAlive(): this {
    return this;
  }

  /** Has no effect: the process is kept alive by its servers. */
  ref(): this {
    return this;
  }

  /** Has no effect: the process is kept alive by its servers. */
  unref(): this {
    return this;
  }

  #endReadable(): void {
    if (this.destroyed) return;
    this.push(null);
    // Nothing reads from an idle connection, which must close, too.
    this.read(0);
  }

  #lost(): void {
    if (this.#ended) return;
    setImmediate(() => this.destroy(new TunnelLostError("Tunnel is lost")));
  }

  #restartIdleTimer(): void {
    clearTimeout(this.#idleTimer);
    if (this.#idleMs === 0) return;
    this.#idleTimer = setTimeout(() => this.emit("timeout"), this.#idleMs)
      .unref();
  }

  #receive(message: TunnelMessage): void {
    this.#restartIdleTimer();
    switch (message.kind) {
      case "data":
        this.#events.onResponse(this.#peer!);
        if (!this.push(message.bytes)) this.#channel?.pause();
        return;
      case "end":
        this.#ended = true;
        return void setImmediate(() => this.#endReadable());
      case "broken":
        return void setImmediate(() => this.destroy(new Error(message.reason)));
      case "leaving":
        this.#leaving = true;
        return this.#events.onLeaving(this.#peer!);
      default:
        return void this.destroy(new TunnelLostError("Tunnel is out of order"));
    }
  }
}
