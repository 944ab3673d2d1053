/**
 * Checks whether a runner's response can be relayed.
 *
 * @module
 */
import { validateHeaderName, validateHeaderValue } from "node:http";
import type { RawHeaders } from "./dialect.ts";

/** Statuses of final responses (RFC 9110, section 15). */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Returns why the head of a response cannot be relayed to a caller, or undefined
 * if it can. Node's parser accepts heads that its server refuses to write, and
 * statuses that HTTP does not define.
 */
export function headFault(
  status: number,
  headers: RawHeaders,
): string | undefined {
  if (status < MIN_STATUS || status > MAX_STATUS) {
    return `invalid status ${status}`;
  }
  try {
    for (let i = 0; i + 1 < headers.length; i += 2) {
      validateHeaderName(headers[i]!);
      validateHeaderValue(headers[i]!, headers[i + 1]!);
    }
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}
