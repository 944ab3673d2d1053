/**
 * The time of day, as the fleet knows it.
 *
 * @module
 */

/**
 * Milliseconds by which this host's time of day may differ from that of its
 * neighbours before it is taken to be wrong. Hosts whose clocks are kept differ
 * by some ms, and what a neighbour tells is up to 100 ms old when it is read.
 */
const TOLERANCE_MS = 250;
/** Milliseconds after which what a neighbour told does not count any more. */
const TOLD_LIFE_MS = 10_000;

/** A neighbour's time of day against this host's steady clock. */
interface ToldOffset {
  readonly offset: number;
  readonly at: number;
}

/** Clocks of a host. */
export interface HostClocks {
  /** Epoch milliseconds; may jump. */
  wall(): number;
  /** Steady milliseconds. */
  monotonic(): number;
}

/** The clocks of the host that the process runs on. */
export const HOST_CLOCKS: HostClocks = {
  wall: () => Date.now(),
  monotonic: () => performance.now(),
};

/**
 * Tells the time of day also while this host's clock is wrong: where it differs
 * from the median of what this host and its neighbours take the time to be, the
 * median counts. What neighbours are told is this time, so that a host with two
 * neighbours profits from what those have heard.
 *
 * @example
 * ```ts
 * const time = new FleetTime(HOST_CLOCKS);
 * time.toldBy("entry-2", state.timeMs);
 * const window = Math.floor(time.now() / windowMs);
 * ```
 */
export class FleetTime {
  readonly #clocks: HostClocks;
  readonly #told = new Map<string, ToldOffset>();

  constructor(clocks: HostClocks) {
    this.#clocks = clocks;
  }

  /** Takes the time of day that a neighbour told just now, in epoch ms. */
  recordNeighbourTime(neighbour: string, timeMs: number): void {
    const at = this.#clocks.monotonic();
    this.#told.set(neighbour, { offset: timeMs - at, at });
  }

  /** What a neighbour told does not count any more. */
  forget(neighbour: string): void {
    this.#told.delete(neighbour);
  }

  /** Epoch milliseconds. */
  now(): number {
    const steady = this.#clocks.monotonic();
    const own = this.#clocks.wall() - steady;
    const agreed = this.#median(own, steady);
    const offset = Math.abs(own - agreed) <= TOLERANCE_MS ? own : agreed;
    return steady + offset;
  }

  #median(own: number, steady: number): number {
    const offsets = [own];
    for (const { offset, at } of this.#told.values()) {
      if (steady - at <= TOLD_LIFE_MS) offsets.push(offset);
    }
    offsets.sort((one, other) => one - other);
    // Of two the own one counts: nothing tells which of them is wrong.
    if (offsets.length === 2) return own;
    return offsets[offsets.length >> 1]!;
  }
}
