/**
 * Messages between holders of limits and their owners.
 *
 * @module
 */
import type { Offer } from "./share_holding.ts";

/** Channel of the messages. */
export const SHARES_CHANNEL = "shares";

/** An owner's stamp on an answer, which the holder's next report echoes. */
export interface OwnerTimestamp {
  /** Unique for each process that ever started. */
  readonly owner: string;
  /** The owner's clock that never goes back. */
  readonly at: number;
}

/** One limit in a report. */
export interface LimitOffer extends Offer {
  readonly limit: string;
  readonly holder: string;
}

/** What a process that holds limits tells one owner of them. */
export interface ShareReport {
  readonly stamp?: OwnerTimestamp;
  readonly offers: readonly LimitOffer[];
}

/** The owner's answer; grants are in the order of the offers. */
export interface GrantResponse {
  readonly stamp: OwnerTimestamp;
  readonly grants: readonly number[];
}

/** Reads a report; undefined when it is not valid. */
export function decodeReport(value: unknown): ShareReport | undefined {
  const report = value as Partial<Record<string, unknown>> | null | undefined;
  const offers = report?.["offers"];
  if (!Array.isArray(offers) || !offers.every(isOffer)) return undefined;
  const stamp = decodeTimestamp(report?.["stamp"]);
  return stamp === undefined ? { offers } : { stamp, offers };
}

/** Reads an answer; undefined when it is not valid. */
export function decodeResponse(value: unknown): GrantResponse | undefined {
  const answer = value as Partial<Record<string, unknown>> | null | undefined;
  const stamp = decodeTimestamp(answer?.["stamp"]);
  const grants = answer?.["grants"];
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
