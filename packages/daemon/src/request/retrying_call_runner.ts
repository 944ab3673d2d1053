/**
 * Runs calls: asks for a slot, sends, relays, retries and settles.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import type { RetryBudget } from "../process/retry_budget.ts";
import type { Grant, Refusal, Settlement } from "./ask.ts";
import { Attempt, type AttemptServices } from "./attempt.ts";
import { isPast } from "./attempt_limits.ts";
import type { Call, CallRunner, Ending, Problem, Reply } from "./call.ts";
import { askOf, type CallTerms, type Denial, type Journey } from "./journey.ts";
import {
  type AttemptEnd,
  type Lost,
  type NotRun,
  problemOf,
  problemOfRefusal,
  worse,
} from "./outcome.ts";
import type { Scheduler } from "./scheduler.ts";
import { settlementOf } from "./settlement.ts";

/** What the runner of calls needs of the daemon. */
export interface CallServices extends AttemptServices {
  readonly scheduler: Scheduler;
  readonly budget: RetryBudget;
}

/** Why a call starts again, or does not. */
type RetryVerdict =
  | "retry"
  | "already_begun"
  | "not_repeatable"
  | "deadline_passed"
  | "attempts_spent"
  | "grants_unused"
  | "budget_spent";

/** Slots that may pass unused before a call is given up. */
const MAX_UNUSED_GRANTS = 5;

/**
 * Runs each call in this order: acquire a slot; send; relay; settle the slot;
 * then end, or start again at another runner. A call is tried again only when
 * the attempt did not run, or when it is repeatable and the caller was given
 * nothing yet.
 */
export class RetryingCallRunner implements CallRunner {
  readonly #services: CallServices;

  constructor(services: CallServices) {
    this.#services = services;
  }

  run(call: Call, reply: Reply): Effect.Effect<Ending> {
    return this.runUnder(call, reply, undefined);
  }

  /**
   * Runs a call under terms. Once sent, such a call is not interrupted when its
   * caller leaves: the answer is wanted all the same. To be run in an
   * uninterruptible region, so that an interruption that waits for the send's
   * end does not hide how it ended; waiting for a slot stays interruptible.
   */
  runUnder(
    call: Call,
    reply: Reply,
    terms: CallTerms | undefined,
  ): Effect.Effect<Ending> {
    return Effect.gen({ self: this }, function* () {
      const journey = this.#start(call, reply, terms);
      for (;;) {
        const step = yield* Effect.result(this.#tryOnce(journey));
        if (step._tag === "Failure") {
          const failure = step.failure;
          if (failure._tag === "Denial") return yield* failure.answer(reply);
          return refuse(journey, problemAfter(journey, failure));
        }
        const end = step.success;
        if (end._tag === "Complete") {
          this.#services.budget.recordSuccess();
          return end;
        }
        if (end._tag === "CallerLeft") return end;
        const verdict = this.#retryVerdict(journey, end);
        if (verdict !== "retry") {
          const withheld = verdict === "budget_spent";
          const problem = problemOf(end, journey.standing, { withheld });
          return refuse(journey, problem);
        }
        journey.last = end;
      }
    });
  }

  #start(
    call: Call,
    reply: Reply,
    terms: CallTerms | undefined,
  ): Journey {
    const { clock } = this.#services;
    return {
      call,
      reply,
      terms,
      deadlineAt: clock.monotonic() + (call.deadline - clock.now()),
      standing: "not-run",
      attempts: 0,
      asks: 0,
      excluded: [],
      last: undefined,
    };
  }

