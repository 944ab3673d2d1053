/**
 * Messages between holders of limits and their owners.
 *
 * @module
 */
import type { Offer } from "./share_holding.ts";

/** Peer channel of the messages. */
export const SHARES_CHANNEL = "shares";

/**
 * Timestamp that an owner puts on a response, and that the holder's next report
 * echoes.
 */
export interface OwnerTimestamp {
  /** Unique to each process start. */
  readonly owner: string;
  /** Time on the owner's monotonic clock, in milliseconds. */
  readonly at: number;
}

/** A holder's offer for one limit, as part of a report. */
export interface LimitOffer extends Offer {
  readonly limit: string;
  readonly holder: string;
}

/** Report of a process to one owner of limits that it holds. */
export interface ShareReport {
  readonly stamp?: OwnerTimestamp;
  readonly offers: readonly LimitOffer[];
}

/** An owner's response; grants are in the order of the offers. */
export interface GrantResponse {
  readonly stamp: OwnerTimestamp;
  readonly grants: readonly number[];
}

/** Decodes a report; returns undefined if it is not valid. */
export function decodeReport(value: unknown): ShareReport | undefined {
  const report = value as Partial<Record<string, unknown>> | null | undefined;
  const offers = report?.["offers"];
  if (!Array.isArray(offers) || !offers.every(isOffer)) return undefined;
  const stamp = decodeTimestamp(report?.["stamp"]);
  return stamp === undefined ? { offers } : { stamp, offers };
}

/** Decodes a response; returns undefined if it is not valid. */
export function decodeResponse(value: unknown): GrantResponse | undefined {
  const response = value as Partial<Record<string, unknown>> | null | undefined;
  const stamp = decodeTimestamp(response?.["stamp"]);
  const grants = response?.["grants"];
  if (stamp === undefined || !Array.isArray(grants)) return undefined;
  return grants.every(isAmount) ? { stamp, grants } : undefined;
}

function decodeTimestamp(value: unknown): OwnerTimestamp | undefined {
  const stamp = value as Partial<Record<string, unknown>> | null | undefined;
  const owner = stamp?.["owner"];
  const at = stamp?.["at"];
  if (typeof owner !== "string" || typeof at !== "number") return undefined;
  return { owner, at };
}

function isOffer(value: unknown): value is LimitOffer {
  const offer = value as Partial<Record<keyof LimitOffer, unknown>> | null;
  return typeof offer?.limit === "string" &&
    typeof offer.holder === "string" &&
    isAmount(offer.yielded) && isAmount(offer.wanted);
}

function isAmount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
