/**
 * A call's way through its attempts.
 *
 * @module
 */
import type * as Effect from "effect/Effect";
import type { Ask } from "./ask.ts";
import type { Call, CallResult, ExecutionOutcome, Reply } from "./call.ts";
import type { Lost, NotRun } from "./outcome.ts";

/** Why a call may not be sent, and the answer that its caller gets instead. */
export interface Denial {
  readonly _tag: "Denial";
  respond(reply: Reply): Effect.Effect<CallResult>;
}

/** Conditions of one call beyond those of all calls. */
export interface SendGuard {
  /** Asked while a slot is held, right before each send. */
  readonly permit: Effect.Effect<void, Denial>;
}

/** What is known of a call between its attempts. */
export interface CallState {
  readonly call: Call;
  readonly reply: Reply;
  readonly guard: SendGuard | undefined;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  outcome: ExecutionOutcome;
  /** Attempts that may have reached a runner, or were refused by one. */
  attempts: number;
  /** Slots asked for. */
  askCount: number;
  excluded: readonly string[];
  /** End of the attempt before, when it was not the call's end. */
  last: NotRun | Lost | undefined;
}

/** Counts a further ask of the call, and gives it an id of its own. */
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
