/**
 * Registry of the loads of all runners, as this daemon sees them.
 *
 * @module
 */
import { RunnerLoad } from "./runner_load.ts";

/**
 * Holds the load of each runner by runner id, and tracks which have changed.
 */
export class RunnerLoads {
  readonly #loads = new Map<string, RunnerLoad>();
  readonly #changed = new Set<string>();
  /** Ids of runners for which requests of this daemon wait. */
  readonly #queued = new Set<string>();
  readonly #listeners: (() => void)[] = [];
  #isQueued: (id: string) => boolean = () => false;

  /** Calls `listener` after each change of this daemon's load on any runner. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Sets which runners are those of plain services whose requests are queued.
   */
  queueAt(isQueued: (id: string) => boolean): void {
    this.#isQueued = isQueued;
  }

  /**
   * Whether a release of a runner's slot is urgent to other daemons: requests
   * wait for it at some of them, even if none does here. Sent at the interval
   * for idle fleets, releases took 100 ms through two relays, and the slots
   * of plain runners were idle for 15% of the time.
   */
  isUrgent(id: string): boolean {
    return this.#loads.get(id)?.queue.hasAny === true && this.#isQueued(id);
  }

  /** Whether an urgent change of this daemon's load is still to be sent. */
  get hasUrgentChange(): boolean {
    for (const id of this.#changed) {
      if (this.isUrgent(id)) return true;
    }
    return false;
  }

  /** Returns the load of a runner; creates an empty one for an unknown id. */
  of(id: string): RunnerLoad {
    const known = this.#loads.get(id);
    if (known !== undefined) return known;
    const load = new RunnerLoad(() => this.#recordChange(id));
    this.#loads.set(id, load);
    return load;
  }

  /** Whether any request of this daemon waits for capacity. */
  get hasWaiting(): boolean {
    return this.#queued.size > 0;
  }

  /** Number of requests of this daemon that wait for capacity. */
  get waitingCount(): number {
    let count = 0;
    for (const id of this.#queued) count += this.of(id).queue.ownEntries.length;
    return count;
  }

  /**
   * Marks the runners for which requests of this daemon wait in an order that has
   * changed since the last call.
   */
  markReordered(now: number): void {
    for (const id of this.#queued) {
      if (this.of(id).queue.takeReordered(now)) this.#changed.add(id);
    }
  }

  /**
   * Returns ids of runners on which this daemon's load changed since the last call.
   */
  takeChanged(): readonly string[] {
    const changed = [...this.#changed];
    this.#changed.clear();
    return changed;
  }

  /** Requests in flight at all runners: of this daemon, and of all others. */
  get inFlight(): { readonly own: number; readonly others: number } {
    let own = 0;
    let total = 0;
    for (const load of this.#loads.values()) {
      own += load.own.inFlight;
      total += load.total.inFlight;
    }
    return { own, others: total - own };
  }

  /** Ids of all runners with a load entry. */
  ids(): readonly string[] {
    return [...this.#loads.keys()];
  }

  /**
   * Discards the loads reported by a neighbour whose link is lost.
   *
   * @returns ids of the runners on which it had reported load.
   */
  removeNeighbour(neighbour: string): readonly string[] {
    return this.ids().filter((id) => this.of(id).removeNeighbour(neighbour));
  }

  /**
   * Deletes runners that are not listed and have no load. An unlisted runner on
   * which other daemons have load may be a new one whose entry has not reached
   * this daemon yet.
   */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, load] of this.#loads) {
      if (ids.has(id) || load.total.inFlight > 0) continue;
      if (load.queue.ownEntries.length === 0) this.#loads.delete(id);
    }
  }

  #recordChange(id: string): void {
    this.#changed.add(id);
    if (this.#loads.get(id)?.queue.hasOwn) this.#queued.add(id);
    else this.#queued.delete(id);
    for (const listener of this.#listeners) listener();
  }
}
