/**
 * Delay of a starting daemon's first read of the store.
 *
 * @module
 */

/** Milliseconds to wait for the first neighbour. */
const NEIGHBOUR_TIMEOUT_MS = 30;
/**
 * Milliseconds for a neighbour to deliver, from the start or from its offer.
 */
const DELIVERY_TIMEOUT_MS = 150;

/**
 * Delays the first read of the store while a neighbour may deliver the same
 * data. When all daemons start at once, two calls of each would overload the
 * store in the same second in which all callers reconnect. A daemon without
 * neighbours, or one that reads the store on behalf of others, waits only a
 * moment.
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
   * Starts the delay; resolves when the store is to be read, or need not be.
   *
   * @param relies whether this daemon has neighbours that read the store for
   * it.
   */
  wait(relies: () => boolean): Promise<void> {
    if (this.#isOpen) return this.#opened;
    this.#timer ??= setTimeout(() => {
      if (!relies()) return this.open();
      this.#timer = setTimeout(
        () => this.open(),
        DELIVERY_TIMEOUT_MS - NEIGHBOUR_TIMEOUT_MS,
      );
    }, NEIGHBOUR_TIMEOUT_MS);
    return this.#opened;
  }

  /** Extends the delay: a neighbour has the data, and it was requested. */
  recordOffer(): void {
    if (this.#offered || this.#isOpen || this.#timer === undefined) return;
    this.#offered = true;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.open(), DELIVERY_TIMEOUT_MS);
  }

  /** Ends the delay. */
  open(): void {
    this.#isOpen = true;
    clearTimeout(this.#timer);
    this.#open();
  }
}
