/**
 * What the scheduler is told of an attempt that held a slot.
 *
 * @module
 */
import type { Settlement } from "./ask.ts";
import type { Attempt } from "./attempt.ts";
import type { AttemptEnd } from "./outcome.ts";

/** Settles the slot of an attempt; `undefined` when it was interrupted. */
export function settlementOf(
  attempt: Attempt,
  end: AttemptEnd | undefined,
): Settlement {
  const { meter } = attempt;
  const { firstTokenMs, betweenTokensMs } = meter;
  return {
    outcome: outcomeOf(end),
    promptTokens: meter.promptTokens,
    outputTokens: meter.tokens,
    ...(firstTokenMs !== undefined && { firstTokenMs }),
    ...(betweenTokensMs !== undefined && { betweenTokensMs }),
  };
}

function outcomeOf(end: AttemptEnd | undefined): Settlement["outcome"] {
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
