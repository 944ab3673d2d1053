/**
 * A small record that rides on heartbeats and probes.
 *
 * @module
 */

/** What is known of the state of this process and of others. */
export interface Digest {
  /**
   * A small CBOR value, such as the version of a table. One over 128 bytes rides
   * on links only, since a probe must fit one datagram.
   */
  read(): unknown;
  /** Takes in the digest of another member; must not throw. */
  receive(from: string, digest: unknown): void;
}

/** A digest that says nothing. */
export const NO_DIGEST: Digest = { read: () => null, receive: () => {} };
