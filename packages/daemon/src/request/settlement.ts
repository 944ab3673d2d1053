/**
 * Builds the report that the scheduler gets when an attempt releases its slot.
 *
 * @module
 */
import type { Settlement } from "./ask.ts";
import type { Attempt } from "./attempt.ts";
import type { AttemptResult } from "./outcome.ts";

/**
 * Builds the settlement of an attempt's slot.
 *
 * @param end the attempt's result; `undefined` when it was interrupted.
 */
export function settlementOf(
  attempt: Attempt,
  end: AttemptResult | undefined,
): Settlement {
  const { metrics } = attempt;
  const { firstTokenMs, betweenTokensMs } = metrics;
  return {
    outcome: outcomeOf(end),
    promptTokens: metrics.promptTokens,
    outputTokens: metrics.tokens,
    ...(firstTokenMs !== undefined && { firstTokenMs }),
    ...(betweenTokensMs !== undefined && { betweenTokensMs }),
  };
}

function outcomeOf(end: AttemptResult | undefined): Settlement["outcome"] {
  if (end === undefined) return "cancelled";
  switch (end._tag) {
    case "Complete":
      return "complete";
    case "CallerLeft":
      return "cancelled";
    case "NotRun":
      return end.code === "grant_expired" ? "cancelled" : "refused";
    case "Lost":
      return end.code === "runner_silent" ? "silent" : "failed";
  }
}
