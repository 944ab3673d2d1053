/**
 * How a daemon is known to others.
 *
 * @module
 */

/** One life of a daemon, and where it is reached. */
export interface Contact {
  readonly name: string;
  /** Differs at each start of a daemon. */
  readonly incarnation: string;
  /** Where the daemon is reached, as "IP:PORT". */
  readonly address: string;
  readonly failureDomain: string;
  /** Width of its network link, in Mbit/s; 0 when unknown. */
  readonly linkMbps: number;
}

/** What the order of daemons needs to know of one. */
export type Ranked = Pick<Contact, "name" | "linkMbps">;

/**
 * Whether one daemon goes before another one where a few have to do something
 * for many: the widest link first, then by name. Who passes on what dozens of
 * daemons tell needs 4 Mbit/s for it, half of the narrowest links. All daemons
 * that know the same contacts agree without asking.
 */
export function ranksBefore(one: Ranked, other: Ranked): boolean {
  if (one.linkMbps !== other.linkMbps) return one.linkMbps > other.linkMbps;
  return one.name < other.name;
}

/** Contacts in their order, first those that rank before all others. */
export function inRankOrder<Each extends Ranked>(
  contacts: readonly Each[],
): readonly Each[] {
  return [...contacts].sort((one, other) => ranksBefore(one, other) ? -1 : 1);
}

/** The contact in something that says more of the same daemon. */
export function contactOf(of: Contact): Contact {
  const { name, incarnation, address, failureDomain, linkMbps } = of;
  return { name, incarnation, address, failureDomain, linkMbps };
}
