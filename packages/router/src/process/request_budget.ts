/**
 * Bounds the memory that open requests take together.
 *
 * @module
 */

/** Bytes of memory that an open request takes beside its head and its body. */
const REQUEST_BYTES = 16 * 1024;
/** Bytes of memory for each byte of a head, which is kept as text in several forms. */
const HEAD_FACTOR = 8;

/** Counts the open requests of all callers by what they take. */
export class RequestBudget {
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes that the open requests take. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Counts a request, unless there is no room for it.
   *
   * @param headBytes size of its head.
   * @returns a function that ends the count; undefined if there is no room.
   */
  open(headBytes: number): (() => void) | undefined {
    const cost = REQUEST_BYTES + HEAD_FACTOR * headBytes;
    if (this.#bytes + cost > this.#maxBytes) return undefined;
    this.#bytes += cost;
    let open = true;
    return () => {
      if (open) this.#bytes -= cost;
      open = false;
    };
  }
}
