/**
 * Bounds on the leader's state, as the store may hold one of another writer.
 *
 * @module
 */
import type { LeaderState, UsageReport } from "./leader_record.ts";

/** Accepted reports that are kept for inspection by operators. */
const MAX_ACCEPTED = 2;
/** Maximum number of pending reports; the oldest are dropped first. */
export const MAX_PENDING = 24;
/** Maximum number of incarnations in a checkpoint. */
const MAX_INCARNATIONS = 4_096;
/** Maximum number of orders, which is far above that of any deployment. */
const MAX_ORDERS = 4_096;

/**
 * Returns the state with its lists cut to what a leader would store itself. The
 * list of open windows is left as it is, because its excess counts as missed.
 */
export function boundedState(state: LeaderState): LeaderState {
  const { checkpoint, orders } = state;
  const windows = [...checkpoint.windows]
    .sort((a, b) => a.window - b.window)
    .slice(-MAX_PENDING)
    .map((entry) => {
      if (entry.carried === undefined) return entry;
      return { ...entry, carried: entry.carried.slice(0, MAX_INCARNATIONS) };
    });
  return {
    ...state,
    reports: prune(state.reports),
    checkpoint: { lives: checkpoint.lives.slice(0, MAX_INCARNATIONS), windows },
    orders: orders.slice(0, MAX_ORDERS),
  };
}

/** Drops the oldest accepted and pending reports beyond their limits. */
export function prune(reports: readonly UsageReport[]): readonly UsageReport[] {
  const sorted = [...reports].sort((a, b) => a.window - b.window);
  const accepted = sorted.filter((report) => report.accepted);
  const pending = sorted.filter((report) => !report.accepted);
  return [
    ...accepted.slice(-MAX_ACCEPTED),
    ...pending.slice(-MAX_PENDING),
  ].sort((a, b) => a.window - b.window);
}
