/**
 * Bounds what the connections of a server hold together.
 *
 * @module
 */
import type { ConnectionLimits } from "../process/connection_limits.ts";

/** A connection that is counted. */
export interface PooledConnection {
  /** Bytes that it holds of what is not complete. */
  readonly heldBytes: number;
  /** Whether it is in use, and is not closed for a new one. */
  readonly isBusy: boolean;
  /** Monotonic time in ms at which it was last in use. */
  readonly activeAt: number;
  /** Closes it at once. */
  close(): void;
}

/** Why a connection was closed to make room. */
export type EvictionReason = "connections" | "held_bytes";

/** Share of the connections that a server keeps when no descriptor is left. */
const SHRINK_SHARE = 0.7;

/** The open connections of a server. */
export class ConnectionPool {
  readonly #limits: ConnectionLimits;
  readonly #onEvicted: (reason: EvictionReason) => void;
  /** What each connection holds, as counted in the sum. */
  readonly #held = new Map<PooledConnection, number>();
  #heldBytes = 0;
  #maxConnections: number;

  /** @param onEvicted called for each connection that is closed to make room. */
  constructor(
    limits: ConnectionLimits,
    onEvicted: (reason: EvictionReason) => void = () => {},
  ) {
    this.#limits = limits;
    this.#maxConnections = limits.connections;
    this.#onEvicted = onEvicted;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#held.size;
  }

  /** Bytes that the connections hold together. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Adds a connection. If there are too many, the one that has been idle the longest is
   * closed; if none is idle, the one that holds the most, or the new one.
   */
  add(connection: PooledConnection): void {
    this.#held.set(connection, 0);
    if (this.#held.size <= this.#maxConnections) return;
    const evicted = this.#longestIdle(connection) ?? this.#largest(connection);
    this.#evict(evicted, "connections");
  }

  /**
   * Counts what a connection holds now. If all hold too much, those that hold the most
   * are closed.
   */
  update(connection: PooledConnection): void {
    const before = this.#held.get(connection);
    if (before === undefined) return;
    const bytes = connection.heldBytes;
    this.#held.set(connection, bytes);
    this.#heldBytes += bytes - before;
    while (this.#heldBytes > this.#limits.heldBytes) {
      this.#evict(this.#largest(connection), "held_bytes");
    }
  }

  /**
   * Takes fewer connections from now on, as the process may open fewer descriptors than
   * was known, and closes idle ones.
   */
  shrink(): void {
    this.#maxConnections = Math.ceil(SHRINK_SHARE * this.#held.size);
    while (this.#held.size > this.#maxConnections) {
      const idle = this.#longestIdle();
      if (idle === undefined) return;
      this.#evict(idle, "connections");
    }
  }

  /** Removes a connection that has closed. */
  remove(connection: PooledConnection): void {
    this.#heldBytes -= this.#held.get(connection) ?? 0;
    this.#held.delete(connection);
  }

  #evict(connection: PooledConnection, reason: EvictionReason): void {
    this.remove(connection);
    connection.close();
    this.#onEvicted(reason);
  }

  /** Returns the connection that is idle the longest, of all but a new one. */
  #longestIdle(added?: PooledConnection): PooledConnection | undefined {
    let longest: PooledConnection | undefined;
    for (const connection of this.#held.keys()) {
      if (connection === added || connection.isBusy) continue;
      const isOlder = longest === undefined ||
        connection.activeAt < longest.activeAt;
      if (isOlder) longest = connection;
    }
    return longest;
  }

  #largest(first: PooledConnection): PooledConnection {
    let largest = first;
    let most = this.#held.get(first) ?? 0;
    for (const [connection, bytes] of this.#held) {
      if (bytes <= most) continue;
      largest = connection;
      most = bytes;
    }
    return largest;
  }
}
