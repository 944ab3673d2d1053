/**
 * Time of day that is agreed on by neighbouring daemons.
 *
 * @module
 */

/**
 * Maximum difference in ms between this host's wall clock and the median of its own
 * and its neighbours' times before the wall clock is considered wrong. Synchronized
 * clocks differ by some ms, and a neighbour's time is up to 100 ms old when it is
 * recorded.
 */
const TOLERANCE_MS = 250;
/** Time in ms after which a neighbour's time is ignored. */
const EXPIRY_MS = 10_000;

/** Offset of a neighbour's time of day from this host's monotonic clock. */
interface NeighbourOffset {
  readonly offset: number;
  readonly at: number;
}

/** Clocks of a host. */
export interface HostClocks {
  /** Returns epoch milliseconds; may jump. */
  wall(): number;
  /** Returns monotonic milliseconds. */
  monotonic(): number;
}

/** Clocks of the host on which the process runs. */
export const HOST_CLOCKS: HostClocks = {
  wall: () => Date.now(),
  monotonic: () => performance.now(),
};

/**
 * Returns the time of day even while this host's wall clock is wrong. If the wall
 * clock differs from the median of the times of this host and its neighbours, the
 * median is used. Neighbours are sent this time rather than the wall clock, so
 * that a host with two neighbours also benefits from what those have received.
 *
 * @example
 * ```ts
 * const time = new FleetTime(HOST_CLOCKS);
 * time.recordNeighbourTime("entry-2", state.timeMs);
 * const window = Math.floor(time.now() / windowMs);
 * ```
 */
export class FleetTime {
  readonly #clocks: HostClocks;
  readonly #offsets = new Map<string, NeighbourOffset>();

  constructor(clocks: HostClocks) {
    this.#clocks = clocks;
  }

  /** Records the time of day that a neighbour has just sent, in epoch ms. */
  recordNeighbourTime(neighbour: string, timeMs: number): void {
    const at = this.#clocks.monotonic();
    this.#offsets.set(neighbour, { offset: timeMs - at, at });
  }

  /** Discards the time of a neighbour. */
  forget(neighbour: string): void {
    this.#offsets.delete(neighbour);
  }

  /** Returns the time in epoch milliseconds. */
  now(): number {
    const monotonic = this.#clocks.monotonic();
    const own = this.#clocks.wall() - monotonic;
    const agreed = this.#median(own, monotonic);
    const offset = Math.abs(own - agreed) <= TOLERANCE_MS ? own : agreed;
    return monotonic + offset;
  }

  #median(own: number, monotonic: number): number {
    const offsets = [own];
    for (const { offset, at } of this.#offsets.values()) {
      if (monotonic - at <= EXPIRY_MS) offsets.push(offset);
    }
    offsets.sort((a, b) => a - b);
    // Of two offsets the own one is used, as either may be the wrong one.
    if (offsets.length === 2) return own;
    return offsets[offsets.length >> 1]!;
  }
}
