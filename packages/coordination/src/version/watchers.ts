/**
 * Chooses the members that watch the store on behalf of the others.
 *
 * @module
 */
import type { Member, MemberStatus, View } from "../process/membership.ts";
import { rendezvous } from "../process/rendezvous.ts";

/**
 * With two watchers, one may fail, and be considered alive until its failure is
 * detected, without delaying updates.
 */
const WATCHERS_PER_DOMAIN = 2;

/** Members by their role in distributing a value. */
export interface Watchers {
  /** Whether this process watches the store. */
  readonly isWatcher: boolean;
  /** Other members of this process's failure domain. */
  readonly domainPeers: readonly string[];
  /** Watchers of the other failure domains. */
  readonly foreignWatchers: readonly string[];
}

/**
 * Chooses two watchers in each failure domain by rendezvous hashing, so that
 * the load on the store grows with the number of domains, not of members.
 * Processes with different views may choose differently, which costs a few
 * extra calls.
 */
export function chooseWatchers(
  view: View,
  self: Member,
  channel: string,
): Watchers {
  const others = view.members.filter(({ member }) => member.name !== self.name);
  const domainPeers = others.filter(({ member }) =>
    member.failureDomain === self.failureDomain
  );
  const ownStatus: MemberStatus = { member: self, state: "alive" };
  const ownWatchers = selectWatchers([...domainPeers, ownStatus], channel);
  const foreignWatchers = [...groupByDomain(others)]
    .filter(([domain]) => domain !== self.failureDomain)
    .flatMap(([, members]) => selectWatchers(members, channel));
  return {
    isWatcher: ownWatchers.includes(self.name),
    domainPeers: domainPeers.map(({ member }) => member.name),
    foreignWatchers,
  };
}

function selectWatchers(
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
    const domain = domains.get(failureDomain) ?? [];
    domains.set(failureDomain, [...domain, status]);
  }
  return domains;
}
