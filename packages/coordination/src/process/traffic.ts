/**
 * Counts of what a process sends to others and gets from them.
 *
 * @module
 */

/** Messages and bytes since the start, without the headers of TCP, UDP and IP. */
export interface Traffic {
  readonly sent: number;
  readonly sentBytes: number;
  readonly received: number;
  readonly receivedBytes: number;
}

/** Adds up the {@linkcode Traffic} of a process's links, or of its probes. */
export class TrafficCounter {
  #sent = 0;
  #sentBytes = 0;
  #received = 0;
  #receivedBytes = 0;

  /** One message of this size was sent. */
  addSent(bytes: number): void {
    this.#sent += 1;
    this.#sentBytes += bytes;
  }

  /** One message of this size came. */
  addReceived(bytes: number): void {
    this.#received += 1;
    this.#receivedBytes += bytes;
  }

  /** The counts at this moment. */
  read(): Traffic {
    return {
      sent: this.#sent,
      sentBytes: this.#sentBytes,
      received: this.#received,
      receivedBytes: this.#receivedBytes,
    };
  }
}
