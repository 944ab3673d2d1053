/**
 * Assignment of services to broker daemons by rendezvous hashing with bounded
 * loads.
 *
 * @module
 */
import { Rendezvous, type View } from "@umbermast/coordination";

/** Maximum number of services of a broker, as a multiple of the mean. */
const LOAD_BOUND = 1.25;

/**
 * Orders the members for each service: the broker first, then its successors.
 * Daemons with the same view compute the same order.
 */
export function assignBrokers(
  names: readonly string[],
  services: readonly string[],
): ReadonlyMap<string, readonly string[]> {
  const rendezvous = new Rendezvous(names);
  const owners = rendezvous.owners(services, { loadBound: LOAD_BOUND });
  const assigned = new Map<string, readonly string[]>();
  for (const [service, owner] of owners) {
    const others = rendezvous.order(service).filter((name) => name !== owner);
    assigned.set(service, [owner, ...others]);
  }
  return assigned;
}

/**
 * Names of the members of a view that may be brokers. Suspected members are
 * included: a false suspicion would otherwise move every ask twice, and a failed
 * broker is detected sooner by its missing replies. Leaving members are excluded
 * unless all members are leaving.
 */
export function brokerCandidates(view: View): readonly string[] {
  const staying = view.members.filter((member) => member.state !== "leaving");
  const chosen = staying.length > 0 ? staying : view.members;
  return chosen.map((listed) => listed.member.name);
}
