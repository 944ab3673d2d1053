/**
 * Passes a streamed answer on to the caller, whole events at a time.
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
 * How long the end of the connection is awaited after `[DONE]`, in
 * milliseconds. The answer is whole by then; the wait only lets the connection
 * be used again.
 */
const TRAILER_TIMEOUT_MS = 250;

/** What the caller has of a streamed answer, over all attempts. */
export class StreamProgress {
  /** Token events delivered. */
  tokens = 0;
  /** The event with the finish reason was delivered. */
  finished = false;
  /** Monotonic milliseconds of the first and the last token. */
  firstAt: number | undefined;
  lastAt: number | undefined;
  /** The last token event, which carries the usage. */
  lastEvent: Buffer | undefined;
}

/** How a stream's relay ended. */
export type StreamResult =
  | { readonly _tag: "Whole" }
  | {
    readonly _tag: "Cut";
    readonly reason:
      | "reset"
      | "silent"
      | "oversized"
      | "engine-error"
      | "no-end-mark";
  };

/** What a relay needs besides the answer. */
export interface RelayContext {
  readonly reply: Reply;
  readonly settings: AttemptSettings;
  readonly clock: Clock;
  readonly progress: StreamProgress;
  /** Longest wait for the first bytes of this answer, in milliseconds. */
  readonly firstMs: number;
}

/**
 * Relays until the answer's end. The caller's answer begins with the first
 * whole event, so that until then another runner may still answer; `[DONE]` is
 * written only once a finish reason and the engine's own `[DONE]` have come.
 * The caller's answer is ended here only when it is whole.
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
    return { _tag: "Whole" };
  });
}

/**
 * Passes the whole events of a piece on. Stops the pump when the caller's side
 * is full, when the stream is over, and after the first events, from which on
 * another limit of silence holds.
 */
function makeChunkHandler(
  response: RunnerResponse,
  scanner: EventScanner,
  context: RelayContext,
): (piece: Buffer) => boolean {
  const { reply, clock, progress } = context;
  return (piece) => {
    const before = scanner.tokens;
    const events = scanner.push(piece);
    const goesOn = !scanner.done && !scanner.failed && !scanner.oversized;
    if (events.length === 0) return goesOn;
    recordTokens(progress, scanner, scanner.tokens - before);
    progress.lastAt = clock.monotonic();
    progress.firstAt ??= progress.lastAt;
    const first = !reply.headersSent;
    if (first) reply.writeHead(forwardedHead(response));
    return reply.push(events) && goesOn && !first;
  };
}

function truncated(
  reason: Extract<StreamResult, { readonly _tag: "Cut" }>["reason"],
): StreamResult {
  return { _tag: "Cut", reason };
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
