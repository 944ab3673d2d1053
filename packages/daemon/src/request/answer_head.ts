/**
 * Headers on the way to and from a runner.
 *
 * @module
 */
import type { RunnerAnswer } from "../connection/runner_answer.ts";
import type { AnswerHead, Call, Header } from "./call.ts";
import { answerHeaders, headerLines } from "./end_to_end_headers.ts";

/** What tells one attempt from another on the wire. */
export interface AttemptMark {
  readonly attemptId: string;
  /** Seconds for which the engine keeps a dropped stream; absent: cancel at once. */
  readonly resumableS?: number;
  /** Token events that the caller already has, when a stream is resumed. */
  readonly resumeOffset?: number;
}

/** Headers of one attempt's request. */
export function requestHeaders(
  call: Call,
  mark: AttemptMark,
): readonly Header[] {
  const headers = [
    ...call.headers,
    { name: "umbermast-request-id", value: call.requestId },
    { name: "umbermast-attempt-id", value: mark.attemptId },
    { name: "umbermast-priority", value: String(call.tier) },
    { name: "umbermast-workspace", value: call.workspace },
    { name: "umbermast-class", value: call.class },
  ];
  if (call.idempotencyKey !== undefined) {
    headers.push({ name: "idempotency-key", value: call.idempotencyKey });
  }
  if (mark.resumableS !== undefined) {
    headers.push({
      name: "umbermast-resumable",
      value: String(mark.resumableS),
    });
  }
  if (mark.resumeOffset !== undefined) {
    headers.push({
      name: "umbermast-resume-offset",
      value: String(mark.resumeOffset),
    });
  }
  return headers;
}

/** The head that the caller is given for a runner's answer. */
export function passedHead(answer: RunnerAnswer): AnswerHead {
  const headers = answerHeaders(headerLines(answer.response.rawHeaders));
  return { status: answer.status, headers };
}
