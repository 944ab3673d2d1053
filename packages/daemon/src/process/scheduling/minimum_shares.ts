/**
 * Which waiting classes are below their minimum share of the service.
 *
 * @module
 */
import type { Class } from "@umbermast/table";

/** Slots in use now. */
export interface SlotUsage {
  /** Of all classes. */
  readonly inFlight: number;
  /** Of one class. */
  inFlightOf(className: string): number;
}

/** Unpaid share that a class may save up, in multiples of its next cost. */
const CREDIT_LIMIT = 4;
/** A slot of long prompts does less work than others; its class gets more slots. */
const SLOT_SHARE_MARGIN = 1.2;

/** Keeps account of what classes are owed. */
export class MinimumShares {
  readonly #usage: SlotUsage | undefined;
  /** Share owed to each class and not yet served, in cost. */
  readonly #credit = new Map<string, number>();
  #classes: ReadonlyMap<string, Class> = new Map();

  /** @param usage absent: shares are kept by cost alone. */
  constructor(usage?: SlotUsage) {
    this.#usage = usage;
  }

  /** Takes the classes of a new table. */
  setClasses(classes: ReadonlyMap<string, Class>): void {
    this.#classes = classes;
  }

  /**
   * What a class is owed in proportion to its share; 0 when nothing. Where its
   * share makes whole slots, it is owed those at every moment: engines serve
   * all that runs alike, and a debt counted by cost would be paid only when the
   * long answers that it pays for end. A share of less than a slot is kept over
   * time, by cost.
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
   * Accounts for service of a class.
   *
   * @param waiting classes that wait, with the cost of one of their next asks.
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
    // A class pays for its service only down to one such cost: service beyond
    // its share is the tiers' gift and must not be held against it later.
    const remaining = (this.#credit.get(className) ?? 0) - cost;
    this.#credit.set(className, Math.max(remaining, -Math.abs(cost)));
  }

  /** A class with nothing waiting has no claim left; its debts stay. */
  clearCredit(className: string): void {
    const credit = this.#credit.get(className) ?? 0;
    this.#credit.set(className, Math.min(0, credit));
  }

  #shareOf(className: string): number {
    return this.#classes.get(className)?.minimumShare ?? 0;
  }
}
