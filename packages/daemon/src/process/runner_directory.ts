/**
 * The runners of each service, from the latest host list of the platform.
 *
 * @module
 */
import type { Runner } from "./runner.ts";

/** Keeps the latest list of runners and notifies listeners of changes. */
export class RunnerDirectory {
  #byService: ReadonlyMap<string, readonly Runner[]> = new Map();
  #byName: ReadonlyMap<string, Runner> = new Map();
  readonly #listeners = new Set<() => void>();

  /** Replaces the list of runners. */
  replace(runners: readonly Runner[]): void {
    const byService = new Map<string, Runner[]>();
    for (const runner of runners) {
      const sameService = byService.get(runner.service) ?? [];
      sameService.push(runner);
      byService.set(runner.service, sameService);
    }
    this.#byService = byService;
    this.#byName = new Map(runners.map((runner) => [runner.name, runner]));
    for (const listener of this.#listeners) listener();
  }

  /** Names of the services that have runners. */
  services(): readonly string[] {
    return [...this.#byService.keys()];
  }

  /** All runners of a service, including leaving ones. */
  runners(service: string): readonly Runner[] {
    return this.#byService.get(service) ?? [];
  }

  /** The runner with the given name, if it is in the list. */
  find(name: string): Runner | undefined {
    return this.#byName.get(name);
  }

  /** All runners. */
  all(): readonly Runner[] {
    return [...this.#byName.values()];
  }

  /**
   * Calls the listener after each change.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
