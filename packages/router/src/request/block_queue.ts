/**
 * A queue of bytes that wait for a caller.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/**
 * Size in bytes of the blocks to which small pieces are copied. A queue of events
 * of 100 bytes each would take three times their size; in blocks, at most one
 * block more than their size.
 */
const BLOCK_BYTES = 32 * 1024;

/** Bytes in order, in a few large blocks. */
export class BlockQueue {
  readonly #blocks: Buffer[] = [];
  /** The last block, if it has room, and the number of bytes in it. */
  #open: Buffer | undefined;
  #used = 0;
  #size = 0;

  /** Bytes that the queue takes up. */
  get size(): number {
    return this.#size;
  }

  get empty(): boolean {
    return this.#blocks.length === 0;
  }

  /**
   * Adds a copy of the bytes: an event is a part of a larger chunk, which it would
   * keep in memory.
   */
  push(bytes: Buffer): void {
    let rest = bytes;
    while (rest.length > 0) {
      const block = this.#open ?? this.#openBlock();
      const count = rest.copy(block, this.#used);
      this.#used += count;
      rest = rest.subarray(count);
      if (this.#used === block.length) this.#open = undefined;
    }
  }

  /** Adds a chunk without copying it. */
  pushChunk(chunk: Buffer): void {
    this.#closeBlock();
    this.#blocks.push(chunk);
    this.#size += chunk.length;
  }

  /** Removes the first block; undefined if the queue is empty. */
  shift(): Buffer | undefined {
    if (this.#blocks.length === 1) this.#closeBlock();
    const block = this.#blocks.shift();
    this.#size -= block?.length ?? 0;
    return block;
  }

  clear(): void {
    this.#blocks.length = 0;
    this.#open = undefined;
    this.#size = 0;
  }

  #openBlock(): Buffer {
    const block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
    this.#blocks.push(block);
    this.#size += BLOCK_BYTES;
    this.#open = block;
    this.#used = 0;
    return block;
  }

  /** Truncates the block that has room, so that nothing is added to it. */
  #closeBlock(): void {
    const block = this.#open;
    if (block === undefined) return;
    this.#blocks[this.#blocks.length - 1] = block.subarray(0, this.#used);
    this.#size -= block.length - this.#used;
    this.#open = undefined;
  }
}
