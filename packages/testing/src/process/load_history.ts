/**
 * Load reports that lag behind the truth.
 *
 * @module
 */

interface Sample<T> {
  readonly at: number;
  readonly value: T;
}

const SAMPLE_MS = 50;

/** Samples a load and gives back what it was a while ago. */
export class LoadHistory<T> {
  readonly #read: () => T;
  readonly #lagMs: number;
  readonly #timer: NodeJS.Timeout;
  #samples: Sample<T>[];

  constructor(read: () => T, lagMs: number) {
    this.#read = read;
    this.#lagMs = lagMs;
    this.#samples = [{ at: Date.now(), value: read() }];
    this.#timer = setInterval(() => this.#sample(), SAMPLE_MS);
    this.#timer.unref();
  }

  /** The load as it was `lagMs` ago, with the time it was read. */
  report(): { readonly at: number } & T {
    const wanted = Date.now() - this.#lagMs;
    const sample = this.#samples.findLast(({ at }) => at <= wanted) ??
      this.#samples[0];
    if (sample === undefined) return { at: Date.now(), ...this.#read() };
    return { at: sample.at, ...sample.value };
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    const now = Date.now();
    this.#samples.push({ at: now, value: this.#read() });
    const oldest = now - this.#lagMs - 2 * SAMPLE_MS;
    while ((this.#samples[1]?.at ?? now) < oldest) this.#samples.shift();
  }
}
