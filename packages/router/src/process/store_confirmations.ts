/**
 * When the store last confirmed the data of a kind, as daemons tell each other.
 *
 * @module
 */

/** A response of the store to one daemon, which confirmed what the daemon has. */
export interface Confirmation {
  /** Incarnation of the daemon that called the store. */
  readonly origin: string;
  /** Number of the confirmation among those of its origin. */
  readonly sequence: number;
  /** Time of the response, in monotonic ms of this daemon. */
  readonly at: number;
}

/** A confirmation with its age when a message with it was sent. */
export type ConfirmationAge = Omit<Confirmation, "at"> & {
  readonly agoMs: number;
};

/**
 * Origins whose last sequence is remembered: the daemons that watch the store, and
 * those that read it while no other does.
 */
const MAX_ORIGINS = 64;

/**
 * Holds the latest confirmation of one kind of data: this daemon has all changes
 * that the store had acknowledged by then. Without it, a daemon could not tell
 * whether the silence of its peers means that nothing has changed.
 *
 * Each confirmation is taken once, however often it comes back from others: its age
 * does not include the time on the network, so that a confirmation which daemons
 * went on exchanging would never age.
 *
 * @example
 * ```ts
 * const confirmations = new StoreConfirmations("a8Xk", performance.now());
 * confirmations.recordOwn(performance.now());
 * confirmations.ageMs(performance.now()); // 0
 * ```
 */
export class StoreConfirmations {
  readonly #origin: string;
  readonly #startedAt: number;
  /** Last sequence of each origin, least recently confirmed first. */
  readonly #sequences = new Map<string, number>();
  #sequence = 0;
  #latest: Confirmation | undefined;
  #othersAt = -Infinity;

  /**
   * @param incarnation incarnation of this daemon.
   * @param startedAt time from which ages count before the first confirmation, in
   * monotonic ms.
   */
  constructor(incarnation: string, startedAt: number) {
    this.#origin = incarnation;
    this.#startedAt = startedAt;
  }

  /** The latest confirmation, if there is one. */
  get latest(): Confirmation | undefined {
    return this.#latest;
  }

  /**
   * Time of the latest confirmation that another daemon got, in monotonic ms.
   */
  get othersAt(): number {
    return this.#othersAt;
  }

  /** Milliseconds since the latest confirmation or, before it, since the start. */
  ageMs(now: number): number {
    return now - (this.#latest?.at ?? this.#startedAt);
  }

  /** Records that the store has just confirmed what this daemon has. */
  recordOwn(now: number): void {
    this.#sequence += 1;
    this.record({ origin: this.#origin, sequence: this.#sequence, at: now });
  }

  /**
   * Records the confirmation of a peer whose version is not newer than that of this
   * daemon.
   */
  record(confirmation: Confirmation): void {
    const { origin, sequence, at } = confirmation;
    if (sequence <= (this.#sequences.get(origin) ?? 0)) return;
    this.#sequences.delete(origin);
    this.#sequences.set(origin, sequence);
    if (this.#sequences.size > MAX_ORIGINS) {
      const [oldest] = this.#sequences.keys();
      this.#sequences.delete(oldest!);
    }
    if (origin !== this.#origin) this.#othersAt = Math.max(this.#othersAt, at);
    if (at > (this.#latest?.at ?? -Infinity)) this.#latest = confirmation;
  }
}

/** The confirmations of each kind of data that daemons read from the store. */
export interface Confirmed {
  readonly configuration: StoreConfirmations;
  readonly runners: StoreConfirmations;
}

/** Creates the confirmations of a daemon that starts. */
export function createConfirmed(incarnation: string, now: number): Confirmed {
  return {
    configuration: new StoreConfirmations(incarnation, now),
    runners: new StoreConfirmations(incarnation, now),
  };
}
