/**
 * Sends one request to a runner and reads the response.
 *
 * @module
 */
import type * as http from "node:http";
import * as Effect from "effect/Effect";
import type { Runner } from "../process/runner.ts";
import type { RunnerConnections, RunnerRequest } from "./runner_connections.ts";

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** No valid head of a response was received. */
export interface NoResponse {
  readonly _tag: "NoResponse";
  /**
   * Whether bytes of the request may have reached the runner. False only if no
   * connection was established.
   */
  readonly mayHaveArrived: boolean;
  readonly reason: "refused" | "reset" | "silent" | "malformed";
  readonly message: string;
}

/** The response was interrupted before its end. */
export interface ResponseInterrupted {
  readonly _tag: "ResponseInterrupted";
  readonly reason: "reset" | "silent";
}

/** Time-outs until the head of a response, in milliseconds. */
export interface HeadLimits {
  readonly connectMs: number;
  /** From the send to the head. */
  readonly headMs: number;
  readonly afterSend?: Effect.Effect<void>;
}

/** A response whose head has been received; its body is read in chunks. */
export class RunnerResponse {
  readonly message: http.IncomingMessage;
  #wake: (() => void) | undefined;
  #ended = false;
  #failure: ResponseInterrupted["reason"] | undefined;
  #timer: NodeJS.Timeout | undefined;
  #timerMs = 0;
  /** Number of chunks read so far. */
  #reads = 0;

