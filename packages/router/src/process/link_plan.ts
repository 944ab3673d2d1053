/**
 * Plans the links between the daemons of a large fleet. The daemons of a failure
 * domain form a tree. Its inner nodes, the relays, forward updates; its root is
 * the head of the domain, and the heads link to each other.
 *
 * @module
 */
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import { inRankOrder } from "./contact.ts";
import type { Contact } from "./contact.ts";
import { groupBy } from "./group.ts";

/**
 * Approximate number of daemons for which one relay forwards loads. Each daemon
 * sends up to 25 state updates a second while requests wait, and each update takes
 * about 0.2 ms to process, so that 20 daemons cost a relay a tenth of a core. Fewer
 * daemons per relay mean more relays on a path, each of which delays the loads of
 * runners by one batch.
 */
export const DAEMONS_PER_RELAY = 20;

/** Links of one daemon. */
export interface LinkPlan {
  /** The relay to which this daemon sends its loads; undefined for a head. */
  readonly parent: Contact | undefined;
  /**
   * Another relay, which is linked but receives no loads. Versions of the
   * configuration thus arrive by two paths, and no dialling is needed when the
   * parent is lost.
   */
  readonly spare: Contact | undefined;
  /** The heads of the other failure domains if this daemon is a head. */
  readonly heads: readonly Contact[];
}

/**
 * Plans the links of one daemon.
 *
 * The daemons of a failure domain form a tree. The first ones by rank are relays,
 * one for about {@linkcode DAEMONS_PER_RELAY} daemons, and the other daemons are
 * assigned to relays by a hash. The first relay is the head: the other relays link
 * to it, and the heads of all failure domains link to each other.
 *
 * A parent always ranks before its children, so that forwarded loads never go in
 * a cycle, however much the views of daemons differ.
 *
 * @param contacts daemons that are believed to be reachable.
 * @param domainSize daemons in the failure domain of `own`, including itself.
 */
export function planLinks(
  own: Contact,
  contacts: readonly Contact[],
  domainSize: number,
): LinkPlan {
  const domains = groupBy(contacts, ({ failureDomain }) => failureDomain);
  const sameDomain = domains.get(own.failureDomain) ?? [];
  const ranked = inRankOrder([own, ...sameDomain]);
  const count = relayCount(domainSize);
  const relays = ranked.slice(0, count);
  const head = relays[0]!;
  if (head === own) {
    const others = [...domains].filter(([name]) => name !== own.failureDomain);
    const heads = others.map(([, members]) => inRankOrder(members)[0]!);
    return { parent: undefined, spare: undefined, heads };
  }
  const order = relays.includes(own) ? relays : hashOrder(own.name, relays);
  const parent = order[0]!;
  const spare = [...order, ...ranked]
    .find((contact) => contact !== own && contact !== parent);
  return { parent, spare, heads: [] };
}

/** Returns the number of relays of a failure domain. */
export function relayCount(domainSize: number): number {
  return Math.max(1, Math.round(domainSize / DAEMONS_PER_RELAY));
}

/** Returns the relays in the order of a daemon's preference. */
function hashOrder(
  name: string,
  relays: readonly Contact[],
): readonly Contact[] {
  const order = new Rendezvous(relays.map((relay) => relay.name)).order(name);
  return order.map((chosen) => relays.find((relay) => relay.name === chosen)!);
}