  /** One slot and one attempt in it; the slot is given back in every case. */
  #tryOnce(journey: Journey): Effect.Effect<AttemptEnd, Refusal | Denial> {
    const { scheduler, clock, crashPoints } = this.#services;
    return Effect.uninterruptible(
      Effect.gen({ self: this }, function* () {
        const grant = yield* Effect.interruptible(
          scheduler.acquire(askOf(journey)),
        );
        const { call, reply, deadlineAt, terms } = journey;
        const attempt = new Attempt(this.#services, {
          call,
          reply,
          grant,
          number: journey.asks,
          grantUntil: clock.monotonic() + (grant.expiresAt - clock.now()),
          deadlineAt,
        });
        if (terms !== undefined) {
          yield* Effect.onError(
            Effect.interruptible(terms.permit),
            () =>
              Effect.sync(() =>
                grant.release(settlementOf(attempt, undefined))
              ),
          );
        }
        const run = terms === undefined
          ? Effect.interruptible(attempt.run())
          : attempt.run();
        const exit = yield* Effect.exit(run);
        const end = Exit.isSuccess(exit) ? exit.value : undefined;
        if (end?._tag !== "Complete") attempt.abandon();
        const settlement = settlementOf(attempt, end);
        if (crashPoints !== undefined) {
          yield* crashPoints.reached("release.before");
        }
        grant.release(settlement);
        if (crashPoints !== undefined) {
          yield* crashPoints.reached("release.after");
        }
        this.#note(journey, grant, { end, settlement });
        return yield* exit;
      }),
    );
  }

  /** Records the attempt's end in the journey and in the log. */
  #note(
    journey: Journey,
    grant: Grant,
    how: {
      readonly end: AttemptEnd | undefined;
      readonly settlement: Settlement;
    },
  ): void {
    const { call } = journey;
    const { end, settlement } = how;
    this.#services.log.decision("attempt_ended", {
      requestId: call.requestId,
      attempt: journey.asks,
      runner: grant.runner.name,
      outcome: settlement.outcome,
      code: end !== undefined && "code" in end ? end.code : undefined,
      outputTokens: settlement.outputTokens,
      firstTokenMs: settlement.firstTokenMs,
    });
    if (end?._tag === "Lost") {
      journey.standing = worse(journey.standing, end.standing);
    }
    if (end?._tag === "NotRun" && end.code === "grant_expired") return;
    journey.attempts += 1;
    journey.excluded = [...journey.excluded, grant.runner.name];
  }

  /** Decides whether a call starts again elsewhere, and logs why. */
  #retryVerdict(journey: Journey, end: NotRun | Lost): RetryVerdict {
    const verdict = this.#judge(journey, end);
    this.#services.log.decision("retry_decided", {
      requestId: journey.call.requestId,
      verdict,
      cause: end.code,
      attempts: journey.attempts,
    });
    return verdict;
  }

  #judge(journey: Journey, end: NotRun | Lost): RetryVerdict {
    const { call, reply } = journey;
    const { clock, settings, budget } = this.#services;
    if (reply.begun) return "already_begun";
    if (end._tag === "Lost" && !call.repeatable) return "not_repeatable";
    if (isPast(clock.monotonic(), journey.deadlineAt)) {
      return "deadline_passed";
    }
    if (journey.attempts >= settings.attempts) return "attempts_spent";
    const unused = journey.asks - journey.attempts;
    if (unused >= MAX_UNUSED_GRANTS) return "grants_unused";
    if (end.code === "grant_expired") return "retry";
    if (!budget.take()) return "budget_spent";
    return "retry";
  }
}

/**
 * When no other runner is left for a retry, the failure of the attempt says
 * more to the caller than the lack of another runner.
 */
function problemAfter(journey: Journey, refusal: Refusal): Problem {
  const { last, standing } = journey;
  if (last === undefined || refusal.code !== "no_runner") {
    return problemOfRefusal(refusal, standing);
  }
  return problemOf(last, standing);
}

/** Ends the caller's answer in the only way that is still open. */
function refuse(journey: Journey, problem: Problem): Ending {
  const { reply } = journey;
  if (reply.begun) reply.breakOff(problem);
  else reply.refuse(problem);
  return { _tag: "Ended", problem };
}
