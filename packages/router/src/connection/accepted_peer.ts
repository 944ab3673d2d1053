/**
 * A connection that another daemon has opened, as it is counted.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { ConnectionPool, PooledConnection } from "./connection_pool.ts";

/** What receives the messages of a connection: a link or a tunnel channel. */
export interface MessageReceiver {
  /** Bytes of a message that is not complete. */
  readonly incompleteBytes: number;
}

/** An accepted connection, which is in use from its first complete message on. */
export class AcceptedPeer implements PooledConnection {
  readonly #socket: Socket;
  readonly #pool: ConnectionPool;
  readonly activeAt = performance.now();
  #receiver: MessageReceiver | undefined;
  #isBusy = false;

  /** Adds the connection to a pool for as long as it is open. */
  constructor(socket: Socket, pool: ConnectionPool) {
    this.#socket = socket;
    this.#pool = pool;
    pool.add(this);
    socket.once("close", () => pool.remove(this));
  }

  get heldBytes(): number {
    return this.#receiver?.incompleteBytes ?? 0;
  }

  get isBusy(): boolean {
    return this.#isBusy;
  }

  close(): void {
    this.#socket.destroy();
  }

  /** Counts what a receiver holds, which handles the bytes before this does. */
  watch(receiver: MessageReceiver): void {
    this.#receiver = receiver;
    this.#socket.on("data", () => {
      if (receiver.incompleteBytes === 0) this.#isBusy = true;
      this.#pool.update(this);
    });
  }
}
