/**
 * Records of members' states, their precedence and their encoding.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { decodeItem, encodeItem } from "./codec.ts";
import { isAddress, isPort } from "./endpoint.ts";
import type { Member } from "./membership.ts";

/** Health of a member. A removed member is absent from the view. */
export type Health = "alive" | "suspect" | "removed";

/** The state of a member, as reported by one member. */
export interface MemberRecord {
  readonly member: Member;
  /**
   * How often this incarnation of the member has refuted that it is suspect or
   * removed. Only the member itself increments it.
   */
  readonly refutations: number;
  readonly health: Health;
  /**
   * The member has announced that it leaves; not reset within an incarnation.
   */
  readonly leaving: boolean;
  /** Name of the member that reported this state. */
  readonly by: string;
}

const HEALTHS: readonly Health[] = ["alive", "suspect", "removed"];
const LEAVING_BIT = 4;
const HEALTH_MASK = 3;

/**
 * Whether one record of a member takes precedence over another: the higher
 * incarnation wins, then more refutations, then the worse health. A false
 * suspicion therefore stands until the member itself refutes it, and a delayed
 * message of an earlier incarnation changes nothing.
 */
export function supersedes(
  received: MemberRecord,
  known: MemberRecord,
): boolean {
  const incarnations = received.member.incarnation - known.member.incarnation;
  if (incarnations !== 0) return incarnations > 0;
  const refutations = received.refutations - known.refutations;
  if (refutations !== 0) return refutations > 0;
  return HEALTHS.indexOf(received.health) > HEALTHS.indexOf(known.health);
}

/** Merges two records of one member; undefined when `received` adds nothing. */
export function mergeRecords(
  known: MemberRecord,
  received: MemberRecord,
): MemberRecord | undefined {
  const newer = supersedes(received, known);
  if (received.member.incarnation !== known.member.incarnation) {
    return newer ? received : undefined;
  }
  const leaving = known.leaving || received.leaving;
  if (!newer && leaving === known.leaving) return undefined;
  return { ...(newer ? received : known), leaving };
}

/** Whether the member itself announced that it has left. */
export function hasLeft(record: MemberRecord): boolean {
  return record.health === "removed" && record.by === record.member.name;
}

const encoded = new WeakMap<MemberRecord, Buffer>();

/** Encodes a record. The bytes are cached, since a record is sent often. */
export function encodeRecord(record: MemberRecord): Buffer {
  const cached = encoded.get(record);
  if (cached !== undefined) return cached;
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

/** Decodes a record; undefined if the bytes are not a valid record. */
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
