/**
 * The order in which members are probed.
 *
 * @module
 */
import type * as Random from "effect/Random";
import type { MemberTable } from "./membership_table.ts";

/**
 * Schedules probes in rounds: each round holds all members in shuffled order.
 * Each member therefore probes every other within two rounds, while purely
 * random picks could leave some unprobed for arbitrarily long.
 */
export class ProbeSchedule {
  readonly #table: MemberTable;
  readonly #random: Random.Random;
  readonly #urgent = new Set<string>();
  #remaining: string[] = [];

  constructor(table: MemberTable, random: Random.Random) {
    this.#table = table;
    this.#random = random;
  }

  /** Schedules a member for the next probe, ahead of the current round. */
  prioritize(name: string): void {
    this.#urgent.add(name);
  }

  /** Inserts a member that joined at a random position of the current round. */
  insert(name: string): void {
    this.#remaining.splice(
      this.#randomBelow(this.#remaining.length + 1),
      0,
      name,
    );
  }

  /** The next member to probe; undefined if there are no other members. */
  next(): string | undefined {
    for (const name of this.#urgent) {
      this.#urgent.delete(name);
      if (this.#isProbeable(name)) return name;
    }
    let name = this.#remaining.pop();
    while (name !== undefined && !this.#isProbeable(name)) {
      name = this.#remaining.pop();
    }
    if (name !== undefined) return name;
    this.#remaining = this.#shuffled(this.#table.otherNames());
    return this.#remaining.pop();
  }

  /** A random sample of the other members, without those excluded. */
  sample(count: number, excluded: readonly string[]): readonly string[] {
    const candidates = this.#table.otherNames().filter((name) =>
      !excluded.includes(name)
    );
    return this.#shuffled(candidates).slice(0, count);
  }

  /** A random name; undefined if there are none. */
  pick(names: readonly string[]): string | undefined {
    return names[this.#randomBelow(names.length)];
  }

  #isProbeable(name: string): boolean {
    const record = this.#table.get(name);
    if (record === undefined || record === this.#table.self) return false;
    return record.health !== "removed";
  }

  #shuffled(names: readonly string[]): string[] {
    const order = [...names];
    for (let last = order.length - 1; last > 0; last--) {
      const other = this.#randomBelow(last + 1);
      const name = order[last] ?? "";
      order[last] = order[other] ?? "";
      order[other] = name;
    }
    return order;
  }

  #randomBelow(limit: number): number {
    return Math.floor(this.#random.nextDoubleUnsafe() * limit);
  }
}
