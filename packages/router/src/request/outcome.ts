/**
 * Outcomes of requests.
 *
 * @module
 */
import type { Refusal } from "./caller.ts";

/** How a request ended, for the log and the metrics. */
export type Outcome =
  /** The caller got a runner's complete response. */
  | { readonly kind: "answered"; readonly status: number }
  /** This daemon generated the response. */
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** A response that had begun could not be completed. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The caller disconnected. */
  | { readonly kind: "left" };

/** Returns the short, stable name of an outcome, for logs and metrics. */
export function outcomeName(outcome: Outcome): string {
  if (outcome.kind === "answered") return String(outcome.status);
  if (outcome.kind === "refused") return outcome.refusal.code;
  return outcome.kind;
}
