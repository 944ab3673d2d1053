/**
 * The caller's side of one request: what it sent and what it is answered.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { endToEndHeaders, headerOf } from "./headers.ts";
import type { RawHeaders } from "./dialect.ts";

/** An answer of this daemon's own. */
export interface Refusal {
  readonly status: number;
  /** Stable name of the reason, listed in docs/codes.md. */
  readonly code: string;
  /** Milliseconds after which another try makes sense; only if not run. */
  readonly retryAfterMs?: number | undefined;
  /** Whether the connection closes behind the answer. */
  readonly close?: boolean;
}

const MS_PER_SECOND = 1_000;
/** The daemon writes the length of a body anew. */
const OWN_ANSWER_HEADERS: ReadonlySet<string> = new Set(["content-length"]);

/**
 * Whether a runner's answer tells where its body ends. One that does not may
 * have been cut off unseen; it goes to the caller without length too, so that
 * the caller knows as much, instead of a length that vouches for a part.
 */
function isFramed(headers: RawHeaders): boolean {
  return headerOf(headers, "content-length") !== undefined ||
    headerOf(headers, "transfer-encoding") !== undefined;
}

/** Answers one request, exactly once. */
export class Caller {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly #leaving: () => boolean;

  /** @param leaving whether connections close behind their answers. */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    leaving: () => boolean,
  ) {
    this.request = request;
    this.response = response;
    this.#leaving = leaving;
  }

  /** Whether the head of an answer is out. */
  get headersSent(): boolean {
    return this.response.headersSent;
  }

  /** Whether the connection is gone. */
  get disconnected(): boolean {
    return this.response.destroyed;
  }

  /** Answers with a refusal, unless an answer is already out. */
  refuse(refusal: Refusal): void {
    if (this.headersSent || this.disconnected) return;
    const body = Buffer.from(JSON.stringify({ error: refusal.code }));
    const headers = ["Content-Type", "application/json"];
    if (refusal.retryAfterMs !== undefined) {
      const seconds = (refusal.retryAfterMs / MS_PER_SECOND).toFixed(2);
      headers.push("Retry-After", seconds);
    }
    this.#head(refusal.status, headers, {
      length: body.length,
      close: refusal.close ?? false,
    });
    this.response.end(body);
  }

  /** Passes on a runner's whole answer. */
  respond(status: number, headers: RawHeaders, body: Buffer): void {
    if (this.headersSent || this.disconnected) return;
    const framed = isFramed(headers);
    this.#head(status, endToEndHeaders(headers, OWN_ANSWER_HEADERS), {
      length: framed ? body.length : undefined,
      close: !framed,
    });
    this.response.write(body);
    this.response.end();
  }

  /** Passes on the head of a runner's stream. */
  beginStream(status: number, headers: RawHeaders): void {
    if (this.headersSent || this.disconnected) return;
    this.#head(status, endToEndHeaders(headers, OWN_ANSWER_HEADERS), {
      length: undefined,
      close: !isFramed(headers),
    });
  }

  /** Ends a stream that is complete. */
  endStream(): void {
    this.response.end();
  }

  /**
   * Ends an answer that cannot be whole, by closing the connection: without the
   * last chunk it does not look complete.
   */
  abort(): void {
    this.response.destroy();
  }

  #head(
    status: number,
    headers: string[],
    options: { readonly length: number | undefined; readonly close: boolean },
  ): void {
    if (options.length !== undefined && status !== 204 && status !== 304) {
      headers.push("Content-Length", String(options.length));
    }
    if (options.close || this.#leaving()) {
      headers.push("Connection", "close");
      this.response.shouldKeepAlive = false;
    }
    if (options.close && options.length === undefined) {
      // Node then writes the body as it is, up to the end of the connection.
      this.response.useChunkedEncodingByDefault = false;
    }
    this.response.writeHead(status, headers);
  }
}
