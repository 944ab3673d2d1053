/**
 * A caller's request after validation, and the way its answer goes back.
 *
 * @module
 */
import type * as Effect from "effect/Effect";
import type { ProblemCode } from "../process/codes.ts";

/** One header line as received; names in lower case. */
export interface Header {
  readonly name: string;
  readonly value: string;
}

/** A validated request of a caller. */
export interface Call {
  /** Made by this daemon; given back as `umbermast-request-id`. */
  readonly requestId: string;
  readonly workspace: string;
  readonly class: string;
  /** Tier of the class when the request arrived; 0 is served first. */
  readonly tier: number;
  readonly service: string;
  /** Absent for a plain service. */
  readonly model?: string;
  readonly method: string;
  /** Path and query sent to the runner. */
  readonly path: string;
  /** End-to-end headers to pass on; no hop-by-hop, credential or own headers. */
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** The caller asked for server-sent events. */
  readonly streamed: boolean;
  readonly repeatable: boolean;
  readonly idempotencyKey?: string;
  readonly promptTokens: number;
  readonly maxTokens?: number;
  readonly prefixDigest?: string;
  /** Epoch milliseconds of arrival. */
  readonly arrivedAt: number;
  /** Epoch milliseconds after which an answer that has not started is of no use. */
  readonly deadline: number;
}

/** The head of an answer. */
export interface ResponseHead {
  readonly status: number;
  /** End-to-end headers only. */
  readonly headers: readonly Header[];
}

/** The caller's connection was lost or did not read within its limit. */
export interface CallerGone {
  readonly _tag: "CallerGone";
  readonly reason: "closed" | "slow";
}

/**
 * The way back to the caller. Order of use: `begin` once, `write` or `push` any
 * number of times, then one of `end` and `breakOff`; or `refuse` alone.
 */
export interface Reply {
  /** Whether the head has been sent. */
  readonly headersSent: boolean;
  writeHead(head: ResponseHead): void;
  /**
   * Writes bytes at once. False when there is no room for more, or the caller
   * has gone: `room` tells which, and must end before more is pushed.
   */
  push(bytes: Uint8Array): boolean;
  /** Ends when the caller's side has room for more. */
  drained(): Effect.Effect<void, CallerGone>;
  /** Writes bytes; the effect ends when the caller's side has room for more. */
  write(bytes: Uint8Array): Effect.Effect<void, CallerGone>;
  /** Ends a whole answer. */
  end(): void;
  /** Ends an answer that is not whole: an error event when streamed, then a broken end. */
  abort(problem: Problem): void;
  /** Answers with an error; only before `begin`. */
  refuse(problem: Problem): void;
}

/** What is known of whether a request ran. */
export type ExecutionOutcome = "not-run" | "failed" | "unknown";

/** An error as the caller is told of it. */
export interface Problem {
  /** HTTP status. */
  readonly status: number;
  /** Stable code, listed in docs/codes.md. */
  readonly code: ProblemCode;
  /** What failed and what is needed. */
  readonly message: string;
  readonly outcome: ExecutionOutcome;
  /** Set with 429 and 503. */
  readonly retryAfterMs?: number;
  /** Place of the fault in the request, such as `body/model`. */
  readonly place?: string;
}

/** How a call ended. */
export type CallResult =
  | { readonly _tag: "Complete"; readonly status: number }
  | { readonly _tag: "CallerLeft"; readonly reason: CallerGone["reason"] }
  | { readonly _tag: "Ended"; readonly problem: Problem };

/** Runs calls: asks for a slot, sends, relays, retries and settles. */
export interface CallRunner {
  /** Runs one call to its end. Interruption means that the caller has left. */
  run(call: Call, reply: Reply): Effect.Effect<CallResult>;
}
