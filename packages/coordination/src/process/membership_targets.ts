/**
 * Which member is probed next.
 *
 * @module
 */
import type * as Random from "effect/Random";
import type { MemberBook } from "./membership_book.ts";

/**
 * The order of probing: all members in a shuffled order, then all again. So
 * each is probed by each within two rounds, while purely random picks would
 * leave some unprobed for arbitrarily long.
 */
export class Targets {
  readonly #book: MemberBook;
  readonly #random: Random.Random;
  readonly #urgent = new Set<string>();
  #round: string[] = [];

  constructor(book: MemberBook, random: Random.Random) {
    this.#book = book;
    this.#random = random;
  }

  /** Puts a member before all others. */
  hurry(name: string): void {
    this.#urgent.add(name);
  }

  /** Puts a member that joined at a random place of the running round. */
  join(name: string): void {
    this.#round.splice(this.#below(this.#round.length + 1), 0, name);
  }

  /** The next member to probe; undefined when this process is alone. */
  next(): string | undefined {
    for (const name of this.#urgent) {
      this.#urgent.delete(name);
      if (this.#isPresent(name)) return name;
    }
    let name = this.#round.pop();
    while (name !== undefined && !this.#isPresent(name)) {
      name = this.#round.pop();
    }
    if (name !== undefined) return name;
    this.#round = this.#shuffled(this.#book.others());
    return this.#round.pop();
  }

  /** Some members of the view, each other than those excluded. */
  sample(count: number, excluded: readonly string[]): readonly string[] {
    const rest = this.#book.others().filter((name) => !excluded.includes(name));
    return this.#shuffled(rest).slice(0, count);
  }

  /** One of the names; undefined when there is none. */
  pick(names: readonly string[]): string | undefined {
    return names[this.#below(names.length)];
  }

  #isPresent(name: string): boolean {
    const record = this.#book.record(name);
    if (record === undefined || record === this.#book.self) return false;
    return record.health !== "removed";
  }

  #shuffled(names: readonly string[]): string[] {
    const order = [...names];
    for (let last = order.length - 1; last > 0; last--) {
      const other = this.#below(last + 1);
      const name = order[last] ?? "";
      order[last] = order[other] ?? "";
      order[other] = name;
    }
    return order;
  }

  #below(limit: number): number {
    return Math.floor(this.#random.nextDoubleUnsafe() * limit);
  }
}
