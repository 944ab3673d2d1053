/**
 * Headers on the way to and from a runner.
 *
 * @module
 */
import type { RunnerAnswer } from "../connection/runner_answer.ts";
import type { AnswerHead, Call, Header } from "./call.ts";

/** What tells one attempt from another on the wire. */
export interface AttemptMark {
  readonly attemptId: string;
  /** Seconds for which the engine keeps a dropped stream; absent: cancel at once. */
  readonly resumableS?: number;
  /** Token events that the caller already has, when a stream is resumed. */
  readonly resumeOffset?: number;
}

/** Not passed on: they speak of one connection only, or are this router's own. */
const NOT_PASSED = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "umbermast-attempt-id",
  "umbermast-request-id",
  "umbermast-started",
  "umbermast-outcome",
]);

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
  const headers: Header[] = [];
  const raw = answer.response.rawHeaders;
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]?.toLowerCase() ?? "";
    if (NOT_PASSED.has(name)) continue;
    headers.push({ name, value: raw[i + 1] ?? "" });
  }
  return { status: answer.status, headers };
}
