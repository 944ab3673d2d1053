/**
 * Identity and address of a daemon, and the order of daemons by rank.
 *
 * @module
 */

/** Identity and address of one incarnation of a daemon. */
export interface Contact {
  readonly name: string;
  /** Differs at each start of a daemon. */
  readonly incarnation: string;
  /** Address at which other daemons connect, as "IP:PORT". */
  readonly address: string;
  readonly failureDomain: string;
  /** Bandwidth of its network link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
}

/** Properties by which daemons are ranked. */
export type Ranked = Pick<Contact, "name" | "linkMbps">;

/**
 * Returns whether daemon `a` ranks before daemon `b`, when some daemons are chosen
 * to serve the others. Daemons rank by bandwidth, highest first, then by name: a
 * daemon that forwards the updates of dozens of others needs 4 Mbit/s for it, which
 * is half of the narrowest links. Daemons that know the same contacts agree on the
 * order without communication.
 */
export function ranksBefore(a: Ranked, b: Ranked): boolean {
  if (a.linkMbps !== b.linkMbps) return a.linkMbps > b.linkMbps;
  return a.name < b.name;
}

/** Returns the contacts sorted by rank, first one first. */
export function inRankOrder<T extends Ranked>(
  contacts: readonly T[],
): readonly T[] {
  return [...contacts].sort((a, b) => ranksBefore(a, b) ? -1 : 1);
}

/** Returns the contact fields of an object that has further fields. */
export function contactOf(source: Contact): Contact {
  const { name, incarnation, address, failureDomain, linkMbps } = source;
  return { name, incarnation, address, failureDomain, linkMbps };
}
