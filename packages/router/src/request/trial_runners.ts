/**
 * Selects the requests that may go first after a runner's pause.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";

/**
 * Milliseconds after the end of a pause from which any request may go first, so
 * that the runner is not left idle: its requests may all be ones that are sent to
 * one runner only.
 */
const SINGLE_ATTEMPT_HOLD_MS = 1_000;
/**
 * The same for a request that may be sent to a second runner once the retry budget
 * allows it: half of the budget's window of 10 s.
 */
const BUDGET_HOLD_MS = 5_000;

/** Whether a request that is refused may be sent to another runner. */
export interface Repeatability {
  /** Whether its route allows another attempt. */
  readonly attemptsLeft: boolean;
  /** Whether the retry budget has room for it now. */
  readonly withinBudget: boolean;
}

/** What the pauses of runners tell of them. */
export interface TrialState {
  /**
   * Milliseconds since the end of a runner's pause after which no request has been
   * sent; undefined if the runner does not await its first request.
   */
  awaitingTrialMs(runner: string, now: number): number | undefined;
}

/**
 * Returns the runners to which a request must not go first after their pauses.
 *
 * The load that it answers: runners that refuse when they are full, at 30 daemons,
 * each of which sends a first request after each pause. If that one is refused
 * again, it needs a second runner, another attempt and room in the retry budget;
 * otherwise its caller is refused although another runner was free. Only a request
 * that has all of them goes first while another runner is left.
 *
 * @param runners those that accept a request now, without the tried ones.
 */
export function withheldTrials(
  runners: readonly Runner[],
  pauses: TrialState,
  request: Repeatability & { readonly now: number },
): readonly string[] {
  const { attemptsLeft, withinBudget, now } = request;
  const waited = runners.flatMap(({ id }) => {
    const waitedMs = pauses.awaitingTrialMs(id, now);
    return waitedMs === undefined ? [] : [{ id, waitedMs }];
  });
  if (waited.length === runners.length) return [];
  if (attemptsLeft && withinBudget) return [];
  const holdMs = attemptsLeft ? BUDGET_HOLD_MS : SINGLE_ATTEMPT_HOLD_MS;
  return waited.filter(({ waitedMs }) => waitedMs < holdMs)
    .map(({ id }) => id);
}
