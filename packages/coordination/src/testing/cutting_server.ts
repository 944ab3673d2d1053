/**
 * A server that cuts its responses short.
 *
 * @module
 */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

const LOCALHOST = "127.0.0.1";

/** How a connection ends right behind the bytes that were sent, in the same turn. */
export type Ending = "reset" | "close";

/** How a connection may end. */
export const ENDINGS: readonly Ending[] = ["reset", "close"];

function endConnection(socket: Socket, ending: Ending): void {
  if (ending === "reset") socket.resetAndDestroy();
  else socket.end();
}

/**
 * Answers each connection's first bytes with a response, or a part of it, and ends the
 * connection.
 *
 * @example
 * ```ts
 * const server = await CuttingServer.start("HTTP/1.1 200 OK\r\n\r\nbody", "reset");
 * server.cutAt(20); // from now on, the first 20 bytes only
 * server.close();
 * ```
 */
export class CuttingServer {
  readonly #server: Server;
  #length: number;

  private constructor(response: string, ending: Ending) {
    this.#length = response.length;
    this.#server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write(response.slice(0, this.#length));
        endConnection(socket, ending);
      });
    });
  }

  /** Starts a server that sends all of a response. */
  static async start(response: string, ending: Ending): Promise<CuttingServer> {
    const cutting = new CuttingServer(response, ending);
    cutting.#server.listen(0, LOCALHOST);
    await once(cutting.#server, "listening");
    return cutting;
  }

  /** Port that it listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Its address as the beginning of a URL. */
  get url(): string {
    return `http://${LOCALHOST}:${this.port}`;
  }

  /** Sends only so many bytes of the response from now on. */
  cutAt(bytes: number): void {
    this.#length = bytes;
  }

  /** Stops listening. */
  close(): void {
    this.#server.close();
  }
}
