/**
 * Waiting asks of one workspace in one class.
 *
 * @module
 */
import type { WaitingAsk } from "./waiting_ask.ts";

/** A queue in order of arrival, with its start tag for fair queueing. */
export class Flow {
  readonly workspace: string;
  readonly class: string;
  /** Virtual start time of the next ask; the lowest is served first. */
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

  /** Total estimated cost of the waiting asks. */
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

  /** Inserts an ask in order of arrival. */
  add(waiting: WaitingAsk): void {
    let index = this.#items.length;
    while (index > 0 && this.#items[index - 1]!.arrivedAt > waiting.arrivedAt) {
      index--;
    }
    this.#items.splice(index, 0, waiting);
    this.#cost += waiting.cost;
    this.#bytes += waiting.bytes;
  }

  /** Removes an ask; false if the flow does not contain it. */
  remove(waiting: WaitingAsk): boolean {
    const index = this.#items.indexOf(waiting);
    if (index < 0) return false;
    this.#items.splice(index, 1);
    this.#cost -= waiting.cost;
    this.#bytes -= waiting.bytes;
    return true;
  }

  /**
   * The ask to serve next: the oldest one, or, if `now` is given, the oldest that
   * can still meet its latency target, if there is one.
   */
  head(now?: number): WaitingAsk | undefined {
    if (now === undefined) return this.#items[0];
    return this.#items.find((ask) => ask.startBy >= now) ?? this.#items[0];
  }
}
