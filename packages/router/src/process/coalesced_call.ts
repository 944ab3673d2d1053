/**
 * Calls that many wait for at once.
 *
 * @module
 */
import { pause } from "./pause.ts";

/**
 * Makes one call at a time, at most one in an interval, for all that have asked for
 * it before it begins.
 *
 * @example
 * ```ts
 * const read = new CoalescedCall(() => store.read(), { intervalMs: () => 50 });
 * await Promise.all([read.next(), read.next()]); // one call
 * ```
 */
export class CoalescedCall<T> {
  readonly #call: () => Promise<T>;
  readonly #intervalMs: () => number;
  #begunAt = -Infinity;
  /** Settles with the call that has begun last. */
  #current: Promise<unknown> = Promise.resolve();
  /** The call that begins next. */
  #next: Promise<T> | undefined;

  constructor(
    call: () => Promise<T>,
    options: { readonly intervalMs: () => number },
  ) {
    this.#call = call;
    this.#intervalMs = options.intervalMs;
  }

  /** Returns the result of a call that begins after this one. */
  next(): Promise<T> {
    this.#next ??= this.#begin();
    return this.#next;
  }

  async #begin(): Promise<T> {
    await this.#current;
    const waitMs = this.#begunAt + this.#intervalMs() - performance.now();
    if (waitMs > 0) await pause(waitMs);
    this.#next = undefined;
    this.#begunAt = performance.now();
    const call = this.#call();
    this.#current = call.catch(() => {});
    return await call;
  }
}
