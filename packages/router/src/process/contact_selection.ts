/**
 * Which daemons all others of a large fleet know.
 *
 * @module
 */
import { inRankOrder } from "./contact.ts";
import type { Contact } from "./contact.ts";
import { groupBy } from "./group.ts";

/** Contacts of each other failure domain that a new peer is told. */
const TOLD_OF_OTHER_DOMAINS = 2;
/** Contacts of the own failure domain that all know, where there is no other. */
const KNOWN_OF_ONLY_DOMAIN = 6;

/**
 * What a daemon of a failure domain is told when a link is up: those that it may
 * link to in its own one, and two of each other one.
 */
export function contactsForNewPeer(
  failureDomain: string | undefined,
  contacts: readonly Contact[],
): readonly Contact[] {
  const domains = groupBy(contacts, (each) => each.failureDomain);
  return [...domains].flatMap(([domain, ofDomain]) =>
    domain === failureDomain
      ? ofDomain
      : inRankOrder(ofDomain).slice(0, TOLD_OF_OTHER_DOMAINS)
  );
}

/** Those that everybody is told of: the first ones of each failure domain. */
export function contactsForAll(
  contacts: readonly Contact[],
): readonly Contact[] {
  const domains = groupBy(contacts, ({ failureDomain }) => failureDomain);
  const most = domains.size === 1
    ? KNOWN_OF_ONLY_DOMAIN
    : TOLD_OF_OTHER_DOMAINS;
  return [...domains.values()].flatMap((ofDomain) =>
    inRankOrder(ofDomain).slice(0, most)
  );
}
