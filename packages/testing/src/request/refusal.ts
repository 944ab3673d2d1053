/**
 * Refusals of the engine: the request did not run and will not.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { sendJson } from "../process/http_server.ts";
import type { Run } from "../process/ledger.ts";

/** Why the engine refuses. */
export type RefusalCode =
  | "bad_request"
  | "leaving"
  | "model_not_found"
  | "queue_full";

const STATUSES: Readonly<Record<RefusalCode, number>> = {
  bad_request: 400,
  leaving: 503,
  model_not_found: 404,
  queue_full: 429,
};
const COME_BACK: readonly RefusalCode[] = ["leaving", "queue_full"];

/** Refuses before starting, and closes the record. */
export function refuse(
  response: ServerResponse,
  run: Run,
  options: { readonly code: RefusalCode },
): void {
  const { code } = options;
  run.finish("refused");
  sendJson(response, { error: { code, message: `Refused: ${code}` } }, {
    status: STATUSES[code],
    headers: {
      "umbermast-started": "false",
      "umbermast-request-id": run.requestId,
      "umbermast-attempt-id": run.attemptId,
      ...(COME_BACK.includes(code) ? { "retry-after": "1" } : {}),
    },
  });
}
