/**
 * Writes the outgoing messages of a link.
 *
 * @module
 */
import process from "node:process";
import type { Socket } from "node:net";
import type { TrafficCounter } from "../process/traffic.ts";
import { TAG_BYTES } from "./session.ts";
import type { FrameSigner } from "./session.ts";

/** Settings of a {@linkcode LinkWriter}. */
export interface LinkWriterOptions {
  readonly socket: Socket;
  readonly signer: FrameSigner;
  readonly traffic: TrafficCounter;
  /**
   * Maximum size of a frame, in bytes, with its authentication tag and without
   * its length. The peer is assumed to have the same maximum.
   */
  readonly maxFrameBytes: number;
}

/**
 * Adds authentication tags to messages, writes them to the socket of a link, and
 * counts their bytes.
 */
export class LinkWriter {
  readonly #options: LinkWriterOptions;
  #corked = false;

  constructor(options: LinkWriterOptions) {
    this.#options = options;
  }

  /** Bytes that are queued in the socket. */
  get queuedBytes(): number {
    return this.#options.socket.writableLength;
  }

  /**
   * Whether a message fits into a frame; the peer closes the link on a larger
   * one.
   */
  fitsFrame(payload: Uint8Array): boolean {
    return payload.length + TAG_BYTES <= this.#options.maxFrameBytes;
  }

  /**
   * Writes a message. The socket is corked until the next tick, so that messages
   * of one callback are sent together.
   */
  write(payload: Uint8Array): void {
    const { socket, signer, traffic } = this.#options;
    if (!this.#corked) {
      this.#corked = true;
      socket.cork();
      process.nextTick(() => {
        this.#corked = false;
        socket.uncork();
      });
    }
    const frame = signer.sign(payload);
    traffic.addSent(frame.length);
    socket.write(frame);
  }
}
