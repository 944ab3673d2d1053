/**
 * Splits received bytes into length-prefixed frames.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { LENGTH_BYTES } from "@umbermast/coordination/frame_bytes";

/** Maximum size of a frame; a configuration of a megabyte fits. */
const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/** Collects received bytes until they are whole frames. */
export class FrameBuffer {
  #chunks: Buffer[] = [];
  #size = 0;
  /** Bytes without which no further frame is whole, or its length not known. */
  #needed = LENGTH_BYTES;

  /** Bytes of a frame that is not whole. */
  get size(): number {
    return this.#size;
  }

  /**
   * Adds received bytes, and handles the frames that they complete.
   *
   * @param handle returns whether to go on with the next frame.
   * @returns false if a frame is too large, or `handle` returned false.
   */
  push(chunk: Buffer, handle: (frame: Buffer) => boolean): boolean {
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    if (this.#size < this.#needed) return true;
    let bytes = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
    this.#needed = LENGTH_BYTES;
    while (bytes.length >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) return false;
      if (bytes.length < LENGTH_BYTES + length) {
        this.#needed = LENGTH_BYTES + length;
        break;
      }
      const frame = bytes.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
      bytes = bytes.subarray(LENGTH_BYTES + length);
      if (!handle(frame)) return false;
    }
    this.#chunks = bytes.length === 0 ? [] : [bytes];
    this.#size = bytes.length;
    return true;
  }
}
