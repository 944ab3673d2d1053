/**
 * The loads of all runners, as this daemon knows them.
 *
 * @module
 */
import { RunnerLoad } from "./runner_load.ts";

/** The loads of all runners, by their ids. */
export class RunnerLoads {
  readonly #loads = new Map<string, RunnerLoad>();
  readonly #changed = new Set<string>();
  /** Ids of runners that requests of this daemon wait for. */
  readonly #awaited = new Set<string>();
  readonly #listeners: (() => void)[] = [];

  /** Calls `listener` after each change of the own load on any runner. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** The load of a runner; an unknown one starts empty. */
  of(id: string): RunnerLoad {
    const known = this.#loads.get(id);
    if (known !== undefined) return known;
    const load = new RunnerLoad(() => this.#noteChange(id));
    this.#loads.set(id, load);
    return load;
  }

  /** Whether any request of this daemon waits for a runner to have room. */
  get hasWaiting(): boolean {
    return this.#awaited.size > 0;
  }

  /** How many requests of this daemon wait. */
  get waitingCount(): number {
    let count = 0;
    for (const id of this.#awaited) {
      count += this.of(id).queue.ownEntries.length;
    }
    return count;
  }

  /** Ids of runners on which the own load has changed since the last call. */
  takeChanged(): readonly string[] {
    const changed = [...this.#changed];
    this.#changed.clear();
    return changed;
  }

  /** Ids of all runners with any load that is known. */
  ids(): readonly string[] {
    return [...this.#loads.keys()];
  }

  /**
   * Forgets a neighbour that cannot be heard any more.
   *
   * @returns the ids of runners on which it had told load.
   */
  removeNeighbour(neighbour: string): readonly string[] {
    return this.ids().filter((id) => this.of(id).removeNeighbour(neighbour));
  }

  /**
   * Forgets runners that are not listed and have no load. One that only others
   * have load on may have entered where this daemon has not seen it yet.
   */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, load] of this.#loads) {
      if (ids.has(id) || load.total.inFlight > 0) continue;
      if (load.queue.ownEntries.length === 0) this.#loads.delete(id);
    }
  }

  #noteChange(id: string): void {
    this.#changed.add(id);
    if (this.#loads.get(id)?.queue.hasOwn) this.#awaited.add(id);
    else this.#awaited.delete(id);
    for (const listener of this.#listeners) listener();
  }
}
