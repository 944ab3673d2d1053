/**
 * Runs calls: acquires a slot, sends the request, relays the response, retries
 * after failures and settles the slot.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import type { RetryBudget } from "../process/retry_budget.ts";
import type { Grant, Refusal, Settlement } from "./ask.ts";
import { Attempt, type AttemptServices } from "./attempt.ts";
import { isPast } from "./attempt_limits.ts";
import type { Call, CallResult, CallRunner, Problem, Reply } from "./call.ts";
import {
  type CallState,
  type Denial,
  nextAsk,
  type SendGuard,
} from "./call_state.ts";
import {
  type AttemptResult,
  leastCertain,
  type Lost,
  type NotRun,
  problemOf,
  problemOfRefusal,
} from "./outcome.ts";
import type { Scheduler } from "./scheduler.ts";
import { settlementOf } from "./settlement.ts";

/** Services that the call runner uses. */
export interface CallServices extends AttemptServices {
  readonly scheduler: Scheduler;
  readonly retryBudget: RetryBudget;
}

/** Whether a call is retried, or the reason why it is not. */
type RetryDecision =
  | "retry"
  | "already_begun"
  | "not_repeatable"
  | "deadline_passed"
  | "attempts_spent"
  | "grants_unused"
  | "budget_spent";

/** Grants of one call that may expire unused before the call fails. */
const MAX_UNUSED_GRANTS = 5;

/**
 * Runs each call in this order: acquire a slot; send; relay; settle the slot;
 * then end the call, or retry at another runner. A call is retried only when
 * the attempt did not run, or when the call is repeatable and nothing has been
 * sent to the caller yet.
 */
export class RetryingCallRunner implements CallRunner {
  readonly #services: CallServices;

  constructor(services: CallServices) {
    this.#services = services;
  }

  run(call: Call, reply: Reply): Effect.Effect<CallResult> {
    return this.runGuarded(call, reply, undefined);
  }

  /**
   * Runs a call whose sends need the guard's permission. Once sent, such a call
   * is not interrupted when its caller disconnects, because the response is
   * stored for a later request with the same key. Must run in an
   * uninterruptible region: otherwise an interruption that arrives during the
   * send would hide how the send ended. Waiting for a slot stays interruptible.
   */
  runGuarded(
    call: Call,
    reply: Reply,
    guard: SendGuard | undefined,
  ): Effect.Effect<CallResult> {
    return Effect.gen({ self: this }, function* () {
      const state = this.#initialState(call, reply, guard);
      for (;;) {
        const step = yield* Effect.result(this.#attemptOnce(state));
        if (step._tag === "Failure") {
          const failure = step.failure;
          if (failure._tag === "Denial") return yield* failure.respond(reply);
          return endWithProblem(state, problemOfFailure(state, failure));
        }
        const result = step.success;
        if (result._tag === "Complete") {
          this.#services.retryBudget.recordSuccess();
          return result;
        }
        if (result._tag === "CallerLeft") return result;
        const verdict = this.#decideRetry(state, result);
        if (verdict !== "retry") {
          const withheld = verdict === "budget_spent";
          const problem = problemOf(result, state.outcome, { withheld });
          return endWithProblem(state, problem);
        }
        state.lastResult = result;
      }
    });
  }

  #initialState(
    call: Call,
    reply: Reply,
    guard: SendGuard | undefined,
  ): CallState {
    const { clock } = this.#services;
    return {
      call,
      reply,
      guard,
      deadlineAt: clock.monotonic() + (call.deadline - clock.now()),
      outcome: "not-run",
      attempts: 0,
      askCount: 0,
      excluded: [],
      lastResult: undefined,
    };
  }

