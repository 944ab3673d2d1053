/**
 * The caller's side of one request: the request as received and the response.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { endToEndHeaders, isFramed } from "./headers.ts";
import type { RawHeaders } from "./dialect.ts";
import { outcomeName } from "./outcome.ts";
import type { Outcome } from "./outcome.ts";
import type { Refusal } from "./refusal.ts";
import { StreamBody } from "./stream_body.ts";

const MS_PER_SECOND = 1_000;
/**
 * Headers not relayed from a runner's response; the daemon sets the length of
 * the body itself.
 */
const RECOMPUTED_HEADERS: ReadonlySet<string> = new Set(["content-length"]);
/**
 * Size in bytes up to which a body without a length is written without chunks, too. The
 * operating system takes it at once, so that the end of this process cannot cut it.
 */
const MAX_UNFRAMED_BYTES = 16 * 1024;

/**
 * Responds to one request, exactly once.
 *
 * A response that is relayed as it arrives begins with {@linkcode beginStream}.
 * Whatever becomes of the request, its response ends with {@linkcode end}.
 */
export class Caller {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly #closesConnections: () => boolean;
  #wasCutOff = false;
  /** Whether the head of the response states the length of its body. */
  #statesLength = false;

  /**
   * @param closesConnections whether connections close after their responses.
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    closesConnections: () => boolean,
  ) {
    this.request = request;
    this.response = response;
    this.#closesConnections = closesConnections;
  }

  get headersSent(): boolean {
    return this.response.headersSent;
  }

  /** Whether the connection is closed. */
  get disconnected(): boolean {
    return this.response.destroyed;
  }

  /**
   * Ends the response as the outcome says, or aborts it where that cannot be done.
   *
   * @returns the outcome for the caller.
   */
  end(determined: Outcome): Outcome {
    const outcome = this.#feasible(determined);
    switch (outcome.kind) {
      case "answered":
        outcome.send();
        break;
      case "streamed":
        outcome.end();
        break;
      case "refused":
        this.refuse(outcome.refusal);
        break;
      case "broken":
      case "left":
        if (!this.response.writableEnded) this.abort();
    }
    return outcome;
  }

  /** Sends a refusal, unless a response has already begun. */
  refuse(refusal: Refusal): void {
    if (this.headersSent || this.disconnected) return;
    const body = Buffer.from(JSON.stringify({ error: refusal.code }));
    const headers = ["Content-Type", "application/json"];
    if (refusal.retryAfterMs !== undefined) {
      const seconds = (refusal.retryAfterMs / MS_PER_SECOND).toFixed(2);
      headers.push("Retry-After", seconds);
    }
    this.#writeHead(refusal.status, headers, {
      length: body.length,
      close: refusal.close ?? false,
    });
    this.response.end(body);
  }

  /** Ends the response after an error of this daemon; the request may have run. */
  fail(): void {
    const refusal = { status: 502, code: "internal", close: true };
    this.end({ kind: "refused", refusal });
  }

  /**
   * Relays a runner's complete response. One without a length may have been truncated
   * without notice, and is relayed without a length, too; a long one in chunks, because
   * the end of this daemon would otherwise look like that of the response.
   */
  respond(status: number, headers: RawHeaders, body: {
    readonly chunks: readonly Buffer[];
    /** Called with the number of bytes that wait for the caller. */
    readonly onUnread?: ((bytes: number) => void) | undefined;
  }): void {
    if (this.headersSent || this.disconnected) return;
    const { chunks, onUnread } = body;
    const framed = isFramed(headers);
    const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
    this.#writeHead(status, endToEndHeaders(headers, RECOMPUTED_HEADERS), {
      length: framed ? length : undefined,
      close: !framed && length <= MAX_UNFRAMED_BYTES,
    });
    new StreamBody(this.response, onUnread).end(chunks);
  }

  /**
   * Relays the head of a runner's stream. It is relayed in chunks also where the runner
   * sends it without a length: the end of this daemon would otherwise look like that of
   * the stream.
   */
  beginStream(status: number, headers: RawHeaders): void {
    if (this.headersSent || this.disconnected) return;
    this.#writeHead(status, endToEndHeaders(headers, RECOMPUTED_HEADERS), {
      length: undefined,
      close: false,
    });
  }

  /**
   * Aborts a response that cannot be completed, by closing the connection: without
   * the last chunk it does not appear complete. One without a length ends with its
   * connection, which is reset.
   */
  abort(): void {
    if (this.disconnected) return;
    if (this.#endsWithConnection) this.request.socket.resetAndDestroy();
    // At once: a reset would wait until the caller has read what was written.
    this.response.destroy();
  }

  /**
   * Ends a response that has begun, for which there is no room. The connection is
   * reset, so that a response without a length does not appear complete and the
   * operating system discards what it holds for the connection.
   */
  cutOff(): void {
    this.#wasCutOff = true;
    if (!this.headersSent) return;
    this.request.socket.resetAndDestroy();
    this.response.destroy();
  }

  /** A stream that has begun can only be completed or broken off. */
  #feasible(outcome: Outcome): Outcome {
    if (this.disconnected) {
      return this.#wasCutOff
        ? { kind: "broken", reason: "answer cut" }
        : { kind: "left" };
    }
    const replaces = outcome.kind === "answered" || outcome.kind === "refused";
    if (!replaces || !this.headersSent) return outcome;
    return { kind: "broken", reason: outcomeName(outcome) };
  }

  /** Whether the body of the response has no other end than its connection's. */
  get #endsWithConnection(): boolean {
    return this.headersSent && !this.#statesLength &&
      !this.response.chunkedEncoding;
  }

  #writeHead(
    status: number,
    headers: string[],
    options: { readonly length: number | undefined; readonly close: boolean },
  ): void {
    if (options.length !== undefined && status !== 204 && status !== 304) {
      headers.push("Content-Length", String(options.length));
      this.#statesLength = true;
    }
    if (options.close || this.#closesConnections()) {
      headers.push("Connection", "close");
      this.response.shouldKeepAlive = false;
    }
    if (options.close && options.length === undefined) {
      // Node then writes the body unframed, up to the end of the connection.
      this.response.useChunkedEncodingByDefault = false;
    }
    this.response.writeHead(status, headers);
  }
}
