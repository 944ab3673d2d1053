/**
 * Selection of the contacts that daemons of a large fleet send to each other.
 *
 * @module
 */
import { inRankOrder } from "./contact.ts";
import type { Contact } from "./contact.ts";
import { groupBy } from "./group.ts";

/** Contacts that are sent of each failure domain other than the receiver's. */
const CONTACTS_PER_DOMAIN = 2;
/** Contacts that are sent to all daemons if there is only one failure domain. */
const CONTACTS_OF_SINGLE_DOMAIN = 6;

/**
 * Returns the contacts that are sent to a daemon when its link is established: all
 * of its own failure domain, as it may link to them, and two of each other one.
 *
 * @param failureDomain the failure domain of the receiver.
 */
export function contactsForNewPeer(
  failureDomain: string | undefined,
  contacts: readonly Contact[],
): readonly Contact[] {
  const domains = groupBy(contacts, (contact) => contact.failureDomain);
  return [...domains].flatMap(([domain, members]) =>
    domain === failureDomain
      ? members
      : inRankOrder(members).slice(0, CONTACTS_PER_DOMAIN)
  );
}

/** Returns the contacts that are sent to all: the first ones of each domain. */
export function contactsForAll(
  contacts: readonly Contact[],
): readonly Contact[] {
  const domains = groupBy(contacts, ({ failureDomain }) => failureDomain);
  const perDomain = domains.size === 1
    ? CONTACTS_OF_SINGLE_DOMAIN
    : CONTACTS_PER_DOMAIN;
  return [...domains.values()].flatMap((members) =>
    inRankOrder(members).slice(0, perDomain)
  );
}
