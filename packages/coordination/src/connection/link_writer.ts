/**
 * The outgoing half of a link.
 *
 * @module
 */
import process from "node:process";
import type { Socket } from "node:net";
import type { TrafficCounter } from "../process/traffic.ts";
import { TAG_BYTES } from "./session.ts";
import type { Sealer } from "./session.ts";

/** What a {@linkcode LinkWriter} writes to, and how. */
export interface LinkWriterOptions {
  readonly socket: Socket;
  readonly sealer: Sealer;
  readonly traffic: TrafficCounter;
  /** Largest frame that the other end takes, its tag included. */
  readonly maxFrameBytes: number;
}

/** Seals messages and writes them to the socket of a link, counted. */
export class LinkWriter {
  readonly #options: LinkWriterOptions;
  #corked = false;

  constructor(options: LinkWriterOptions) {
    this.#options = options;
  }

  /** Bytes that the socket has not passed on yet. */
  get queuedBytes(): number {
    return this.#options.socket.writableLength;
  }

  /** Whether a message may be sent: the other end closes on a larger frame. */
  fitsFrame(payload: Uint8Array): boolean {
    return payload.length + TAG_BYTES <= this.#options.maxFrameBytes;
  }

  /** Writes a message. Those of one turn of the event loop share packets. */
  write(payload: Uint8Array): void {
    const { socket, sealer, traffic } = this.#options;
    if (!this.#corked) {
      this.#corked = true;
      socket.cork();
      process.nextTick(() => {
        this.#corked = false;
        socket.uncork();
      });
    }
    const frame = sealer.seal(payload);
    traffic.addSent(frame.length);
    socket.write(frame);
  }
}
