/**
 * Number of daemons in the fleet and in this daemon's failure domain.
 *
 * @module
 */
import { SlidingMax } from "../process/sliding_max.ts";
import type { MemberCounts } from "./peer_message.ts";

/**
 * Time in ms over which the maximum of the fleet size is taken. The limits on
 * retries and on connections to runners are divided by this size: if it were too
 * small, each daemon would take more than its share.
 */
const FLEET_WINDOW_MS = 60_000;
/**
 * Time in ms over which the maximum of the failure domain's size is taken. This
 * size determines the domain's number of relays, the daemons that forward updates
 * to and from others. While a relay is lost, no updates arrive from the daemons
 * that are connected through it. Without the maximum, the number of relays would
 * change, and all other daemons would be assigned to relays anew. The time allows
 * the daemons of the lost relay to find another one.
 */
const DOMAIN_WINDOW_MS = 2_000;

/** Sums the member counts that neighbours report. */
export class MembershipCounts {
  readonly #reported = new Map<string, MemberCounts>();
  readonly #fleet = new SlidingMax(FLEET_WINDOW_MS);
  readonly #domain = new SlidingMax(DOMAIN_WINDOW_MS);

  /**
   * Sets the counts that a neighbour reports; `domain` is 0 if the neighbour is in
   * another failure domain.
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

  /**
   * Returns the number of daemons that this daemon and selected neighbours account
   * for, including this one.
   */
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

  /**
   * Adds the current totals to the sliding maxima, and returns the largest of each
   * within its time.
   */
  recentMax(now: number): MemberCounts {
    const { fleet, domain } = this.sumFrom(() => true);
    return {
      fleet: this.#fleet.update(fleet, now),
      domain: this.#domain.update(domain, now),
    };
  }
}
