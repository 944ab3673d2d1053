/**
 * Counters of messages and bytes sent and received.
 *
 * @module
 */

/**
 * Messages and bytes since the start, without the headers of TCP, UDP and IP.
 */
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

  /** Counts a sent message of `bytes` bytes. */
  addSent(bytes: number): void {
    this.#sent += 1;
    this.#sentBytes += bytes;
  }

  /** Counts a received message of `bytes` bytes. */
  addReceived(bytes: number): void {
    this.#received += 1;
    this.#receivedBytes += bytes;
  }

  /** A snapshot of the counters. */
  read(): Traffic {
    return {
      sent: this.#sent,
      sentBytes: this.#sentBytes,
      received: this.#received,
      receivedBytes: this.#receivedBytes,
    };
  }
}
