/**
 * What one member believes of another, and which of two beliefs is newer.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { decodeItem, encodeItem } from "./codec.ts";
import { isAddress, isPort } from "./endpoint.ts";
import type { Member } from "./membership.ts";

/** Whether a member answers. A removed one is absent from the view. */
export type Health = "alive" | "suspect" | "removed";

/** A belief about a member. */
export interface MemberRecord {
  readonly member: Member;
  /**
   * How often this start of the member has contradicted that it is suspect or
   * removed. Only the member itself raises it.
   */
  readonly refutations: number;
  readonly health: Health;
  /** The member has announced that it leaves. Holds for the rest of its start. */
  readonly leaving: boolean;
  /** Name of the member whose belief this is. */
  readonly by: string;
}

const HEALTHS: readonly Health[] = ["alive", "suspect", "removed"];
const LEAVING_BIT = 4;
const HEALTH_MASK = 3;

/**
 * Whether one belief about a member is newer than another: a later start wins,
 * then more refutations, then the worse health. So a false suspicion stands
 * until the member itself contradicts it, and no late message of an earlier
 * start changes anything.
 */
export function supersedes(heard: MemberRecord, known: MemberRecord): boolean {
  const starts = heard.member.incarnation - known.member.incarnation;
  if (starts !== 0) return starts > 0;
  const refutations = heard.refutations - known.refutations;
  if (refutations !== 0) return refutations > 0;
  return HEALTHS.indexOf(heard.health) > HEALTHS.indexOf(known.health);
}

/** Joins two beliefs about one member; undefined when `heard` adds nothing. */
export function joinRecords(
  known: MemberRecord,
  heard: MemberRecord,
): MemberRecord | undefined {
  const newer = supersedes(heard, known);
  if (heard.member.incarnation !== known.member.incarnation) {
    return newer ? heard : undefined;
  }
  const leaving = known.leaving || heard.leaving;
  if (!newer && leaving === known.leaving) return undefined;
  return { ...(newer ? heard : known), leaving };
}

/** Whether the member itself said that it is gone. */
export function hasLeft(record: MemberRecord): boolean {
  return record.health === "removed" && record.by === record.member.name;
}

const encoded = new WeakMap<MemberRecord, Buffer>();

/** Encodes a record. The bytes are kept, since a record is sent often. */
export function encodeRecord(record: MemberRecord): Buffer {
  const known = encoded.get(record);
  if (known !== undefined) return known;
  const { member, refutations, health, leaving, by } = record;
  const state = HEALTHS.indexOf(health) | (leaving ? LEAVING_BIT : 0);
  const bytes = encodeItem([
    member.name,
    member.incarnation,
    refutations,
    state,
    member.address,
    member.port,
    member.region,
    member.failureDomain,
    by === member.name ? null : by,
  ]);
  encoded.set(record, bytes);
  return bytes;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Decodes a record; undefined when the bytes hold none. */
export function decodeRecord(bytes: unknown): MemberRecord | undefined {
  if (!(bytes instanceof Uint8Array)) return undefined;
  const decoded = decodeItem(bytes);
  if (decoded.isErr() || !Array.isArray(decoded.value)) return undefined;
  const item: readonly unknown[] = decoded.value;
  const [name, incarnation, refutations, state, address, port, ...rest] = item;
  const [region, failureDomain, by] = rest;
  if (typeof name !== "string" || !isAddress(address)) return undefined;
  if (!isCount(incarnation) || !isCount(refutations)) return undefined;
  if (!isCount(state) || !isPort(port)) return undefined;
  if (typeof region !== "string") return undefined;
  if (typeof failureDomain !== "string") return undefined;
  const health = HEALTHS[state & HEALTH_MASK];
  if (health === undefined) return undefined;
  return {
    member: { name, address, port, region, failureDomain, incarnation },
    refutations,
    health,
    leaving: (state & LEAVING_BIT) !== 0,
    by: typeof by === "string" ? by : name,
  };
}
