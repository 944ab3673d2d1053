/**
 * Outcomes of requests.
 *
 * @module
 */
import type { Refusal } from "./refusal.ts";

/** How a request ended, for the log and the metrics. */
export type Outcome =
  /** A runner's complete response; `send` writes it to the caller. */
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly send: () => void;
  }
  /** A stream whose events the caller has; `end` completes it. */
  | {
    readonly kind: "streamed";
    readonly status: number;
    readonly end: () => void;
  }
  /** This daemon generated the response. */
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** A response that had begun could not be completed. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The caller disconnected. */
  | { readonly kind: "left" };

/** Returns the short, stable name of an outcome, for logs and metrics. */
export function outcomeName(outcome: Outcome): string {
  switch (outcome.kind) {
    case "answered":
    case "streamed":
      return String(outcome.status);
    case "refused":
      return outcome.refusal.code;
    default:
      return outcome.kind;
  }
}
