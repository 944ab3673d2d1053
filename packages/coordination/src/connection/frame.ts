/**
 * Reads the frames of a link: a 4-byte big-endian length and that many bytes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import { encodeFrame, LENGTH_BYTES } from "./frame_bytes.ts";

export { encodeFrame, LENGTH_BYTES };

/**
 * Why a link was closed, or why a connection did not become a link.
 *
 * - `ended`: the peer closed the connection.
 * - `error`: the socket failed.
 * - `frame-too-large`: a received frame is larger than the maximum.
 * - `forged`: a received frame is not authentic.
 * - `malformed`: an authentic message or identity is not valid.
 * - `refused`: the handshake was refused, the member is unknown, there is a link
 *   to a later incarnation, or the peer reads too slowly; `detail` says which.
 * - `silent`: nothing was received within the time-out.
 * - `idle`: the link was not used, and was closed in order.
 * - `stopped`: this process has stopped its links.
 */
export interface LinkClosed {
  readonly _tag: "LinkClosed";
  readonly reason:
    | "ended"
    | "error"
    | "frame-too-large"
    | "forged"
    | "malformed"
    | "refused"
    | "silent"
    | "idle"
    | "stopped";
  /** Detail for diagnosis; never contains a key or a message. */
  readonly detail?: string;
}

/** Makes a {@linkcode LinkClosed}. */
export function linkClosed(
  reason: LinkClosed["reason"],
  detail?: string,
): LinkClosed {
  return detail === undefined
    ? { _tag: "LinkClosed", reason }
    : { _tag: "LinkClosed", reason, detail };
}

/**
 * Reads frames from a socket, one at a time.
 *
 * The socket stays paused between frames, so that a slow reader slows down the
 * sender through TCP flow control. A length over the limit closes the link
 * before a buffer is allocated for the frame: otherwise four bytes from an
 * unauthenticated client could make the process allocate 4 GiB.
 */
export class FrameReader {
  readonly #socket: Socket;
  #maxFrameBytes: number;
  #bodyLength: number | undefined;
  #closed: LinkClosed | undefined;
  #onReadable: (() => void) | undefined;

  constructor(socket: Socket, maxFrameBytes: number) {
    this.#socket = socket;
    this.#maxFrameBytes = maxFrameBytes;
    socket.on("readable", () => this.#onReadable?.());
    socket.on("end", () => this.#close(linkClosed("ended")));
    socket.on("close", () => this.#close(linkClosed("ended")));
    socket.on(
      "error",
      (error) => this.#close(linkClosed("error", error.message)),
    );
  }

  /** Sets the size of the largest frame accepted from now on, in bytes. */
  setMaxFrameBytes(maxFrameBytes: number): void {
    this.#maxFrameBytes = maxFrameBytes;
  }

  /** Waits for the next frame. */
  next(): Effect.Effect<Buffer, LinkClosed> {
    return Effect.suspend(() => this.#takeFrame() ?? this.#waitForFrame());
  }

  #waitForFrame(): Effect.Effect<Buffer, LinkClosed> {
    return Effect.callback((resume) => {
      const attempt = () => {
        const taken = this.#takeFrame();
        if (taken === undefined) return;
        this.#onReadable = undefined;
        resume(taken);
      };
      this.#onReadable = attempt;
      attempt();
      return Effect.sync(() => {
        this.#onReadable = undefined;
      });
    });
  }

  #takeFrame(): Effect.Effect<Buffer, LinkClosed> | undefined {
    if (this.#bodyLength === undefined) {
      const head = this.#read(LENGTH_BYTES);
      if (head === undefined) return this.#closedFailure();
      const length = head.readUInt32BE();
      if (length > this.#maxFrameBytes) {
        return Effect.fail(
          linkClosed(
            "frame-too-large",
            `${length} over ${this.#maxFrameBytes} bytes`,
          ),
        );
      }
      this.#bodyLength = length;
    }
    if (this.#bodyLength === 0) {
      this.#bodyLength = undefined;
      return Effect.succeed(Buffer.alloc(0));
    }
    const body = this.#read(this.#bodyLength);
    if (body === undefined) return this.#closedFailure();
    this.#bodyLength = undefined;
    return Effect.succeed(body);
  }

  /**
   * Reads exactly this many bytes. At the end of the stream the socket returns
   * a shorter rest, which is not a frame.
   */
  #read(bytes: number): Buffer | undefined {
    const chunk: Buffer | null = this.#socket.read(bytes);
    if (chunk === null || chunk.length < bytes) return undefined;
    return chunk;
  }

  #closedFailure(): Effect.Effect<never, LinkClosed> | undefined {
    return this.#closed === undefined ? undefined : Effect.fail(this.#closed);
  }

  #close(reason: LinkClosed): void {
    this.#closed ??= reason;
    this.#onReadable?.();
  }
}
