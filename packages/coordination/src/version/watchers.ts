/**
 * Chooses the members that watch the store for the others.
 *
 * @module
 */
import type { Member, MemberStatus, View } from "../process/membership.ts";
import { rendezvous } from "../process/rendezvous.ts";

/** One may fail, and be believed alive for a while, without delay to others. */
const WATCHERS_PER_DOMAIN = 2;

/** Members by their part in passing a value on. */
export interface Watchers {
  /** Whether this process watches the store. */
  readonly isWatcher: boolean;
  /** Other members of this process's failure domain. */
  readonly domainPeers: readonly string[];
  /** Watchers of the other failure domains. */
  readonly foreignWatchers: readonly string[];
}

/**
 * Chooses two watchers in each failure domain by rendezvous hash, so that the
 * store's calls grow with the domains. Processes with different views may choose
 * differently, which costs a few calls more.
 */
export function chooseWatchers(
  view: View,
  self: Member,
  channel: string,
): Watchers {
  const others = view.members.filter(({ member }) => member.name !== self.name);
  const own = others.filter(({ member }) =>
    member.failureDomain === self.failureDomain
  );
  const me: MemberStatus = { member: self, state: "alive" };
  const watching = electWatchers([...own, me], channel);
  const foreign = [...groupByDomain(others)]
    .filter(([domain]) => domain !== self.failureDomain)
    .flatMap(([, members]) => electWatchers(members, channel));
  return {
    isWatcher: watching.includes(self.name),
    domainPeers: own.map(({ member }) => member.name),
    foreignWatchers: foreign,
  };
}

function electWatchers(
  members: readonly MemberStatus[],
  channel: string,
): string[] {
  const alive = members.filter(({ state }) => state === "alive");
  const names = alive.map(({ member }) => member.name);
  return rendezvous(channel, names).slice(0, WATCHERS_PER_DOMAIN);
}

function groupByDomain(
  members: readonly MemberStatus[],
): ReadonlyMap<string, readonly MemberStatus[]> {
  const domains = new Map<string, MemberStatus[]>();
  for (const status of members) {
    const { failureDomain } = status.member;
    const known = domains.get(failureDomain) ?? [];
    domains.set(failureDomain, [...known, status]);
  }
  return domains;
}
