/**
 * History of recent decisions, for `umbermastctl why`.
 *
 * @module
 */

interface DecisionEntry {
  readonly requestId: string;
  readonly line: string;
}

/** Default number of decisions kept: three minutes at 37 requests/s. */
const DEFAULT_CAPACITY = 8192;

/** A ring buffer of decision lines; new lines overwrite the oldest. */
export class DecisionHistory {
  readonly #entries: (DecisionEntry | undefined)[];
  #next = 0;

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#entries = new Array(capacity);
  }

  /** Adds a line and overwrites the oldest one if the buffer is full. */
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