  /** Acquires one slot and makes one attempt in it; always releases the slot. */
  #attemptOnce(
    state: CallState,
  ): Effect.Effect<AttemptResult, Refusal | Denial> {
    const { scheduler, clock, crashPoints } = this.#services;
    return Effect.uninterruptible(
      Effect.gen({ self: this }, function* () {
        const grant = yield* Effect.interruptible(
          scheduler.acquire(nextAsk(state)),
        );
        const { call, reply, deadlineAt, guard } = state;
        const attempt = new Attempt(this.#services, {
          call,
          reply,
          grant,
          number: state.askCount,
          grantExpiresAt: clock.monotonic() + (grant.expiresAt - clock.now()),
          deadlineAt,
        });
        if (guard !== undefined) {
          yield* Effect.onError(
            Effect.interruptible(guard.permit),
            () =>
              Effect.sync(() =>
                grant.release(settlementOf(attempt, undefined))
              ),
          );
        }
        const run = guard === undefined
          ? Effect.interruptible(attempt.run())
          : attempt.run();
        const exit = yield* Effect.exit(run);
        const result = Exit.isSuccess(exit) ? exit.value : undefined;
        if (result?._tag !== "Complete") attempt.abandon();
        const settlement = settlementOf(attempt, result);
        if (crashPoints !== undefined) {
          yield* crashPoints.reached("release.before");
        }
        grant.release(settlement);
        if (crashPoints !== undefined) {
          yield* crashPoints.reached("release.after");
        }
        this.#recordAttempt(state, grant, { result, settlement });
        return yield* exit;
      }),
    );
  }

  /** Records the attempt's result in the call's state and in the log. */
  #recordAttempt(
    state: CallState,
    grant: Grant,
    how: {
      readonly result: AttemptResult | undefined;
      readonly settlement: Settlement;
    },
  ): void {
    const { call } = state;
    const { result, settlement } = how;
    this.#services.log.decision("attempt_ended", {
      requestId: call.requestId,
      attempt: state.askCount,
      runner: grant.runner.name,
      outcome: settlement.outcome,
      code: result !== undefined && "code" in result ? result.code : undefined,
      outputTokens: settlement.outputTokens,
      firstTokenMs: settlement.firstTokenMs,
    });
    if (result?._tag === "Lost") {
      state.outcome = leastCertain(state.outcome, result.outcome);
    }
    if (result?._tag === "NotRun" && result.code === "grant_expired") return;
    state.attempts += 1;
    state.excluded = [...state.excluded, grant.runner.name];
  }

  /** Decides whether a call is retried at another runner, and logs the reason. */
  #decideRetry(state: CallState, result: NotRun | Lost): RetryDecision {
    const verdict = this.#evaluateRetry(state, result);
    this.#services.log.decision("retry_decided", {
      requestId: state.call.requestId,
      verdict,
      cause: result.code,
      attempts: state.attempts,
    });
    return verdict;
  }

  #evaluateRetry(state: CallState, result: NotRun | Lost): RetryDecision {
    const { call, reply } = state;
    const { clock, settings, retryBudget } = this.#services;
    if (reply.headersSent) return "already_begun";
    if (result._tag === "Lost" && !call.repeatable) return "not_repeatable";
    if (isPast(clock.monotonic(), state.deadlineAt)) {
      return "deadline_passed";
    }
    if (state.attempts >= settings.attempts) return "attempts_spent";
    const unused = state.askCount - state.attempts;
    if (unused >= MAX_UNUSED_GRANTS) return "grants_unused";
    if (result.code === "grant_expired") return "retry";
    if (!retryBudget.take()) return "budget_spent";
    return "retry";
  }
}

/**
 * When no other runner is left for a retry, returns the failure of the last
 * attempt, which tells the caller more than the lack of another runner.
 */
function problemOfFailure(state: CallState, refusal: Refusal): Problem {
  const { lastResult, outcome } = state;
  if (lastResult === undefined || refusal.code !== "no_runner") {
    return problemOfRefusal(refusal, outcome);
  }
  return problemOf(lastResult, outcome);
}

/** Aborts the response if its headers have been sent, else sends the problem. */
function endWithProblem(state: CallState, problem: Problem): CallResult {
  const { reply } = state;
  if (reply.headersSent) reply.abort(problem);
  else reply.refuse(problem);
  return { _tag: "Ended", problem };
}
