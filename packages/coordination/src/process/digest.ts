/**
 * A small record that is piggybacked on heartbeats and probes.
 *
 * @module
 */

/** Exchanges the state of this process with that of other members. */
export interface Digest {
  /**
   * Returns a small CBOR value, such as the version of a table. A value over
   * 128 bytes is sent on links only, since a probe must fit one datagram.
   */
  read(): unknown;
  /** Handles the digest of another member; must not throw. */
  receive(from: string, digest: unknown): void;
}

/** A digest without content. */
export const NO_DIGEST: Digest = { read: () => null, receive: () => {} };
