/**
 * Writes responses to callers over HTTP.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import type { CallerGone, Problem, Reply, ResponseHead } from "./call.ts";
import { problemBody, problemHeaders } from "./problems.ts";

const EVENT_STREAM = "text/event-stream";

/** How long the remaining body of a refused request is read and discarded. */
const LINGER_TIMEOUT_MS = 1000;
/** Most bytes of it that are read; the time-out passes without reading more. */
const LINGER_BYTES = 256 * 1024;

const HEX = 16;
const LINE_END = "\r\n";

/** Encodes one chunk of a chunked response (RFC 9112, section 7.1). */
function encodeChunk(bytes: Uint8Array): Buffer {
  const size = `${bytes.length.toString(HEX)}${LINE_END}`;
  const end = size.length + bytes.length;
  const chunk = Buffer.allocUnsafe(end + LINE_END.length);
  chunk.write(size, 0, "latin1");
  chunk.set(bytes, size.length);
  chunk.write(LINE_END, end, "latin1");
  return chunk;
}

/** Writes one response; closes the connection of a caller that reads too slowly. */
export class HttpReply implements Reply {
  readonly #response: ServerResponse;
  readonly #requestId: string;
  readonly #writeTimeoutMs: number;
  readonly #isShuttingDown: () => boolean;
  #streamed = false;
  /** Whether the caller waits for `100 Continue` before it sends the body. */
  #awaitsContinue: boolean;
  #gone: CallerGone | undefined;
  #headersSentAt: number | undefined;
  /** The connection, once a streamed response has started. */
  #stream: Socket | undefined;

  constructor(
    response: ServerResponse,
    options: {
      readonly requestId: string;
      readonly writeTimeoutMs: number;
      /** Whether the connection must be closed after the response. */
      readonly isShuttingDown: () => boolean;
    },
  ) {
    this.#response = response;
    this.#requestId = options.requestId;
    this.#writeTimeoutMs = options.writeTimeoutMs;
    this.#isShuttingDown = options.isShuttingDown;
    this.#awaitsContinue = response.req.headers.expect !== undefined;
    response.setHeader("umbermast-request-id", options.requestId);
    // Node also emits "error" for writes to a closed connection; the close event
    // is sufficient.
    response.on("error", () => {});
    response.once("close", () => {
      this.#gone ??= { _tag: "CallerGone", reason: "closed" };
    });
  }

  /** Epoch milliseconds when the head was sent; undefined if none was sent. */
  get headersSentAt(): number | undefined {
    return this.#headersSentAt;
  }

  get headersSent(): boolean {
    return this.#response.headersSent;
  }

  /** Why the caller is disconnected; undefined while it is connected. */
  get gone(): CallerGone | undefined {
    return this.#gone;
  }

