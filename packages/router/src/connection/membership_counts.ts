/**
 * Number of daemons in the fleet and in the own failure domain.
 *
 * @module
 */
import { SlidingMax } from "../process/sliding_max.ts";
import type { MemberCounts } from "./peer_message.ts";

/**
 * Window of the maximum of the fleet size. Retries and connections to runners
 * are divided by this size: if it were too small, each daemon would take more
 * than its share.
 */
const FLEET_WINDOW_MS = 60_000;
/**
 * Window of the maximum of the failure domain's size, which determines its number
 * of relays. While a relay is lost, no updates of the daemons behind it arrive;
 * without the window, all other daemons would be assigned to relays anew. The
 * window gives those daemons time to find another relay.
 */
const DOMAIN_WINDOW_MS = 2_000;

/** Sums the member counts that neighbours report. */
export class MembershipCounts {
  readonly #reported = new Map<string, MemberCounts>();
  readonly #fleet = new SlidingMax(FLEET_WINDOW_MS);
  readonly #domain = new SlidingMax(DOMAIN_WINDOW_MS);

  /**
   * Sets the counts that a neighbour reports.
   *
   * @returns whether they differ from its previous ones.
   */
  setNeighbourCounts(neighbour: string, members: MemberCounts): boolean {
    const previous = this.#reported.get(neighbour);
    this.#reported.set(neighbour, members);
    return previous?.fleet !== members.fleet ||
      previous.domain !== members.domain;
  }

  /** Removes the counts of a neighbour. */
  removeNeighbour(neighbour: string): void {
    this.#reported.delete(neighbour);
  }

  /** Counts of this daemon and of selected neighbours together. */
  sumFrom(includes: (neighbour: string) => boolean): MemberCounts {
    let fleet = 1;
    let domain = 1;
    for (const [neighbour, members] of this.#reported) {
      if (!includes(neighbour)) continue;
      fleet += members.fleet;
      domain += members.domain;
    }
    return { fleet, domain };
  }

  /** The largest total counts in the recent windows. */
  recentMax(now: number): MemberCounts {
    const { fleet, domain } = this.sumFrom(() => true);
    return {
      fleet: this.#fleet.update(fleet, now),
      domain: this.#domain.update(domain, now),
    };
  }
}
