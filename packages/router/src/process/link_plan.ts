/**
 * Which other daemons a daemon keeps links to.
 *
 * @module
 */
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import { inRankOrder } from "./contact.ts";
import type { Contact } from "./contact.ts";
import { groupBy } from "./group.ts";

/**
 * Daemons for which one relay passes on loads, about. Each of them sends up to 25
 * states a second while requests wait, and each costs about 0.2 ms to read: with
 * 20 a relay spends a tenth of a core. With fewer there are more relays on the
 * way, and what is known of a runner is older by a batch at each.
 */
export const DAEMONS_PER_RELAY = 20;

/** The links of one daemon. */
export interface LinkPlan {
  /** The relay that this daemon tells its loads; none for a head. */
  readonly parent: Contact | undefined;
  /**
   * Another relay, linked but not told loads: versions of the configuration come
   * by two ways, and no time goes into dialling when the parent is lost.
   */
  readonly spare: Contact | undefined;
  /** The heads of the other failure domains, for a daemon that is a head. */
  readonly heads: readonly Contact[];
}

/**
 * Plans the links of one daemon, in a tree for each failure domain: the first
 * daemons by rank are relays, one for some {@linkcode DAEMONS_PER_RELAY}; the
 * others are divided among them by a hash; the first relay is the head, to which
 * the other relays link, and heads of all failure domains link to each other.
 *
 * A parent always ranks before its children, so that however much the views of
 * daemons differ, what they pass on never goes round.
 *
 * @param contacts daemons that can be reached, as far as known.
 * @param domainSize daemons in the failure domain of `own`, itself included.
 */
export function planLinks(
  own: Contact,
  contacts: readonly Contact[],
  domainSize: number,
): LinkPlan {
  const domains = groupBy(contacts, ({ failureDomain }) => failureDomain);
  const near = domains.get(own.failureDomain) ?? [];
  const ranked = inRankOrder([own, ...near]);
  const count = relayCount(domainSize);
  const relays = ranked.slice(0, count);
  const head = relays[0]!;
  if (head === own) {
    const others = [...domains].filter(([name]) => name !== own.failureDomain);
    const heads = others.map(([, domain]) => inRankOrder(domain)[0]!);
    return { parent: undefined, spare: undefined, heads };
  }
  const order = relays.includes(own) ? relays : byHash(own.name, relays);
  const parent = order[0]!;
  const spare = [...order, ...ranked]
    .find((each) => each !== own && each !== parent);
  return { parent, spare, heads: [] };
}

/** Relays of a failure domain of so many daemons. */
export function relayCount(domainSize: number): number {
  return Math.max(1, Math.round(domainSize / DAEMONS_PER_RELAY));
}

function byHash(
  name: string,
  relays: readonly Contact[],
): readonly Contact[] {
  const order = new Rendezvous(relays.map((each) => each.name)).order(name);
  return order.map((chosen) => relays.find((each) => each.name === chosen)!);
}
