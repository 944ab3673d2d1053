/**
 * Holds the bytes of a body as they arrive.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Size in bytes from which on a chunk is kept as it is. */
const LARGE_CHUNK_BYTES = 4 * 1024;
/** Size in bytes of the first block for smaller chunks; later ones are larger. */
const FIRST_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;
/** Bytes that a buffer takes beside its content. */
const BUFFER_OVERHEAD_BYTES = 256;

/**
 * Collects chunks, small ones in blocks: a chunk of one byte would otherwise take
 * hundreds of bytes, and a client chooses the size of its chunks.
 *
 * @example
 * ```ts
 * const blocks = new BodyBlocks();
 * incoming.on("data", (chunk) => blocks.add(chunk));
 * incoming.on("end", () => handle(blocks.join()));
 * ```
 */
export class BodyBlocks {
  readonly #parts: Buffer[] = [];
  /** The block that is being filled. */
  #block: Buffer | undefined;
  #filled = 0;
  #length = 0;
  #heldBytes = 0;

  /** Number of bytes of the body. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that it takes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Adds a chunk, which may be kept. */
  add(chunk: Buffer): void {
    this.#length += chunk.length;
    const isLarge = chunk.length >= LARGE_CHUNK_BYTES;
    // Most bodies are one chunk, which need not be copied.
    if (isLarge || this.#parts.length === 0 && this.#block === undefined) {
      return this.#keep(chunk);
    }
    this.#copy(chunk);
  }

  /** Returns the parts of the body, in order. */
  parts(): readonly Buffer[] {
    this.#closeBlock();
    return this.#parts;
  }

  /** Returns the body as one buffer. */
  join(): Buffer {
    const parts = this.parts();
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }

  /** Forgets the body, whose listeners may live as long as the connection. */
  clear(): void {
    this.#parts.length = 0;
    this.#block = undefined;
    this.#length = 0;
    this.#heldBytes = 0;
  }

  #keep(chunk: Buffer): void {
    this.#closeBlock();
    this.#parts.push(chunk);
    this.#heldBytes += chunk.length + BUFFER_OVERHEAD_BYTES;
  }

  #copy(chunk: Buffer): void {
    let rest = chunk;
    while (rest.length > 0) {
      const block = this.#block ??= this.#openBlock();
      const copied = rest.copy(block, this.#filled);
      this.#filled += copied;
      rest = rest.subarray(copied);
      if (this.#filled === block.length) this.#closeBlock();
    }
  }

  /** Blocks grow with the body, so that a small one takes little. */
  #openBlock(): Buffer {
    const size = Math.min(
      MAX_BLOCK_BYTES,
      Math.max(FIRST_BLOCK_BYTES, this.#heldBytes),
    );
    this.#filled = 0;
    this.#heldBytes += size + BUFFER_OVERHEAD_BYTES;
    return Buffer.allocUnsafeSlow(size);
  }

  #closeBlock(): void {
    if (this.#block === undefined) return;
    this.#parts.push(this.#block.subarray(0, this.#filled));
    this.#block = undefined;
  }
}
