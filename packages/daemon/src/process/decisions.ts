/**
 * The decisions of the last while, for `umbermastctl why`.
 *
 * @module
 */

interface DecisionEntry {
  readonly requestId: string;
  readonly line: string;
}

/** Decisions kept unless told otherwise: at 37 requests/s, three minutes. */
const DEFAULT_CAPACITY = 8192;

/** A bounded history of decision lines; the oldest make room for new ones. */
export class DecisionHistory {
  readonly #entries: (DecisionEntry | undefined)[];
  #next = 0;

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#entries = new Array(capacity);
  }

  /** Adds a line, in place of the oldest when full. */
  add(requestId: string, line: string): void {
    this.#entries[this.#next] = { requestId, line };
    this.#next = (this.#next + 1) % this.#entries.length;
  }

  /** Lines of one request, oldest first. */
  linesOf(requestId: string): readonly string[] {
    const inOrder = [
      ...this.#entries.slice(this.#next),
      ...this.#entries.slice(0, this.#next),
    ];
    return inOrder
      .filter((entry) => entry?.requestId === requestId)
      .map((entry) => entry!.line);
  }
}
