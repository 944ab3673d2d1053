/**
 * How many daemons there are, as neighbours tell.
 *
 * @module
 */
import { SlidingMax } from "../process/sliding_max.ts";
import type { MemberCounts } from "./peer_message.ts";

/**
 * Milliseconds for which the largest size of the fleet counts. Retries and
 * connections to runners are divided by it: too small a size would have each
 * daemon take more than its part.
 */
const FLEET_MS = 60_000;
/**
 * The same for the size of the own failure domain, from which the number of its
 * relays follows: while a relay is lost, the daemons behind it are not heard of,
 * and all others would be divided anew. By then they have another one.
 */
const DOMAIN_MS = 2_000;

/** Adds up for how many daemons each neighbour speaks. */
export class MembershipCounts {
  readonly #told = new Map<string, MemberCounts>();
  readonly #fleet = new SlidingMax(FLEET_MS);
  readonly #domain = new SlidingMax(DOMAIN_MS);

  /**
   * Takes what a neighbour tells.
   *
   * @returns whether it differs from what it told before.
   */
  setNeighbourCounts(neighbour: string, members: MemberCounts): boolean {
    const before = this.#told.get(neighbour);
    this.#told.set(neighbour, members);
    return before?.fleet !== members.fleet || before.domain !== members.domain;
  }

  /** Forgets a neighbour. */
  removeNeighbour(neighbour: string): void {
    this.#told.delete(neighbour);
  }

  /** This daemon and those that some neighbours speak for. */
  sumFrom(counts: (neighbour: string) => boolean): MemberCounts {
    let fleet = 1;
    let domain = 1;
    for (const [neighbour, members] of this.#told) {
      if (!counts(neighbour)) continue;
      fleet += members.fleet;
      domain += members.domain;
    }
    return { fleet, domain };
  }

  /** The largest counts of the last while. */
  recentMax(now: number): MemberCounts {
    const { fleet, domain } = this.sumFrom(() => true);
    return {
      fleet: this.#fleet.update(fleet, now),
      domain: this.#domain.update(domain, now),
    };
  }
}
