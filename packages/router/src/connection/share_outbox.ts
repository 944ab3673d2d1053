/**
 * Costs of workspaces that wait to be sent to neighbours.
 *
 * @module
 */
import type { CostIncrease, Flow } from "../process/workspace_shares.ts";

/** Maximum number of workspaces in one message: about 700 bytes. */
export const MAX_SHARES = 40;
/**
 * Minimum interval in ms between two messages with costs while nobody waits:
 * 700 bytes a second.
 */
const IDLE_INTERVAL_MS = 1_000;
/** The same while requests wait: at most 7 KB of a daemon's 29 KB a second. */
const INTERVAL_MS = 100;
/**
 * The intervals for each receiver: what a daemon receives must not grow with the
 * number of its neighbours.
 */
const IDLE_INTERVAL_PER_RECEIVER_MS = 400;
const INTERVAL_PER_RECEIVER_MS = 15;

/** Collects the workspaces whose costs are to be sent to a group of neighbours. */
export class ShareOutbox {
  /** Costs that were added since they were sent last. */
  readonly #changed = new Map<string, { readonly flow: Flow; cost: number }>();
  #sentAt = -Infinity;

  add(increases: readonly CostIncrease[]): void {
    for (const { cost, ...flow } of increases) {
      const key = `${flow.rank} ${flow.service} ${flow.workspace}`;
      const known = this.#changed.get(key);
      if (known === undefined) this.#changed.set(key, { flow, cost });
      else known.cost += cost;
    }
  }

  /**
   * Removes and returns the workspaces to send now, those with the largest change.
   * The others stay for a later call; their sums are sent then.
   *
   * @param receivers number of neighbours that get the message.
   * @param waiting whether any requests wait.
   */
  take(receivers: number, now: number, waiting: boolean): readonly Flow[] {
    const intervalMs = waiting
      ? Math.max(INTERVAL_MS, receivers * INTERVAL_PER_RECEIVER_MS)
      : Math.max(IDLE_INTERVAL_MS, receivers * IDLE_INTERVAL_PER_RECEIVER_MS);
    if (now - this.#sentAt < intervalMs || this.#changed.size === 0) return [];
    this.#sentAt = now;
    const largest = [...this.#changed]
      .sort(([, one], [, other]) => other.cost - one.cost)
      .slice(0, MAX_SHARES);
    for (const [key] of largest) this.#changed.delete(key);
    return largest.map(([, { flow }]) => flow);
  }
}
