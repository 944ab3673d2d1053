/**
 * Messages between a claimant and the member that serves a partition.
 *
 * @module
 */
import type { ClaimDecision, PartitionRequest } from "./claim_decision.ts";
import type { Undecided } from "./claim_partition.ts";
import { decodeRecord, encodeRecord } from "./claim_record.ts";
import type { ClaimState } from "./claim_record.ts";

/** Peer channel of the messages. */
export const CLAIMS_CHANNEL = "claims";

const MAX_BUDGET_MS = 60_000;
const STATES = ["running", "answered", "may-have-run", "withdrawn"];

/** A request, with the time for which its sender waits for the decision. */
export interface ClaimMessage {
  readonly partition: number;
  readonly request: PartitionRequest;
  readonly budgetMs: number;
}

/** Encodes a request for the wire; a claim is encoded as a running record. */
export function encodeMessage(message: ClaimMessage): unknown {
  const { partition, request, budgetMs } = message;
  const state = request._tag === "Claim" ? "running" : request.state;
  return { partition, budgetMs, record: encodeRecord({ ...request, state }) };
}

/** Decodes a request; returns undefined if it is not valid. */
export function decodeMessage(value: unknown): ClaimMessage | undefined {
  const message = value as Partial<Record<string, unknown>> | null;
  const record = decodeRecord(message?.["record"]);
  const partition = message?.["partition"];
  const budgetMs = message?.["budgetMs"];
  if (record === undefined) return undefined;
  if (!isCount(partition) || !isCount(budgetMs)) return undefined;
  if (budgetMs > MAX_BUDGET_MS) return undefined;
  const { key, digest, id, by, state } = record;
  const request: PartitionRequest = state === "running"
    ? { _tag: "Claim", key, digest, id, by }
    : { _tag: "Settle", ...record, state };
  return { partition, request, budgetMs };
}

/** Decodes a decision; returns undefined if it is not valid. */
export function decodeDecision(
  value: unknown,
): ClaimDecision | Undecided | undefined {
  const decision = value as Partial<Record<string, unknown>> | null;
  switch (decision?.["_tag"]) {
    case "Claimed":
    case "Mismatch":
    case "Withdrawn":
    case "Full":
    case "Settled":
      return { _tag: decision["_tag"] };
    case "Taken":
      return decodeTaken(decision);
    case "Answered":
      return decodeAnswered(decision);
    case "Undecided":
      return {
        _tag: "Undecided",
        reason: String(decision["reason"]),
        mayStand: decision["mayStand"] !== false,
      };
    default:
      return undefined;
  }
}

function decodeTaken(
  decision: Partial<Record<string, unknown>>,
): ClaimDecision | undefined {
  const { by, state } = decision;
  if (typeof by !== "string" || !STATES.includes(state as string)) {
    return undefined;
  }
  return { _tag: "Taken", by, state: state as ClaimState };
}

function decodeAnswered(
  decision: Partial<Record<string, unknown>>,
): ClaimDecision | undefined {
  const answer = decision["answer"] as Record<string, unknown> | undefined;
  const headers = answer?.["headers"];
  const status = answer?.["status"];
  const body = answer?.["body"];
  if (typeof status !== "number" || !(body instanceof Uint8Array)) {
    return undefined;
  }
  if (!Array.isArray(headers)) return undefined;
  const namedHeaders = headers.map((header: Record<string, unknown>) => ({
    name: String(header?.["name"]),
    value: String(header?.["value"]),
  }));
  return { _tag: "Answered", answer: { status, headers: namedHeaders, body } };
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
