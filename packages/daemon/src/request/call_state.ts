/**
 * The state of a call across its attempts.
 *
 * @module
 */
import type * as Effect from "effect/Effect";
import type { Ask } from "./ask.ts";
import type { Call, CallResult, ExecutionOutcome, Reply } from "./call.ts";
import type { Lost, NotRun } from "./outcome.ts";

/** A call that may not be sent, with the response that its caller gets instead. */
export interface Denial {
  readonly _tag: "Denial";
  respond(reply: Reply): Effect.Effect<CallResult>;
}

/** Decides whether a call may be sent. */
export interface SendGuard {
  /** Evaluated immediately before each send, while a slot is held. */
  readonly permit: Effect.Effect<void, Denial>;
}

/** Mutable state of a call that is kept between its attempts. */
export interface CallState {
  readonly call: Call;
  readonly reply: Reply;
  readonly guard: SendGuard | undefined;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  outcome: ExecutionOutcome;
  /** Attempts that may have reached a runner or were refused by it. */
  attempts: number;
  /** Slots requested so far. */
  askCount: number;
  excluded: readonly string[];
  /** Result of the previous attempt; `undefined` before the first retry. */
  lastResult: NotRun | Lost | undefined;
}

/** Builds the next ask of the call, with its own id, and counts it. */
export function nextAsk(state: CallState): Ask {
  const { call } = state;
  state.askCount += 1;
  return {
    askId: `${call.requestId}.${state.askCount}`,
    requestId: call.requestId,
    service: call.service,
    workspace: call.workspace,
    class: call.class,
    promptTokens: call.promptTokens,
    deadline: call.deadline,
    excluded: state.excluded,
    ...(call.model !== undefined && { model: call.model }),
    ...(call.maxTokens !== undefined && { maxTokens: call.maxTokens }),
    ...(call.prefixDigest !== undefined && { prefixDigest: call.prefixDigest }),
  };
}
