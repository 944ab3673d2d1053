/**
 * Lookup of the broker of a service in this daemon's current view.
 *
 * @module
 */
import type { Membership } from "@umbermast/coordination";
import type { RunnerDirectory } from "../runner_directory.ts";
import { assignBrokers, brokerCandidates } from "./broker_assignment.ts";

/** Orders the daemons for each service by the current view; caches the result. */
export class BrokerFinder {
  readonly #membership: Membership | undefined;
  readonly #directory: RunnerDirectory;
  #ranks: ReadonlyMap<string, readonly string[]> = new Map();
  #cacheKey = "";

  constructor(dependencies: {
    readonly membership: Membership | undefined;
    readonly directory: RunnerDirectory;
  }) {
    this.#membership = dependencies.membership;
    this.#directory = dependencies.directory;
  }

  /** This daemon's name; empty when it has no peers. */
  get self(): string {
    return this.#membership?.self.name ?? "";
  }

  /** Daemons for a service: the broker first, then its successors. */
  rank(service: string): readonly string[] {
    if (this.#membership === undefined) return [this.self];
    this.#refresh(this.#membership);
    return this.#ranks.get(service) ?? [this.self];
  }

  #refresh(membership: Membership): void {
    const names = brokerCandidates(membership.view());
    const services = [...this.#directory.services()].sort();
    const key = JSON.stringify([names, services]);
    if (key === this.#cacheKey) return;
    this.#cacheKey = key;
    this.#ranks = assignBrokers(names, services);
  }
}
