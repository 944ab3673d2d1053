/**
 * Waiting asks of one workspace in one class.
 *
 * @module
 */
import type { WaitingAsk } from "./waiting_ask.ts";

/** A first-in-first-out queue with its place in fair queueing. */
export class Flow {
  readonly workspace: string;
  readonly class: string;
  /** Virtual time at which its next ask starts; the lowest is served first. */
  startTag = 0;
  #items: WaitingAsk[] = [];
  #cost = 0;
  #bytes = 0;

  constructor(workspace: string, className: string) {
    this.workspace = workspace;
    this.class = className;
  }

  get length(): number {
    return this.#items.length;
  }

  /** Estimated cost of all that waits. */
  get cost(): number {
    return this.#cost;
  }

  get bytes(): number {
    return this.#bytes;
  }

  get items(): readonly WaitingAsk[] {
    return this.#items;
  }

  get newest(): WaitingAsk | undefined {
    return this.#items.at(-1);
  }

  /** Adds an ask at its place by time of arrival. */
  add(waiting: WaitingAsk): void {
    let index = this.#items.length;
    while (index > 0 && this.#items[index - 1]!.arrivedAt > waiting.arrivedAt) {
      index--;
    }
    this.#items.splice(index, 0, waiting);
    this.#cost += waiting.cost;
    this.#bytes += waiting.bytes;
  }

  /** Removes an ask; false when it is not here. */
  remove(waiting: WaitingAsk): boolean {
    const index = this.#items.indexOf(waiting);
    if (index < 0) return false;
    this.#items.splice(index, 1);
    this.#cost -= waiting.cost;
    this.#bytes -= waiting.bytes;
    return true;
  }

  /**
   * The ask to serve next: the oldest, or with `now` the oldest that can still
   * meet its target, when there is one.
   */
  head(now?: number): WaitingAsk | undefined {
    if (now === undefined) return this.#items[0];
    return this.#items.find((it) => it.startBy >= now) ?? this.#items[0];
  }
}
