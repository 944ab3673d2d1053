/**
 * A connection to another daemon: CBOR messages in frames.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { decodeItem, encodeItem } from "@umbermast/coordination/codec";
import { encodeFrame, LENGTH_BYTES } from "@umbermast/coordination/frame_bytes";
import { packMessage, unpackMessage } from "./peer_encoding.ts";
import type { PeerMessage } from "./peer_message.ts";

/** Bytes of the largest frame; a configuration of a megabyte fits. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;
/**
 * Bytes that may wait for a slow peer. Beyond them the link is closed: a state
 * that arrives seconds late misleads, and a new link begins with a fresh one.
 */
const MAX_WAITING_BYTES = 1024 * 1024;
/** Milliseconds of silence after which a link is closed, unless set. */
export const IDLE_TIMEOUT_MS = 1_500;

/** Encodes a message once, to be sent on many links. */
export function encodeMessage(message: PeerMessage): Buffer {
  return encodeFrame([encodeItem(packMessage(message))]);
}

/** What becomes of a link. */
export interface LinkEvents {
  readonly onMessage: (message: PeerMessage) => void;
  readonly onClose: () => void;
  /** Told why a message could not be taken; the link closes. */
  readonly onFault: (reason: string) => void;
}

/** A connection to another daemon. */
export interface Link {
  /** Sends a message; on a link that is closed it is lost. */
  send(message: PeerMessage): void;
  /** Sends a message that is already encoded. */
  sendEncoded(frame: Buffer): void;
  /** Sets the silence after which the link is closed, in ms. */
  setIdleTimeout(millis: number): void;
  close(): void;
}

/** Sends and receives messages over TCP until it is closed. */
export class PeerLink implements Link {
  readonly #socket: Socket;
  readonly #onMessage: (message: PeerMessage) => void;
  readonly #onFault: (reason: string) => void;
  #silenceMs = IDLE_TIMEOUT_MS;
  #chunks: Buffer[] = [];
  #size = 0;

  constructor(socket: Socket, events: LinkEvents) {
    this.#socket = socket;
    this.#onMessage = events.onMessage;
    this.#onFault = events.onFault;
    socket.setNoDelay(true);
    // Counts as activity only what moves on the connection; both sides send
    // heartbeats well within it.
    socket.setTimeout(IDLE_TIMEOUT_MS);
    socket.on("timeout", () => socket.destroy());
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    // The close that follows tells all that matters.
    socket.on("error", () => {});
    socket.once("close", events.onClose);
  }

  send(message: PeerMessage): void {
    this.sendEncoded(encodeMessage(message));
  }

  sendEncoded(frame: Buffer): void {
    if (this.#socket.destroyed) return;
    if (this.#socket.writableLength > MAX_WAITING_BYTES) return this.close();
    this.#socket.write(frame);
  }

  setIdleTimeout(millis: number): void {
    if (this.#silenceMs === millis) return;
    this.#silenceMs = millis;
    this.#socket.setTimeout(millis);
  }

  close(): void {
    this.#socket.destroy();
  }

  /**
   * Whether a message could be taken. One of another version may have another
   * shape; the link to that daemon ends, and not the process.
   */
  #handle(item: unknown): boolean {
    try {
      this.#onMessage(unpackMessage(item));
      return true;
    } catch (error) {
      this.#onFault(String(error));
      return false;
    }
  }

  #receive(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    if (this.#size < LENGTH_BYTES) return;
    let bytes = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
    while (bytes.length >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) return this.close();
      if (bytes.length < LENGTH_BYTES + length) break;
      const item = bytes.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
      bytes = bytes.subarray(LENGTH_BYTES + length);
      const decoded = decodeItem(item);
      if (decoded.isErr()) return this.close();
      if (!this.#handle(decoded.value)) return this.close();
    }
    this.#chunks = bytes.length === 0 ? [] : [bytes];
    this.#size = bytes.length;
  }
}
