/**
 * TCP connections whose end is confirmed before it is reported.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Agent } from "node:http";
import { Socket } from "node:net";
import type { TcpNetConnectOpts } from "node:net";

/**
 * A connection that reports a reset as an error, also where it arrives together with
 * the last bytes. Node reports an ordinary end then: a part of a message that ends with
 * its connection would pass for the whole.
 *
 * The system keeps the error of a reset until the next read or write, so that a write
 * tells it. Once this side has ended the connection, nothing can be written: the end
 * is then reported as it comes.
 */
export class ClientSocket extends Socket {
  // Called by Node with what has been read; null at the end.
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding);
    // A write that is in progress fails by itself.
    if (this.writable && this.writableLength === 0) this.write("");
    setImmediate(() => this.#reportEnd());
    return false;
  }

  #reportEnd(): void {
    if (this.destroyed) return;
    super.push(null);
    // Nothing reads from an idle connection, which must close, too.
    this.read(0);
  }
}

/**
 * Starts to open a connection.
 *
 * @example
 * ```ts
 * const socket = connectClient({ host: "127.0.0.1", port: 8080 });
 * ```
 */
export function connectClient(options: TcpNetConnectOpts): ClientSocket {
  const socket = new ClientSocket(options);
  if (options.timeout !== undefined) socket.setTimeout(options.timeout);
  return socket.connect(options);
}

/**
 * An HTTP agent with such connections, for clients that read responses which may have
 * no length.
 *
 * @example
 * ```ts
 * const agent = new ClientAgent({ keepAlive: true });
 * get({ agent, host: "127.0.0.1", port: 8080, path: "/" });
 * ```
 */
export class ClientAgent extends Agent {
  // Called by Node when a request needs a new connection.
  override createConnection(options: TcpNetConnectOpts): ClientSocket {
    return connectClient(options);
  }
}
