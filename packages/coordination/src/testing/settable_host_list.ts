/**
 * A host list that is set by its user.
 *
 * @module
 */
import type { Host, HostList } from "../process/host_list.ts";

/**
 * {@linkcode HostList} for tests and benchmarks: empty until it is set, and
 * always current.
 *
 * @example
 * ```ts
 * const hostList = new SettableHostList();
 * const node = yield* startNode({ ...settings, hostList });
 * hostList.set(hosts);
 * ```
 */
export class SettableHostList implements HostList {
  readonly #listeners = new Set<(hosts: readonly Host[]) => void>();
  #hosts: readonly Host[] = [];

  hosts(): readonly Host[] {
    return this.#hosts;
  }

  current(): boolean {
    return true;
  }

  subscribe(listener: (hosts: readonly Host[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Replaces the list and notifies the listeners. */
  set(hosts: readonly Host[]): void {
    this.#hosts = hosts;
    for (const listener of [...this.#listeners]) listener(hosts);
  }
}
