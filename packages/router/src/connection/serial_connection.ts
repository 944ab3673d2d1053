/**
 * Reads a connection's requests one after the other.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { TurnQueue } from "../process/turn_queue.ts";
import type { PooledConnection } from "./connection_pool.ts";

/** The bytes at which a head, a chunked body and its trailers end. */
const END = "\r\n\r\n";
/** Time in ms after which parsing stops until other connections have had their turn. */
const TURN_MS = 1;
/** Most bytes that are parsed at once of what may hold many chunks. */
const SLICE_BYTES = 4 * 1024;
/**
 * Bytes of further requests from which on the connection is not read. Below, it is,
 * because only reading shows that the client has left.
 */
const MAX_WAITING_BYTES = 16 * 1024;

/** Time in ms without a byte after which the body of a request is stalled. */
const STALL_MS = 1_000;

/** Time in ms for which what was sent ahead is read behind the last response. */
const LINGER_MS = 1_000;
/** Most bytes that are read there. */
const MAX_LINGER_BYTES = 1024 * 1024;

/** Parses bytes of a connection; the HTTP server's own listener. */
export type Parse = (bytes: Buffer) => void;

/**
 * One connection whose next request is parsed when the response to one before it has
 * been sent. Node would parse all that it reads, and begin each request at once:
 * one read of 64 KB may hold 2,500 requests, each of which costs kilobytes.
 *
 * Bytes are given to the parser up to the end of one head or body, so that no more
 * than one request begins at a time. Those of further requests wait, and the
 * connection is not read while there are many.
 */
export class SerialConnection implements PooledConnection {
  readonly #socket: Socket;
  readonly #parse: Parse;
  readonly #maxOpen: number;
  readonly #turns: TurnQueue;
  readonly #onHeld: () => void;
  /** Bytes that have not been parsed. */
  #waiting: Buffer | undefined;
  /** Last bytes of a head or body whose end has not come; they may begin it. */
  #tail = "";
  /** Bytes that have been parsed of a head that is not complete. */
  #headBytes = 0;
  /** Bytes to come of a body whose length is stated. */
  #bodyBytes = 0;
  /** The request that has begun last, and its response. */
  #request: IncomingMessage | undefined;
  #response: ServerResponse | undefined;
  /** Number of requests whose responses have not been sent. */
  #open = 0;
  #scheduled = false;
  #stopped = false;
  /** Monotonic time in ms of the last bytes or the last response. */
  #activeAt = performance.now();

