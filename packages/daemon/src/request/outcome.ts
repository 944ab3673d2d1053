/**
 * Results of attempts, and the problems that callers get for them.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Refusal } from "./ask.ts";
import type { CallerGone, ExecutionOutcome, Problem } from "./call.ts";

/** The result of one attempt. */
export type AttemptResult =
  | { readonly _tag: "Complete"; readonly status: number }
  | { readonly _tag: "CallerLeft"; readonly reason: CallerGone["reason"] }
  | NotRun
  | Lost;

/** The attempt did not run: nothing was sent, or the runner refused to start. */
export interface NotRun {
  readonly _tag: "NotRun";
  readonly code: "runner_unreachable" | "runner_refused" | "grant_expired";
  readonly message: string;
  readonly retryAfterMs?: number;
}

/** The attempt may have run, and its response is missing or incomplete. */
export interface Lost {
  readonly _tag: "Lost";
  /** `failed`: the runner had started its response; `unknown`: it sent nothing. */
  readonly outcome: "failed" | "unknown";
  readonly code:
    | "runner_failed"
    | "runner_silent"
    | "answer_lost"
    | "answer_broken"
    | "answer_crossed"
    | "deadline_passed";
  readonly message: string;
  /** Whether the stream may be resumed at the same runner on a new connection. */
  readonly resumable: boolean;
}

/** HTTP status of each code. */
const STATUS_OF = {
  runner_unreachable: 503,
  runner_refused: 503,
  grant_expired: 503,
  runner_failed: 502,
  answer_lost: 502,
  answer_broken: 502,
  answer_crossed: 502,
  runner_silent: 504,
  deadline_passed: 504,
} as const;

const MS_PER_SECOND = 1_000;

/** Retry delay suggested when the runner gives none, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Builds the problem for a request that ended with the given attempt.
 *
 * @param before the outcome of earlier attempts, which stands when this attempt
 * did not run.
 * @param options.withheld whether a retry was possible but not made, in which
 * case the caller is told when to retry.
 */
export function problemOf(
  end: NotRun | Lost,
  before: ExecutionOutcome,
  options: { readonly withheld?: boolean } = {},
): Problem {
  const status = STATUS_OF[end.code];
  const problem = { status, code: end.code, message: end.message };
  if (end._tag === "NotRun") {
    const retryAfterMs = end.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    return { ...problem, outcome: before, retryAfterMs };
  }
  const outcome = leastCertain(before, end.outcome);
  if (options.withheld !== true) return { ...problem, outcome };
  return { ...problem, outcome, retryAfterMs: DEFAULT_RETRY_AFTER_MS };
}

/** HTTP status of each refusal of a slot. */
const STATUS_OF_REFUSAL = {
  queue_full: 503,
  limit_reached: 429,
  deadline_passed: 503,
  no_runner: 503,
  leaving: 503,
} as const;

/** Builds the problem for a request that was refused a slot. */
export function problemOfRefusal(
  refusal: Refusal,
  before: ExecutionOutcome,
): Problem {
  return {
    status: STATUS_OF_REFUSAL[refusal.code],
    code: refusal.code,
    message: refusal.message,
    outcome: before,
    retryAfterMs: refusal.retryAfterMs,
  };
}

/** Returns the less certain outcome: `unknown`, then `failed`, then `not-run`. */
export function leastCertain(
  a: ExecutionOutcome,
  b: ExecutionOutcome,
): ExecutionOutcome {
  if (a === "unknown" || b === "unknown") return "unknown";
  if (a === "failed" || b === "failed") return "failed";
  return "not-run";
}

/** Builds the result of an attempt that did not run, so it may be retried. */
export function notRun(code: NotRun["code"], message: string): NotRun {
  return { _tag: "NotRun", code, message };
}

/**
 * Builds the result of an attempt that the runner refused to start.
 *
 * @param retryAfter the runner's `retry-after` header, in seconds.
 */
export function refused(retryAfter: string | undefined): NotRun {
  const end = notRun("runner_refused", "The runner refused to start");
  const seconds = Number(retryAfter);
  if (!Number.isFinite(seconds) || seconds <= 0) return end;
  return { ...end, retryAfterMs: seconds * MS_PER_SECOND };
}

const LOST_MESSAGES: Readonly<Record<Lost["code"], string>> = {
  runner_failed: "The runner failed while it worked on the request",
  runner_silent: "The runner stopped answering",
  answer_lost: "The connection broke before an answer came",
  answer_broken: "The answer broke off before its end",
  answer_crossed: "The answer received belongs to another attempt",
  deadline_passed: "The deadline passed before an answer began",
};

/** Builds the result of an attempt that may have run, with its code's message. */
export function lost(
  code: Lost["code"],
  more: Pick<Lost, "outcome" | "resumable">,
): Lost {
  return { _tag: "Lost", code, message: LOST_MESSAGES[code], ...more };
}

/** Converts a disconnect of the caller from an error to a result. */
export function catchDisconnect(
  relay: Effect.Effect<AttemptResult, CallerGone>,
): Effect.Effect<AttemptResult> {
  return Effect.catch(
    relay,
    (gone) =>
      Effect.succeed<AttemptResult>({
        _tag: "CallerLeft",
        reason: gone.reason,
      }),
  );
}
