/**
 * Which daemon passes on the states of its failure domain.
 *
 * @module
 */

/** A daemon, as far as the choice of a relay needs it. */
export interface RelayCandidate {
  readonly name: string;
  readonly failureDomain: string;
  /** Width of its network link, in Mbit/s; 0 when unknown. */
  readonly linkMbps: number;
}

/**
 * The relay of a failure domain: the daemon with the widest link, the first by
 * name among equals. It sends each state of the fleet to every daemon of its
 * domain, 20 Mbit/s at 65 daemons, which would fill a link of 10. All daemons
 * that see the same fleet agree without asking.
 */
export function relayOf<Candidate extends RelayCandidate>(
  failureDomain: string,
  fleet: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const each of fleet) {
    if (each.failureDomain !== failureDomain) continue;
    if (best === undefined || goesBefore(each, best)) best = each;
  }
  return best;
}

function goesBefore(one: RelayCandidate, other: RelayCandidate): boolean {
  if (one.linkMbps !== other.linkMbps) return one.linkMbps > other.linkMbps;
  return one.name < other.name;
}