  constructor(response: http.IncomingMessage) {
    this.message = response;
    const wake = () => this.#wake?.();
    response.on("readable", wake);
    response.on("end", () => {
      this.#ended = this.#failure === undefined;
      wake();
    });
    response.on("error", () => this.#interrupt());
    response.on("close", () => {
      if (!this.#ended) this.#failure ??= "reset";
      wake();
    });
  }

  /**
   * Takes note of an error of the request's connection. Node reports the end of a
   * body without a length after it, and no error of the response.
   */
  connectionFailed(): void {
    if (!this.message.complete) this.#interrupt();
  }

  get status(): number {
    return this.message.statusCode ?? 0;
  }

  header(name: string): string | undefined {
    const value = this.message.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /**
   * Returns the next chunk; `undefined` at the end of the response. The
   * idle time-out runs only during this call, so a slow caller is not mistaken
   * for an unresponsive runner.
   */
  next(idleMs: number): Effect.Effect<Buffer | undefined, ResponseInterrupted> {
    return Effect.suspend(() => {
      let chunk: Buffer | undefined;
      const finished = this.forEachChunk(idleMs, (bytes) => {
        chunk = bytes;
        return false;
      });
      return Effect.map(finished, () => chunk);
    });
  }

  /**
   * Passes chunks to a function as they arrive, until it returns false or the
   * end is reached. Nothing but the function runs between two chunks.
   *
   * @returns whether the end was reached.
   */
  forEachChunk(
    idleMs: number,
    onChunk: (bytes: Buffer) => boolean,
  ): Effect.Effect<boolean, ResponseInterrupted> {
    return Effect.callback((resume) => {
      const step = () => {
        const end = this.#drain(onChunk);
        if (end === undefined) return this.#startIdleTimer(idleMs);
        this.#wake = undefined;
        clearTimeout(this.#timer);
        this.#timer = undefined;
        resume(end);
      };
      this.#wake = step;
      step();
      return Effect.sync(() => {
        this.#wake = undefined;
      });
    });
  }

  /** Closes the connection, which the runner sees as a disconnect. */
  destroy(): void {
    clearTimeout(this.#timer);
    this.message.destroy();
  }

  #interrupt(): void {
    this.#failure ??= "reset";
    this.#wake?.();
  }

  /** Passes on the buffered chunks; `undefined` if more must be awaited. */
  #drain(
    onChunk: (bytes: Buffer) => boolean,
  ): Effect.Effect<boolean, ResponseInterrupted> | undefined {
    for (;;) {
      const bytes = this.message.read() as Buffer | null;
      if (bytes === null) break;
      this.#reads += 1;
      if (!onChunk(bytes)) return STOPPED;
    }
    if (this.#ended) return ENDED;
    if (this.#failure === undefined) return undefined;
    return Effect.fail({ _tag: "ResponseInterrupted", reason: this.#failure });
  }

  /** Restarts the response's single idle timer, to avoid a timer for each token. */
  #startIdleTimer(idleMs: number): void {
    if (this.#timer !== undefined && this.#timerMs === idleMs) {
      this.#timer.refresh();
      return;
    }
    clearTimeout(this.#timer);
    this.#timerMs = idleMs;
    this.#timer = setTimeout(() => {
      const reads = this.#reads;
      afterPendingReads(() => {
        // The wait is over, or a chunk has arrived meanwhile.
        if (this.#wake === undefined || this.#reads !== reads) return;
        this.#failure ??= "silent";
        this.message.destroy();
        this.#wake();
      });
    }, idleMs);
  }
}

/**
 * Runs the action of a time-out after pending socket data has been read. After a
 * pause of the process, its timers fire before its sockets are read: responses
 * that had arrived in time would count as timed out, and a request that had
 * succeeded would be reported as unknown. Node reads sockets between timers and
 * immediates, so an immediate is late enough.
 */
function afterPendingReads(action: () => void): void {
  setImmediate(action);
}

/** Whether a status may end a request: HTTP defines 100 to 599, 1xx as interim. */
function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}

const STOPPED: Effect.Effect<boolean> = Effect.succeed(false);
const ENDED: Effect.Effect<boolean> = Effect.succeed(true);

/**
 * Sends a request and waits for the head of its response. Interruption closes
 * the connection.
 *
 * @param limits.afterSend runs once the request's bytes have been passed to the
 * system, before the head is awaited.
 */
export function exchange(
  to: { readonly connections: RunnerConnections; readonly runner: Runner },
  request: RunnerRequest,
  limits: HeadLimits,
): Effect.Effect<RunnerResponse, NoResponse> {
  return Effect.suspend(() => {
    const sent = new SentRequest(
      to.connections.send(to.runner, request),
      limits,
    );
    const { afterSend } = limits;
    const head = afterSend === undefined
      ? sent.head()
      : Effect.andThen(Effect.andThen(sent.flushed(), afterSend), sent.head());
    return Effect.onInterrupt(head, () => Effect.sync(() => sent.abort()));
  });
}

/** A request that has been sent, until the head of its response is received. */
class SentRequest {
  readonly #outgoing: http.ClientRequest;
  #connected = false;
  #end: Effect.Effect<RunnerResponse, NoResponse> | undefined;
  #wake: (() => void) | undefined;
  #timer: NodeJS.Timeout;

  constructor(outgoing: http.ClientRequest, limits: HeadLimits) {
    this.#outgoing = outgoing;
    this.#timer = this.#startTimer(limits.connectMs);
    const connected = () => {
      if (this.#end !== undefined) return;
      this.#connected = true;
      clearTimeout(this.#timer);
      this.#timer = this.#startTimer(limits.headMs);
    };
    outgoing.on("socket", (socket) => {
      if (!socket.connecting) return connected();
      socket.once("connect", connected);
    });
    outgoing.on("response", (response) => {
      const received = new RunnerResponse(response);
      if (this.#end !== undefined) return received.destroy();
      if (!isFinalStatus(received.status)) {
        received.destroy();
        return this.#fail("malformed", `Invalid status ${received.status}`);
      }
      outgoing.on("error", () => received.connectionFailed());
      this.#settle(Effect.succeed(received));
    });
    outgoing.on("error", (error: NodeJS.ErrnoException) => {
      const malformed = error.code?.startsWith("HPE_") === true;
      if (malformed) return this.#fail("malformed", error.message);
      this.#fail(this.#connected ? "reset" : "refused", error.message);
    });
    // A response that upgrades the protocol is closed without an error.
    outgoing.on("close", () => this.#fail("reset", "The connection closed"));
  }

  /** Completes when the request has been passed to the system, or has ended. */
  flushed(): Effect.Effect<void> {
    return Effect.callback((resume) => {
      if (this.#outgoing.writableFinished || this.#end !== undefined) {
        return resume(Effect.void);
      }
      this.#outgoing.once("finish", () => resume(Effect.void));
      this.#wake = () => resume(Effect.void);
    });
  }

  head(): Effect.Effect<RunnerResponse, NoResponse> {
    return Effect.callback((resume) => {
      if (this.#end !== undefined) return resume(this.#end);
      this.#wake = () => {
        if (this.#end !== undefined) resume(this.#end);
      };
    });
  }

  /** Closes the connection; a response that still arrives is discarded. */
  abort(): void {
    this.#end ??= Effect.never;
    clearTimeout(this.#timer);
    this.#outgoing.destroy();
  }

  #settle(end: Effect.Effect<RunnerResponse, NoResponse>): void {
    if (this.#end !== undefined) return;
    this.#end = end;
    clearTimeout(this.#timer);
    this.#wake?.();
  }

  #fail(reason: NoResponse["reason"], message: string): void {
    const mayHaveArrived = this.#connected;
    this.#settle(
      Effect.fail({ _tag: "NoResponse", mayHaveArrived, reason, message }),
    );
  }

  #startTimer(ms: number): NodeJS.Timeout {
    const timer = setTimeout(() => {
      afterPendingReads(() => {
        // A connection that was established meanwhile has its own timer.
        if (this.#timer === timer) this.#timeOut();
      });
    }, ms);
    return timer;
  }

  #timeOut(): void {
    if (this.#end !== undefined) return;
    const what = this.#connected ? "response" : "connection";
    this.#fail("silent", `No ${what} in time`);
    this.#outgoing.destroy();
  }
}
