/**
 * Reads lists in messages of other daemons and leaves out invalid entries.
 *
 * @module
 */
import { InvalidFigure } from "./check_non_negative.ts";

/**
 * Reads the entries of one message. An entry with an invalid figure is left out
 * and reported, and the rest of the message counts: a link that ends for one load
 * also keeps the newest versions from its receiver. An entry of another layout
 * still throws.
 */
export class ValidEntries {
  readonly #onInvalid: (reason: string) => void;

  /** @param onInvalid called with the reason for each entry that is left out. */
  constructor(onInvalid: (reason: string) => void) {
    this.#onInvalid = onInvalid;
  }

  /** Returns the valid entries of a list. */
  all<Packed, Entry>(
    packed: readonly Packed[],
    unpack: (packed: Packed) => Entry,
  ): readonly Entry[] {
    const valid: Entry[] = [];
    for (const entry of packed) {
      try {
        valid.push(unpack(entry));
      } catch (error) {
        this.#report(error);
      }
    }
    return valid;
  }

  /** Returns one value; undefined if it is invalid. */
  one<Value>(unpack: () => Value): Value | undefined {
    try {
      return unpack();
    } catch (error) {
      this.#report(error);
      return undefined;
    }
  }

  #report(error: unknown): void {
    if (!(error instanceof InvalidFigure)) throw error;
    this.#onInvalid(error.message);
  }
}
