/**
 * Time-outs for the head of a response, and checks against deadlines.
 *
 * @module
 */
import type { CrashPoints } from "@umbermast/coordination";
import type { HeadLimits } from "../connection/runner_response.ts";
import type { AttemptSettings } from "./attempt_settings.ts";
import type { Call } from "./call.ts";

/** What the time-outs of one send depend on besides its call and settings. */
export interface SendContext {
  /** Whether the send resumes a stream. */
  readonly resumed: boolean;
  /** Milliseconds left until the request's deadline. */
  readonly remainingMs: number;
  /** Set in tests only. */
  readonly crashPoints: CrashPoints | undefined;
}

/**
 * How much earlier than its deadline a timer may fire, in milliseconds: timers
 * count whole milliseconds and drop the fractions at both ends. Without the
 * margin, a wait that ended at the deadline would seem to have time left, and
 * the request would be sent once more although its response is useless.
 */
const TIMER_MARGIN_MS = 2;

/**
 * Whether a deadline has passed, with a margin for timers that fire early.
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
 * Returns the time-outs of one send. The deadline bounds connecting and the
 * first token. It does not bound a non-streamed response, whose head arrives
 * only when the response is finished.
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

/** Time-out for the head of a non-streamed response, from its maximum tokens. */
function unstreamedHeadMs(call: Call, settings: AttemptSettings): number {
  const { wholeAnswerMs, wholeAnswerTokenMs, firstTokenMs } = settings;
  if (call.model === undefined) return wholeAnswerMs;
  if (call.maxTokens === undefined) return wholeAnswerMs;
  const expected = firstTokenMs + call.maxTokens * wholeAnswerTokenMs;
  return Math.min(wholeAnswerMs, expected);
}
