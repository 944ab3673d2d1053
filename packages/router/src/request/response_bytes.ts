/**
 * Bounds what a runner sends without bringing its response forward.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Duplex } from "node:stream";

/**
 * Counts the bytes on the connection of a response since its last progress. A faulty
 * runner may send without end what never becomes a head, a body or an event; each
 * byte of it costs this daemon time, and some of it memory.
 */
export class ResponseBytes {
  readonly #socket: Duplex;
  readonly #onData: (chunk: Buffer) => void;
  #maxBytes: number;
  #count = 0;

  /**
   * @param options.maxBytes bytes up to the first progress.
   * @param options.onExceeded called when there are more of them.
   */
  constructor(
    socket: Duplex,
    options: { readonly maxBytes: number; readonly onExceeded: () => void },
  ) {
    this.#socket = socket;
    this.#maxBytes = options.maxBytes;
    this.#onData = (chunk) => {
      if (this.#count > this.#maxBytes) options.onExceeded();
      this.#count += chunk.length;
    };
    // Before the parser, which may find in these bytes what is progress.
    socket.prependListener("data", this.#onData);
  }

  /** Records progress, up to the next of which there may be `maxBytes` bytes. */
  recordProgress(maxBytes = this.#maxBytes): void {
    this.#maxBytes = maxBytes;
    this.#count = 0;
  }

  /** Records bytes of a body: only what goes with them remains counted. */
  recordBody(bytes: number): void {
    this.#count -= bytes;
  }

  /** Stops counting, as the response is over. */
  stop(): void {
    this.#socket.off("data", this.#onData);
  }
}
