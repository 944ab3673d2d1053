/**
 * TCP connections whose end is confirmed before it is reported.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Agent } from "node:http";
import { Socket } from "node:net";
import type { TcpNetConnectOpts } from "node:net";

type WriteCallback = (error?: Error | null) => void;

/**
 * A connection that reports a reset as an error, also where it arrives together with
 * the last bytes. Node reports an ordinary end then: a part of a message that ends with
 * its connection would pass for the whole.
 *
 * The system keeps the error of a reset until the next read or write, so that a write
 * tells it. Once this side has ended the connection, or while it is corked, nothing is
 * written: the end is then reported as it comes.
 */
export class ClientSocket extends Socket {
  #ending = false;

  // Called by Node with what has been read; null at the end.
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk !== null) return super.push(chunk, encoding);
    this.#ending = true;
    // A write that is in progress fails by itself, in this turn of the event loop.
    if (this.writable && this.writableLength === 0) this.write("");
    setImmediate(() => this.#reportEnd());
    return false;
  }

  // Called by Node's streams to write.
  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: WriteCallback,
  ): void {
    super._write(chunk, encoding, this.#withoutBrokenPipe(callback));
  }

  // Called by Node's streams to write what has been buffered.
  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    callback: WriteCallback,
  ): void {
    super._writev!(chunks, this.#withoutBrokenPipe(callback));
  }

  /**
   * A pipe is broken, and not reset, if the other side has ended the connection before:
   * all that it sent has arrived, and what it has not read is of no use to it.
   */
  #withoutBrokenPipe(callback: WriteCallback): WriteCallback {
    return (error) => {
      const code = (error as NodeJS.ErrnoException | null | undefined)?.code;
      callback(this.#ending && code === "EPIPE" ? null : error);
    };
  }

  #reportEnd(): void {
    if (this.destroyed) return;
    super.push(null);
    // A connection from which nothing reads must close, too.
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
