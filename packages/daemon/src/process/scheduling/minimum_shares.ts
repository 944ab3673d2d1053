/**
 * Accounting of the minimum shares of service of waiting classes.
 *
 * @module
 */
import type { Class } from "@umbermast/table";

/** Slots currently in use. */
export interface SlotUsage {
  /** Number of slots in use by all classes. */
  readonly inFlight: number;
  /** Number of slots in use by one class. */
  inFlightOf(className: string): number;
}

/** Maximum credit of a class, as a multiple of its next cost. */
const CREDIT_LIMIT = 4;
/**
 * Factor on the slots of a minimum share. A slot with long prompts does less work
 * than others, so a class with a minimum share gets more slots.
 */
const SLOT_SHARE_MARGIN = 1.2;

/** Tracks by how much each class is below its minimum share. */
export class MinimumShares {
  readonly #usage: SlotUsage | undefined;
  /** Minimum share of each class that has not been served yet, in cost. */
  readonly #credit = new Map<string, number>();
  #classes: ReadonlyMap<string, Class> = new Map();

  /** @param usage slots in use; if absent, shares are accounted by cost only. */
  constructor(usage?: SlotUsage) {
    this.#usage = usage;
  }

  /** Applies the classes of a new table. */
  setClasses(classes: ReadonlyMap<string, Class>): void {
    this.#classes = classes;
  }

  /**
   * Deficit of a class in proportion to its share; 0 if there is none.
   *
   * A share of at least one slot is enforced as slots in use at every moment:
   * engines serve all running requests alike, so a deficit by cost would be
   * compensated only when the long responses charged for it end. A share of less
   * than one slot is enforced over time, by cost.
   */
  deficit(className: string): number {
    const share = this.#shareOf(className);
    if (share <= 0) return 0;
    const inFlight = this.#usage?.inFlight ?? 0;
    const shareSlots = SLOT_SHARE_MARGIN * share * (inFlight + 1);
    if (shareSlots < 1) {
      return Math.max(0, (this.#credit.get(className) ?? 0) / share);
    }
    const slots = Math.ceil(shareSlots);
    const used = this.#usage?.inFlightOf(className) ?? 0;
    return Math.max(0, (slots - used) / slots);
  }

  /**
   * Records service of a class.
   *
   * @param waiting waiting classes, each with the cost of one of its next asks.
   */
  charge(
    className: string,
    cost: number,
    waiting: ReadonlyMap<string, number>,
  ): void {
    for (const [name, headCost] of waiting) {
      const share = this.#shareOf(name);
      if (share <= 0) continue;
      const credit = (this.#credit.get(name) ?? 0) + share * cost;
      this.#credit.set(name, Math.min(credit, CREDIT_LIMIT * headCost));
    }
    // Credit falls to no less than minus one such cost: service beyond the
    // minimum share comes from tier priority and must not count against the
    // class later.
    const remaining = (this.#credit.get(className) ?? 0) - cost;
    this.#credit.set(className, Math.max(remaining, -Math.abs(cost)));
  }

  /** Drops the credit of a class with nothing waiting; negative credit remains. */
  clearCredit(className: string): void {
    const credit = this.#credit.get(className) ?? 0;
    this.#credit.set(className, Math.min(0, credit));
  }

  #shareOf(className: string): number {
    return this.#classes.get(className)?.minimumShare ?? 0;
  }
}
