/**
 * Faults of a caller's connection before a valid request.
 *
 * @module
 */
import type { ProblemCode } from "../process/codes.ts";

/** An invalid request, or one whose head exceeded a time-out or size limit. */
export interface ConnectionFault {
  readonly code: Extract<
    ProblemCode,
    | "header_too_large"
    | "header_timeout"
    | "request_invalid"
    | "method_unsupported"
  >;
  readonly message: string;
  readonly place: string;
}

/** Converts an error of Node's parser or its limits. */
export function connectionFault(error: NodeJS.ErrnoException): ConnectionFault {
  if (error.code === "HPE_HEADER_OVERFLOW") {
    const message = "Cannot read the request: its head is too large";
    return { code: "header_too_large", message, place: "header" };
  }
  if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") {
    const message = "Cannot read the request: its head did not come in time";
    return { code: "header_timeout", message, place: "header" };
  }
  // The parser's codes name the violated rule and quote nothing of the request.
  const rule = error.code?.startsWith("HPE_") ? ` (${error.code})` : "";
  const message = `Cannot read the request: it is not valid HTTP/1.1${rule}`;
  return { code: "request_invalid", message, place: "request" };
}
