/**
 * Counts what the body of one request takes.
 *
 * @module
 */
import type { BufferBudget, CountedBody } from "@umbermast/router/budget";

/** The body of a request in the budget of all callers' bodies. */
export class HeldBody {
  readonly #budget: BufferBudget;
  readonly #body: CountedBody;
  /** Called if the body hardly arrives and others need the room. */
  onStalled: () => void = () => {};

  /** @param caller the connection. */
  constructor(budget: BufferBudget, caller: object) {
    this.#budget = budget;
    this.#body = budget.openBody(caller, () => this.onStalled());
  }

  /**
   * Counts the body up to a size.
   *
   * @param arrived bytes that have arrived.
   * @returns false if there is no room.
   */
  reserve(size: number, arrived: number): boolean {
    const now = performance.now();
    return this.#budget.reserve(this.#body, size, { now, arrived });
  }

  /** Notes that no more of the body is read. */
  arrived(): void {
    this.#budget.bodyArrived(this.#body);
  }

  /** Ends the count, as the request has ended. */
  release(): void {
    this.#budget.release(this.#body, performance.now());
  }
}