  constructor(socket: Socket, options: {
    /** The listener that the HTTP server has set for the bytes. */
    readonly parse: Parse;
    /** Number of requests that may be open at a time. */
    readonly maxOpen: number;
    /** Turns of all connections. */
    readonly turns: TurnQueue;
    /** Called when what the connection holds may have changed. */
    readonly onHeld: () => void;
  }) {
    const { parse, maxOpen, turns, onHeld } = options;
    this.#socket = socket;
    this.#parse = parse;
    this.#maxOpen = maxOpen;
    this.#turns = turns;
    this.#onHeld = onHeld;
    // Called by Node behind a last response.
    const destroySoon = socket.destroySoon.bind(socket);
    socket.destroySoon = () =>
      this.#hasSentAhead ? this.#linger() : destroySoon();
    socket.off("data", parse);
    socket.on("data", (bytes: Buffer) => this.#receive(bytes));
    socket.on("resume", () => this.#resumed());
    socket.once("close", () => {
      this.#waiting = undefined;
      this.#headBytes = 0;
    });
  }

  /** Bytes of requests that have not begun. */
  get heldBytes(): number {
    if (this.#socket.destroyed) return 0;
    const unparsed = (this.#waiting?.length ?? 0) + this.#socket.readableLength;
    return unparsed + this.#headBytes;
  }

  /** Whether a request is open or has begun to arrive, and its body is not stalled. */
  get isBusy(): boolean {
    const isStalled = this.#request?.complete === false &&
      performance.now() - this.#activeAt > STALL_MS;
    if (isStalled) return false;
    return this.#open > 0 || this.heldBytes > 0;
  }

  /** Monotonic time in ms since which an idle connection is idle. */
  get activeAt(): number {
    return this.#activeAt;
  }

  /**
   * Begins a request.
   *
   * @returns false if too many are open; the connection is then closed, because its
   * requests cannot be told apart.
   */
  begin(request: IncomingMessage, response: ServerResponse): boolean {
    if (this.#open >= this.#maxOpen) {
      this.#socket.destroy();
      return false;
    }
    this.#request = request;
    this.#response = response;
    this.#open += 1;
    this.#headBytes = 0;
    this.#bodyBytes = Number(request.headers["content-length"] ?? 0);
    response.once("close", () => this.#responded());
    return true;
  }

  /** Parses no more, because the connection is no longer one of HTTP. */
  stop(): void {
    this.#stopped = true;
    this.#waiting = undefined;
  }

  close(): void {
    this.#socket.destroy();
  }

  /** Whether the caller has sent more than the requests that have begun. */
  get #hasSentAhead(): boolean {
    return this.#waiting !== undefined && this.#request?.complete !== false;
  }

  /**
   * Closes the connection once the caller has, or after some time. The system resets a
   * connection that is closed with bytes unread, and discards the end of the response
   * (RFC 9112, section 9.6).
   */
  #linger(): void {
    this.stop();
    let left = MAX_LINGER_BYTES;
    this.#socket.on("data", ({ length }: Buffer) => {
      left -= length;
      if (left < 0) this.#socket.destroy();
    });
    this.#socket.end();
    this.#socket.resume();
    const timer = setTimeout(() => this.#socket.destroy(), LINGER_MS);
    this.#socket.once("close", () => clearTimeout(timer));
  }

  #responded(): void {
    this.#open -= 1;
    this.#activeAt = performance.now();
    if (this.#open === 0 && this.#request?.complete === true) {
      this.#request = undefined;
      this.#response = undefined;
    }
    this.#schedule();
  }

  #receive(bytes: Buffer): void {
    if (this.#stopped) return;
    this.#activeAt = performance.now();
    this.#waiting = this.#waiting === undefined
      ? bytes
      : Buffer.concat([this.#waiting, bytes]);
    // Bytes that wait for their turn are parsed in it, not ahead of it.
    if (this.#scheduled) this.#regulate();
    else this.#parseTurn();
  }

  #parseTurn(): void {
    const startedAt = performance.now();
    while (this.#waiting !== undefined && !this.#mustWait) {
      if (performance.now() - startedAt > TURN_MS) {
        this.#schedule();
        break;
      }
      this.#parseNext(this.#waiting);
    }
    this.#onHeld();
    this.#regulate();
  }

  /** Parses bytes up to the end of a head or body. */
  #parseNext(waiting: Buffer): void {
    const end = this.#bodyBytes > 0
      ? this.#bodyBytes
      : Math.min(SLICE_BYTES, this.#endOf(waiting) ?? waiting.length);
    const length = Math.min(end, waiting.length);
    this.#waiting = length === waiting.length
      ? undefined
      : waiting.subarray(length);
    const bytes = waiting.subarray(0, length);
    if (this.#bodyBytes > 0) this.#bodyBytes -= length;
    else this.#noteHead(bytes);
    this.#parse(bytes);
  }

  /** Returns the bytes up to the next end, which may have begun before them. */
  #endOf(bytes: Buffer): number | undefined {
    for (
      let known = Math.min(this.#tail.length, END.length - 1);
      known > 0;
      known--
    ) {
      const rest = END.slice(known);
      const matches = this.#tail.endsWith(END.slice(0, known)) &&
        bytes.toString("latin1", 0, rest.length) === rest;
      if (matches) return rest.length;
    }
    const at = bytes.indexOf(END);
    return at === -1 ? undefined : at + END.length;
  }

  #noteHead(bytes: Buffer): void {
    const tail = this.#tail +
      bytes.toString("latin1", bytes.length - END.length);
    this.#tail = tail.endsWith(END) ? "" : tail.slice(1 - END.length);
    // The bytes of a chunked body are no head.
    if (this.#request?.complete !== false) this.#headBytes += bytes.length;
  }

  /** Whether the next bytes belong to a request whose turn has not come. */
  get #mustWait(): boolean {
    // After an error or a last response, the parser may serve another connection.
    if (this.#stopped || !this.#socket.writable || this.#isClosing) return true;
    if (this.#request?.complete === false) return this.#isFull;
    return this.#open >= this.#maxOpen;
  }

  /** Whether the connection closes after a response that is complete. */
  get #isClosing(): boolean {
    const response = this.#response;
    return response?.writableEnded === true && !response.shouldKeepAlive;
  }

  #schedule(): void {
    if (this.#scheduled || this.#waiting === undefined) return;
    this.#scheduled = true;
    this.#turns.add(() => {
      this.#scheduled = false;
      this.#parseTurn();
    });
  }

  /**
   * Reads on when all bytes are parsed. While a request has to wait, few bytes are
   * read ahead of it.
   */
  #regulate(): void {
    if (this.#socket.destroyed) return;
    if (!this.#mayRead) return void this.#socket.pause();
    if (this.#socket.isPaused() && !this.#isFull) this.#socket.resume();
  }

  get #mayRead(): boolean {
    if (this.#waiting === undefined) return true;
    return this.#mustWait && this.#waiting.length < MAX_WAITING_BYTES;
  }

  /** Whether the body that arrives is not consumed; Node reads on when it is. */
  get #isFull(): boolean {
    const request = this.#request;
    if (request === undefined || request.complete) return false;
    return request.readableLength >= request.readableHighWaterMark;
  }

  /** Node reads on when a body is consumed; bytes that wait come first. */
  #resumed(): void {
    if (this.#waiting === undefined) return;
    if (!this.#mayRead) this.#socket.pause();
    this.#schedule();
  }
}
