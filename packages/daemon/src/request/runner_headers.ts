/**
 * Headers of requests to runners and of their responses.
 *
 * @module
 */
import type { RunnerResponse } from "../connection/runner_response.ts";
import type { Call, Header, ResponseHead } from "./call.ts";
import { headerLines, responseHeaders } from "./end_to_end_headers.ts";

/** Headers that identify an attempt, and its resume options. */
export interface AttemptIdentity {
  readonly attemptId: string;
  /** Seconds for which the engine keeps a dropped stream; absent: cancel immediately. */
  readonly resumableS?: number;
  /** Token events already relayed to the caller, when a stream is resumed. */
  readonly resumeOffset?: number;
}

/** Builds the headers of an attempt's request. */
export function requestHeaders(
  call: Call,
  identity: AttemptIdentity,
): readonly Header[] {
  const headers = [
    ...call.headers,
    { name: "umbermast-request-id", value: call.requestId },
    { name: "umbermast-attempt-id", value: identity.attemptId },
    { name: "umbermast-priority", value: String(call.tier) },
    { name: "umbermast-workspace", value: call.workspace },
    { name: "umbermast-class", value: call.class },
  ];
  if (call.idempotencyKey !== undefined) {
    headers.push({ name: "idempotency-key", value: call.idempotencyKey });
  }
  if (identity.resumableS !== undefined) {
    headers.push({
      name: "umbermast-resumable",
      value: String(identity.resumableS),
    });
  }
  if (identity.resumeOffset !== undefined) {
    headers.push({
      name: "umbermast-resume-offset",
      value: String(identity.resumeOffset),
    });
  }
  return headers;
}

/** Builds the head of the caller's response from a runner's response. */
export function forwardedHead(response: RunnerResponse): ResponseHead {
  const headers = responseHeaders(headerLines(response.message.rawHeaders));
  return { status: response.status, headers };
}
