/**
 * Which daemon brokers a service: rendezvous hashing with bounded load.
 *
 * @module
 */
import { Rendezvous, type View } from "@umbermast/coordination";

/** A daemon brokers at most this many times the mean number of services. */
const LOAD_BOUND = 1.25;

/**
 * Orders the members for each service, its broker first, then its successors.
 * Every daemon with the same view gets the same answer.
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
 * Names that may broker in a view. Suspects stay: a suspicion that proves wrong
 * would otherwise move every ask twice, and a dead one is noticed sooner by its
 * missing answers. Leaving members are passed over.
 */
export function brokerCandidates(view: View): readonly string[] {
  const staying = view.members.filter((it) => it.state !== "leaving");
  const chosen = staying.length > 0 ? staying : view.members;
  return chosen.map((it) => it.member.name);
}
