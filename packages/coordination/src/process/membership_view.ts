/**
 * The view that follows from records and the platform's list.
 *
 * @module
 */
import type { Host } from "./host_list.ts";
import type { MemberRecord } from "./membership_record.ts";
import type { MemberStatus, View } from "./membership.ts";

function statusOf(
  record: MemberRecord,
  listed: Host | undefined,
): MemberStatus {
  const { member, health, leaving } = record;
  if (leaving || listed?.state === "leaving") {
    return { member, state: "leaving" };
  }
  return { member, state: health === "suspect" ? "suspect" : "alive" };
}

/** Builds the view: removed members are absent, the others in order of name. */
export function buildView(
  version: number,
  records: Iterable<MemberRecord>,
  listed: ReadonlyMap<string, Host>,
): View {
  const members: MemberStatus[] = [];
  for (const record of records) {
    if (record.health === "removed") continue;
    members.push(statusOf(record, listed.get(record.member.name)));
  }
  members.sort((a, b) => a.member.name < b.member.name ? -1 : 1);
  return { version, members };
}
