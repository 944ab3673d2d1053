/**
 * How long the head of an answer is awaited.
 *
 * @module
 */
import type { CrashPoints } from "@umbermast/coordination";
import type { HeadLimits } from "../connection/runner_response.ts";
import type { AttemptSettings } from "./attempt_settings.ts";
import type { Call } from "./call.ts";

/** What the limits of one send depend on besides its call. */
export interface SendContext {
  /** The rest of a stream is asked for. */
  readonly resumed: boolean;
  /** Milliseconds left until the request's deadline. */
  readonly remainingMs: number;
  /** Set in tests only. */
  readonly crashPoints: CrashPoints | undefined;
}

/**
 * How much sooner than the clock says a timer may end, in milliseconds: timers
 * count whole ones and drop fractions at both ends. Without the margin
 * a wait that ended at the deadline would look as if time were left, and the
 * engine would be asked once more for an answer that is of no use.
 */
const TIMER_MARGIN_MS = 2;

/**
 * Whether a deadline has passed, for a caller that a timer has woken at it.
 *
 * @example
 * ```ts
 * if (isPast(clock.monotonic(), state.deadlineAt)) return;
 * ```
 */
export function isPast(nowMs: number, deadlineAt: number): boolean {
  return nowMs >= deadlineAt - TIMER_MARGIN_MS;
}

/**
 * The limits of one send. The deadline bounds connecting and the first token;
 * it does not bound a whole answer, which shows no beginning before its end.
 */
export function headLimits(
  call: Call,
  settings: AttemptSettings,
  circumstances: SendContext,
): HeadLimits {
  const { resumed, crashPoints } = circumstances;
  const leftMs = Math.max(1, circumstances.remainingMs);
  const connectMs = Math.min(settings.connectMs, leftMs);
  if (resumed) return { connectMs, headMs: settings.resumeHeadMs };
  const headMs = call.streamed
    ? Math.min(settings.firstTokenMs, leftMs)
    : unstreamedHeadMs(call, settings);
  if (crashPoints === undefined) return { connectMs, headMs };
  const afterSend = crashPoints.reached("send.after_bytes");
  return { connectMs, headMs, afterSend };
}

/** A whole answer's limit follows from the most tokens that it can have. */
function unstreamedHeadMs(call: Call, settings: AttemptSettings): number {
  const { wholeAnswerMs, wholeAnswerTokenMs, firstTokenMs } = settings;
  if (call.model === undefined) return wholeAnswerMs;
  if (call.maxTokens === undefined) return wholeAnswerMs;
  const expected = firstTokenMs + call.maxTokens * wholeAnswerTokenMs;
  return Math.min(wholeAnswerMs, expected);
}
