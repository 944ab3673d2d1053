/**
 * When a daemon that has just started reads the store.
 *
 * @module
 */

/** Milliseconds for the first neighbour to answer. */
const MEET_MS = 30;
/** Milliseconds, from the start or its offer on, for one to give what is needed. */
const GIVE_MS = 150;

/**
 * Holds back the first reading of the store while a neighbour may give the same.
 * When all daemons start at once, two calls of each are a storm at the store in
 * the very second in which every caller returns. Who meets nobody, or is among
 * those that read the store for the others, does not wait for them.
 */
export class StartGate {
  readonly #opened: Promise<void>;
  #open = () => {};
  #timer: NodeJS.Timeout | undefined;
  #offered = false;
  #isOpen = false;

  constructor() {
    this.#opened = new Promise((resolve) => {
      this.#open = resolve;
    });
  }

  /**
   * Waits from now on; resolves when the store is to be read, or need not be.
   *
   * @param relies whether this daemon has neighbours that read the store for it.
   */
  wait(relies: () => boolean): Promise<void> {
    if (this.#isOpen) return this.#opened;
    this.#timer ??= setTimeout(() => {
      if (!relies()) return this.open();
      this.#timer = setTimeout(() => this.open(), GIVE_MS - MEET_MS);
    }, MEET_MS);
    return this.#opened;
  }

  /** A neighbour has what is needed, and was asked for it. */
  offered(): void {
    if (this.#offered || this.#isOpen || this.#timer === undefined) return;
    this.#offered = true;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.open(), GIVE_MS);
  }

  /** There is nothing to wait for any longer. */
  open(): void {
    this.#isOpen = true;
    clearTimeout(this.#timer);
    this.#open();
  }
}
