/**
 * Builds the error responses that callers get.
 *
 * @module
 */
import { STATUS_CODES } from "node:http";
import { PROBLEM_STATUSES } from "../process/codes.ts";
import type { ProblemCode } from "../process/codes.ts";
import type { ExecutionOutcome, Header, Problem } from "./call.ts";

const DEFAULT_RETRY_AFTER_MS = 1000;
const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;

/** Builds a problem with the status of its code. */
export function problem(
  code: ProblemCode,
  message: string,
  options: {
    readonly outcome?: ExecutionOutcome;
    readonly place?: string;
    readonly retryAfterMs?: number;
  } = {},
): Problem {
  const status = PROBLEM_STATUSES[code][0];
  const comesBack = status === TOO_MANY_REQUESTS || status === UNAVAILABLE;
  const retryAfterMs = options.retryAfterMs ??
    (comesBack ? DEFAULT_RETRY_AFTER_MS : undefined);
  return {
    status,
    code,
    message,
    outcome: options.outcome ?? "not-run",
    ...(options.place === undefined ? {} : { place: options.place }),
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

const MS_PER_SECOND = 1000;
const FIRST_SERVER_STATUS = 500;

/** Returns the error type in the OpenAI format. */
function typeOf(status: number): string {
  if (status === 401) return "authentication_error";
  if (status === TOO_MANY_REQUESTS) return "rate_limit_error";
  return status >= FIRST_SERVER_STATUS
    ? "server_error"
    : "invalid_request_error";
}

/** Builds the JSON body of an error, in the OpenAI format. */
export function problemBody(problem: Problem, requestId: string): string {
  return JSON.stringify({
    error: {
      message: problem.message,
      type: typeOf(problem.status),
      param: problem.place ?? null,
      code: problem.code,
      outcome: problem.outcome,
      request_id: requestId,
    },
  });
}

/** Rounds a retry delay up to whole seconds for `retry-after`, at least one. */
export function retryAfterSeconds(retryAfterMs: number): number {
  return Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND));
}

/** Builds the headers of an error, except those of its body. */
export function problemHeaders(problem: Problem): readonly Header[] {
  const outcome = { name: "umbermast-outcome", value: problem.outcome };
  const headers: Header[] = [outcome];
  if (problem.code === "http_version_unsupported") {
    headers.push({ name: "upgrade", value: "HTTP/1.1" });
  }
  if (problem.code === "key_invalid") {
    headers.push({ name: "www-authenticate", value: "Bearer" });
  }
  if (problem.retryAfterMs !== undefined) {
    const value = String(retryAfterSeconds(problem.retryAfterMs));
    headers.push({ name: "retry-after", value });
  }
  return headers;
}

/** Builds a complete response for a connection without a valid request. */
export function rawResponse(problem: Problem, requestId: string): string {
  const body = problemBody(problem, requestId);
  const headers: readonly Header[] = [
    { name: "umbermast-request-id", value: requestId },
    ...problemHeaders(problem),
    { name: "content-type", value: "application/json" },
    { name: "content-length", value: String(Buffer.byteLength(body)) },
    { name: "connection", value: "close" },
  ];
  const lines = headers.map(({ name, value }) => `${name}: ${value}`);
  const { status } = problem;
  const first = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`;
  return [first, ...lines, "", body].join("\r\n");
}
