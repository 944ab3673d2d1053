/**
 * Derivation of the view from records and the platform's host list.
 *
 * @module
 */
import type { MemberRecord } from "./membership_record.ts";
import type { MemberStatus, View } from "./membership.ts";

function statusOf(
  record: MemberRecord,
  leavingHosts: ReadonlySet<string>,
): MemberStatus {
  const { member, health, leaving } = record;
  if (leaving || leavingHosts.has(member.name)) {
    return { member, state: "leaving" };
  }
  return { member, state: health === "suspect" ? "suspect" : "alive" };
}

/**
 * Builds the view: the members that are not removed, sorted by name.
 *
 * @param leavingHosts names of the hosts that the platform listed as leaving.
 */
export function buildView(
  version: number,
  records: Iterable<MemberRecord>,
  leavingHosts: ReadonlySet<string>,
): View {
  const members: MemberStatus[] = [];
  for (const record of records) {
    if (record.health === "removed") continue;
    members.push(statusOf(record, leavingHosts));
  }
  members.sort((a, b) => a.member.name < b.member.name ? -1 : 1);
  return { version, members };
}
