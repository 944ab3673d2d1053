/**
 * How many connections the ports of a process accept, and what they may hold.
 *
 * @module
 */

/** Limits of the connections that one server accepts. */
export interface ConnectionLimits {
  readonly connections: number;
  /** Bytes of what is not complete, of all connections together. */
  readonly heldBytes: number;
}
