/**
 * Clients that send without reading, over plain sockets.
 *
 * @module
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";

/** Longest time in ms for which a crowd sends. */
const MAX_SEND_MS = 12_000;
/** Time in ms without any progress after which no more is sent. */
const QUIET_MS = 1_500;
/** Interval in ms at which progress is checked. */
const CHECK_MS = 100;

/** What each connection of a crowd sends. */
export interface CrowdOptions {
  readonly host?: string;
  readonly port: number;
  readonly connections: number;
  /** Returns what a connection sends, piece by piece. */
  readonly pieces: (connection: number) => Iterable<string>;
}

/** Connections that send what they can, read nothing and stay open. */
export class ClientCrowd {
  readonly #sockets: readonly Socket[];
  #writing = 0;
  #progressAt = performance.now();

  private constructor(options: CrowdOptions) {
    const { host = "127.0.0.1", port, connections } = options;
    this.#sockets = Array.from({ length: connections }, (_, index) => {
      const socket = connect({ host, port });
      socket.on("error", () => socket.destroy());
      this.#writing += 1;
      this.#write(socket, options.pieces(index)[Symbol.iterator]());
      return socket;
    });
  }

  /**
   * Opens the connections and sends on all of them, until all is sent or closed, or
   * the server reads no more.
   *
   * @example
   * ```ts
   * const crowd = await ClientCrowd.send({
   *   port,
   *   connections: 10,
   *   pieces: () => ["GET / HTTP/1.1\r\n"],
   * });
   * crowd.leave();
   * ```
   */
  static async send(options: CrowdOptions): Promise<ClientCrowd> {
    const crowd = new ClientCrowd(options);
    const endAt = performance.now() + MAX_SEND_MS;
    const isQuiet = () => performance.now() - crowd.#progressAt > QUIET_MS;
    while (crowd.#writing > 0 && performance.now() < endAt && !isQuiet()) {
      await pause(CHECK_MS);
    }
    return crowd;
  }

  /** Number of connections that are still open. */
  get open(): number {
    return this.#sockets.filter(({ destroyed }) => !destroyed).length;
  }

  /** Closes all connections. */
  leave(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #write(socket: Socket, pieces: Iterator<string>): void {
    const ended = () => this.#writing -= 1;
    const next = () => {
      this.#progressAt = performance.now();
      const { done, value } = pieces.next();
      if (!done) return void socket.write(value, "latin1", next);
      socket.off("close", ended);
      ended();
    };
    socket.once("close", ended);
    socket.once("connect", next);
    socket.pause();
  }
}
