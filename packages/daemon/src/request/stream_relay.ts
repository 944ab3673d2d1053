/**
 * Relays a streamed response to the caller, in complete events.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { RunnerResponse } from "../connection/runner_response.ts";
import type { Clock } from "@umbermast/coordination";
import { forwardedHead } from "./runner_headers.ts";
import type { AttemptSettings } from "./attempt_settings.ts";
import type { CallerGone, Reply } from "./call.ts";
import { EventScanner } from "./event_scanner.ts";

const DONE_EVENT = new TextEncoder().encode("data: [DONE]\n\n");

/**
 * Time to wait for the end of the response body after `[DONE]`, in milliseconds.
 * The response is complete by then; the wait only allows the connection to be
 * reused.
 */
const TRAILER_TIMEOUT_MS = 250;

/** What has been relayed of a streamed response, resumes included. */
export class StreamProgress {
  /** Number of token events relayed. */
  tokens = 0;
  /** Whether the event with the finish reason was relayed. */
  finished = false;
  /** Times of the first and the last token, in monotonic milliseconds. */
  firstAt: number | undefined;
  lastAt: number | undefined;
  /** The last token event, which carries the usage. */
  lastEvent: Buffer | undefined;
}

/** How the relay of a stream ended. */
export type StreamResult =
  | { readonly _tag: "Complete" }
  | {
    readonly _tag: "Truncated";
    readonly reason:
      | "reset"
      | "silent"
      | "oversized"
      | "engine-error"
      | "no-end-mark";
  };

/** Collaborators and limits of the relay. */
export interface RelayContext {
  readonly reply: Reply;
  readonly settings: AttemptSettings;
  readonly clock: Clock;
  readonly progress: StreamProgress;
  /** Time-out for the first bytes of this response, in milliseconds. */
  readonly firstMs: number;
}

/**
 * Relays a stream to its end. The head is sent to the caller with the first
 * complete event, so that until then the request can be retried at another
 * runner. `[DONE]` is written only after a finish reason and the engine's own
 * `[DONE]` have been received. The caller's response is ended here only when it
 * is complete.
 */
export function relayStream(
  response: RunnerResponse,
  context: RelayContext,
): Effect.Effect<StreamResult, CallerGone> {
  const { reply, settings, progress } = context;
  const scanner = new EventScanner();
  const take = makeChunkHandler(response, scanner, context);
  return Effect.gen(function* () {
    let idleMs = context.firstMs;
    while (!scanner.done) {
      const pumped = yield* Effect.result(response.forEachChunk(idleMs, take));
      if (pumped._tag === "Failure") return truncated(pumped.failure.reason);
      if (scanner.oversized) return truncated("oversized");
      if (scanner.failed) return truncated("engine-error");
      if (pumped.success) return truncated("no-end-mark");
      if (reply.headersSent) idleMs = settings.betweenTokensMs;
      yield* reply.drained();
    }
    if (!progress.finished) return truncated("no-end-mark");
    if (!reply.headersSent) reply.writeHead(forwardedHead(response));
    yield* reply.write(DONE_EVENT);
    reply.end();
    yield* Effect.ignore(response.next(TRAILER_TIMEOUT_MS));
    return { _tag: "Complete" };
  });
}

/**
 * Returns a function that relays the complete events of each chunk. It stops the
 * read loop when the caller's write buffer is full, when the stream has ended,
 * and after the first events, after which another idle time-out applies.
 */
function makeChunkHandler(
  response: RunnerResponse,
  scanner: EventScanner,
  context: RelayContext,
): (chunk: Buffer) => boolean {
  const { reply, clock, progress } = context;
  return (chunk) => {
    const before = scanner.tokens;
    const events = scanner.scan(chunk);
    const shouldContinue = !scanner.done && !scanner.failed &&
      !scanner.oversized;
    if (events.length === 0) return shouldContinue;
    recordTokens(progress, scanner, scanner.tokens - before);
    progress.lastAt = clock.monotonic();
    progress.firstAt ??= progress.lastAt;
    const first = !reply.headersSent;
    if (first) reply.writeHead(forwardedHead(response));
    return reply.push(events) && shouldContinue && !first;
  };
}

function truncated(
  reason: Extract<StreamResult, { readonly _tag: "Truncated" }>["reason"],
): StreamResult {
  return { _tag: "Truncated", reason };
}

function recordTokens(
  progress: StreamProgress,
  scanner: EventScanner,
  tokens: number,
): void {
  if (tokens === 0) return;
  progress.tokens += tokens;
  progress.finished ||= scanner.finished;
  progress.lastEvent = scanner.lastEvent;
}
