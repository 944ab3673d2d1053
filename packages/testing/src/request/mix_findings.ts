/**
 * What is wrong with the answers to a mix.
 *
 * @module
 */
import type { Answer } from "./answer.ts";
import type { MixedCall } from "./mix.ts";

/** A call of a mix with its answer. */
export interface MixResult {
  readonly call: MixedCall;
  readonly answer: Answer;
}

/** A line for each answer that is not whole, and one for calls without any. */
export function mixFindings(
  results: readonly MixResult[],
  options: { readonly sent: number },
): readonly string[] {
  const broken = results
    .filter(({ answer }) => answer.outcome !== "complete")
    .map(({ call, answer }) => {
      const { outcome, status, code = "", finding = "", requestId } = answer;
      const name = call.traffic.class;
      return `${name} ${requestId}: ${outcome} ${status} ${code} ${finding}`;
    });
  const missing = options.sent - results.length;
  if (missing === 0) return broken;
  return [...broken, `${missing} of ${options.sent} calls without an answer`];
}