  /** Sends `100 Continue` to a caller that waits for it. */
  sendContinue(): void {
    if (!this.#awaitsContinue) return;
    this.#awaitsContinue = false;
    this.#response.writeContinue();
  }

  writeHead(head: ResponseHead): void {
    for (const { name, value } of head.headers) {
      this.#response.appendHeader(name, value);
      if (name === "content-type") {
        this.#streamed = value.toLowerCase().startsWith(EVENT_STREAM);
      }
    }
    if (this.#isShuttingDown()) this.#response.setHeader("connection", "close");
    this.#response.writeHead(head.status);
    this.#headersSentAt = Date.now();
    if (this.#streamed) this.#openStream();
  }

  push(bytes: Uint8Array): boolean {
    if (this.#gone !== undefined) return false;
    // An empty chunk would mark the end of the response.
    if (bytes.length === 0) return true;
    if (this.#stream === undefined) return this.#response.write(bytes);
    return this.#stream.write(encodeChunk(bytes));
  }

  drained(): Effect.Effect<void, CallerGone> {
    return Effect.suspend(() => {
      if (this.#gone !== undefined) return Effect.fail(this.#gone);
      const written = this.#stream ?? this.#response;
      if (!written.writableNeedDrain) return Effect.void;
      return this.#waitForDrain(written);
    });
  }

  write(bytes: Uint8Array): Effect.Effect<void, CallerGone> {
    return Effect.suspend(() =>
      this.push(bytes) ? Effect.void : this.drained()
    );
  }

  end(): void {
    this.#response.end();
    this.#startFlushTimeout();
  }

  abort(problem: Problem): void {
    const response = this.#response;
    if (!this.#streamed) {
      response.destroy();
      return;
    }
    const body = problemBody(problem, this.#requestId);
    // The connection is closed after the event, without the last chunk, so that
    // a client without support for error events detects the truncation.
    response.write(`data: ${body}\n\n`, () => response.destroy());
    this.#startFlushTimeout();
  }

  refuse(problem: Problem): void {
    const body = problemBody(problem, this.#requestId);
    const response = this.#response;
    for (const { name, value } of problemHeaders(problem)) {
      response.setHeader(name, value);
    }
    response.setHeader("content-type", "application/json");
    response.setHeader("content-length", Buffer.byteLength(body));
    const { complete } = response.req;
    if (this.#isShuttingDown() || !complete) {
      response.setHeader("connection", "close");
    }
    response.writeHead(problem.status);
    if (complete || this.#awaitsContinue) {
      response.end(body);
      this.#startFlushTimeout();
      return;
    }
    response.write(body);
    this.#endAfterRequestBody();
  }

  /**
   * Ends a refusal once the rest of the request has been received, or after a
   * short time-out. Closing immediately with unread bytes makes the system reset
   * the connection, and a caller that is still sending would lose the refusal.
   */
  #endAfterRequestBody(): void {
    const { req: request } = this.#response;
    const end = () => {
      clearTimeout(timer);
      this.end();
    };
    const timer = setTimeout(end, LINGER_TIMEOUT_MS);
    request.once("end", end);
    request.once("close", end);
    let bytes = 0;
    request.on("data", (chunk: Uint8Array) => {
      bytes += chunk.length;
      if (bytes > LINGER_BYTES) request.pause();
    });
    request.resume();
  }

  /** Responds with a JSON document. */
  sendJson(body: string): void {
    this.#response.setHeader("content-type", "application/json");
    this.#response.setHeader("content-length", Buffer.byteLength(body));
    if (this.#isShuttingDown()) this.#response.setHeader("connection", "close");
    this.#response.writeHead(200);
    this.#response.end(body);
    this.#startFlushTimeout();
  }

  /** Ends a response whose fiber has ended: refuses or aborts, as its state allows. */
  abandon(problem: Problem): void {
    if (this.#gone !== undefined || this.#response.writableEnded) return;
    if (this.headersSent) this.abort(problem);
    else this.refuse(problem);
  }

  /**
   * Sends the head, after which each chunk is written to the connection in one
   * write. Node would write a chunk's size, bytes and end separately, which costs
   * more than all other work for a token.
   */
  #openStream(): void {
    const response = this.#response;
    if (response.hasHeader("content-length") || response.socket === null) {
      return;
    }
    response.flushHeaders();
    this.#stream = response.socket;
  }

  /** Waits until the write buffer has drained, up to the write time-out. */
  #waitForDrain(
    written: Socket | ServerResponse,
  ): Effect.Effect<void, CallerGone> {
    return Effect.callback<void, CallerGone>((resume) => {
      const response = this.#response;
      const stop = () => {
        clearTimeout(timer);
        written.off("drain", drained);
        response.off("close", closed);
      };
      const drained = () => {
        stop();
        resume(Effect.void);
      };
      const closed = () => {
        stop();
        resume(
          Effect.fail(this.#gone ?? { _tag: "CallerGone", reason: "closed" }),
        );
      };
      const timer = setTimeout(() => {
        this.#gone = { _tag: "CallerGone", reason: "slow" };
        response.destroy();
      }, this.#writeTimeoutMs);
      written.once("drain", drained);
      response.once("close", closed);
      return Effect.sync(stop);
    });
  }

  /** Bounds the flush of a response's end by the write time-out. */
  #startFlushTimeout(): void {
    const response = this.#response;
    if (response.writableFinished || response.closed) return;
    const timer = setTimeout(() => response.destroy(), this.#writeTimeoutMs);
    response.once("close", () => clearTimeout(timer));
  }
}
