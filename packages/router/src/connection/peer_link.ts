/**
 * A link to another daemon: CBOR messages in length-prefixed frames over TCP.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { decodeItem, encodeItem } from "@umbermast/coordination/codec";
import { encodeFrame } from "@umbermast/coordination/frame_bytes";
import { FrameBuffer } from "./frame_buffer.ts";
import { packMessage, unpackMessage } from "./peer_encoding.ts";
import type { PeerMessage } from "./peer_message.ts";

/**
 * Maximum bytes buffered for a slow peer. Beyond them the link is closed: an update
 * that arrives seconds late is misleading, and a new link starts with a snapshot.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/**
 * Default time in ms without received bytes after which a link is closed. With
 * 1,500 ms, daemons that were short of processor time for longer lost all links
 * and had none left for the snapshots of the new ones. A parent that is lost must
 * be replaced within the 3 s in which a draining runner still takes requests.
 */
export const IDLE_TIMEOUT_MS = 2_500;

/** Encodes a message once, to be sent on many links. */
export function encodeMessage(message: PeerMessage): Buffer {
  return encodeFrame([encodeItem(packMessage(message))]);
}

/** Callbacks of a link. */
export interface LinkEvents {
  readonly onMessage: (message: PeerMessage) => void;
  readonly onClose: () => void;
  /** Called with the reason when a message is invalid; the link closes. */
  readonly onFault: (reason: string) => void;
  /**
   * Called with the reason when an entry of a message is invalid; the rest of the
   * message counts.
   */
  readonly onInvalidEntry: (reason: string) => void;
}

/** A link to another daemon. */
export interface Link {
  /** Time at which bytes were last received, in monotonic ms. */
  readonly receivedAt: number;
  /** Sends a message; on a closed link it is dropped. */
  send(message: PeerMessage): void;
  /** Sends a message that is already encoded. */
  sendEncoded(frame: Buffer): void;
  /** Sets the time without received bytes after which the link is closed. */
  setIdleTimeout(timeoutMs: number): void;
  /** Closes the link once the peer has received all that was sent. */
  end(): void;
  close(): void;
}

/** A link over TCP. */
export class PeerLink implements Link {
  readonly #socket: Socket;
  readonly #onMessage: (message: PeerMessage) => void;
  readonly #onFault: (reason: string) => void;
  readonly #onInvalidEntry: (reason: string) => void;
  #idleTimeoutMs = IDLE_TIMEOUT_MS;
  #idleTimer: NodeJS.Timeout;
  /** Whether nothing was received since the idle timer fired. */
  #silent = false;
  readonly #frames = new FrameBuffer();
  #receivedAt = performance.now();

  constructor(socket: Socket, events: LinkEvents) {
    this.#socket = socket;
    this.#onMessage = events.onMessage;
    this.#onFault = events.onFault;
    this.#onInvalidEntry = events.onInvalidEntry;
    socket.setNoDelay(true);
    // Both sides send heartbeats well within the time-out. `socket.setTimeout`
    // restarts at each write as well, so a link to a peer without power would
    // stay up while this side goes on sending.
    this.#idleTimer = this.#startIdleTimer();
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    // Errors are handled by the "close" event that follows.
    socket.on("error", () => {});
    socket.once("close", () => {
      clearTimeout(this.#idleTimer);
      events.onClose();
    });
  }

  get receivedAt(): number {
    return this.#receivedAt;
  }

  /** Bytes of a message that is not complete. */
  get incompleteBytes(): number {
    return this.#frames.size;
  }

  send(message: PeerMessage): void {
    this.sendEncoded(encodeMessage(message));
  }

  sendEncoded(frame: Buffer): void {
    if (this.#socket.destroyed || this.#socket.writableEnded) return;
    if (this.#socket.writableLength > MAX_BUFFERED_BYTES) return this.close();
    this.#socket.write(frame);
  }

  setIdleTimeout(timeoutMs: number): void {
    if (this.#idleTimeoutMs === timeoutMs) return;
    this.#idleTimeoutMs = timeoutMs;
    clearTimeout(this.#idleTimer);
    if (!this.#socket.destroyed) this.#idleTimer = this.#startIdleTimer();
  }

  end(): void {
    this.#socket.end();
  }

  close(): void {
    this.#socket.destroy();
  }

  /**
   * Handles a message and returns whether it was valid. A message of another
   * version may have another shape; it ends the link and not the process.
   */
  #handle(item: unknown): boolean {
    try {
      this.#onMessage(unpackMessage(item, this.#onInvalidEntry));
      return true;
    } catch (error) {
      this.#onFault(String(error));
      return false;
    }
  }

  #startIdleTimer(): NodeJS.Timeout {
    return setTimeout(() => this.#checkIdle(), this.#idleTimeoutMs).unref();
  }

  /**
   * Closes the link unless bytes have arrived that were not read yet. After a
   * pause of this process, its timers fire before it reads from its sockets.
   */
  #checkIdle(): void {
    this.#silent = true;
    setImmediate(() => {
      if (this.#silent) this.#socket.destroy();
    });
  }

  #receive(chunk: Buffer): void {
    this.#silent = false;
    this.#receivedAt = performance.now();
    this.#idleTimer.refresh();
    const valid = this.#frames.push(chunk, (frame) => {
      const decoded = decodeItem(frame);
      return decoded.isOk() && this.#handle(decoded.value);
    });
    if (!valid) this.close();
  }
}
