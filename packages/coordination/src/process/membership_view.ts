/**
 * The view that follows from records and the platform's list.
 *
 * @module
 */
import type { MemberRecord } from "./membership_record.ts";
import type { MemberStatus, View } from "./membership.ts";

function statusOf(
  record: MemberRecord,
  drained: ReadonlySet<string>,
): MemberStatus {
  const { member, health, leaving } = record;
  if (leaving || drained.has(member.name)) {
    return { member, state: "leaving" };
  }
  return { member, state: health === "suspect" ? "suspect" : "alive" };
}

/**
 * Builds the view: removed members are absent, the others in order of name.
 *
 * @param drained names of the hosts that the platform called leaving.
 */
export function buildView(
  version: number,
  records: Iterable<MemberRecord>,
  drained: ReadonlySet<string>,
): View {
  const members: MemberStatus[] = [];
  for (const record of records) {
    if (record.health === "removed") continue;
    members.push(statusOf(record, drained));
  }
  members.sort((a, b) => a.member.name < b.member.name ? -1 : 1);
  return { version, members };
}
