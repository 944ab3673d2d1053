/**
 * Decision rules of the claim protocol. The functions are pure and take the
 * contents of one version of a partition. The conditional update that follows
 * ensures that no other process has changed the partition in the meantime.
 *
 * @module
 */
import type { KeptAnswer } from "./claims.ts";
import type { ClaimRecord, ClaimState } from "./claim_record.ts";

/**
 * A request for a claim. A retry with the same id refers to the same claim. The
 * fields are those of the {@linkcode ClaimRecord}.
 */
export interface ClaimRequest {
  readonly _tag: "Claim";
  readonly key: string;
  readonly digest: string;
  readonly id: string;
  readonly by: string;
}

/** A request to record the outcome of a claim. */
export interface SettleRequest {
  readonly _tag: "Settle";
  readonly key: string;
  readonly digest: string;
  readonly id: string;
  readonly by: string;
  readonly state: Exclude<ClaimState, "running">;
  readonly answer?: KeptAnswer;
}

/** A request to a partition. */
export type PartitionRequest = ClaimRequest | SettleRequest;

/**
 * Decision on a request. An `Append` adds its record to the partition, and takes
 * effect only once the record is written.
 */
export type ClaimDecision =
  | { readonly _tag: "Append"; readonly record: ClaimRecord }
  /** The claim is recorded in the store. */
  | { readonly _tag: "Claimed" }
  /** Another attempt holds the key, and no answer to it is kept. */
  | {
    readonly _tag: "Taken";
    readonly by: string;
    readonly state: ClaimState;
  }
  /** An earlier attempt with the same digest received this answer. */
  | { readonly _tag: "Answered"; readonly answer: KeptAnswer }
  /** The key was claimed with a different digest. */
  | { readonly _tag: "Mismatch" }
  /** The claimant has already withdrawn this claim, so it must not be used. */
  | { readonly _tag: "Withdrawn" }
  /** The partition has no capacity until older claims expire. */
  | { readonly _tag: "Full" }
  /** The settlement is recorded already, or no running claim matches it. */
  | { readonly _tag: "Settled" };

/**
 * Decides a request against the latest record of its key.
 *
 * @example
 * ```ts
 * decideRequest(undefined, request); // { _tag: "Append", record }
 * ```
 */
export function decideRequest(
  found: ClaimRecord | undefined,
  request: PartitionRequest,
): ClaimDecision {
  if (request._tag === "Claim") return decideClaim(found, request);
  return decideSettlement(found, request);
}

function decideClaim(
  found: ClaimRecord | undefined,
  request: ClaimRequest,
): ClaimDecision {
  if (found === undefined) return appendRunning(request);
  // A record with the request's own id means that an earlier write of this
  // claim took effect although its response was lost, or that the request was
  // delivered twice.
  if (found.id === request.id) {
    return { _tag: found.state === "withdrawn" ? "Withdrawn" : "Claimed" };
  }
  if (found.state === "withdrawn") return appendRunning(request);
  if (found.digest !== request.digest) return { _tag: "Mismatch" };
  if (found.answer !== undefined) {
    return { _tag: "Answered", answer: found.answer };
  }
  return { _tag: "Taken", by: found.by, state: found.state };
}

function decideSettlement(
  found: ClaimRecord | undefined,
  request: SettleRequest,
): ClaimDecision {
  const { _tag: _, ...record } = request;
  if (found?.id === request.id) {
    if (found.state !== "running") return { _tag: "Settled" };
    return { _tag: "Append", record };
  }
  // A withdrawal can overtake its own claim, which may still be queued at a
  // slow member. Recording the withdrawal first prevents the claim from being
  // made after its claimant has given up.
  const free = found === undefined || found.state === "withdrawn";
  if (free && request.state === "withdrawn") return { _tag: "Append", record };
  return { _tag: "Settled" };
}

function appendRunning(request: ClaimRequest): ClaimDecision {
  const { key, digest, id, by } = request;
  return {
    _tag: "Append",
    record: { key, digest, id, by, state: "running" },
  };
}

/**
 * Returns the segments that can be dropped: the longest run of the oldest
 * segments that this process has known for the whole retention time.
 *
 * A segment's claims were made before it was sealed, and it was sealed before
 * any process could learn of it. The time since this process learnt of it, on
 * its own monotonic clock, is therefore at most the age of the segment's
 * youngest claim, regardless of other clocks. A pause or a restart only
 * shortens that time.
 */
export function expiredSegments(
  segments: readonly number[],
  options: {
    readonly knownSince: ReadonlyMap<number, number>;
    readonly now: number;
    readonly retentionMs: number;
  },
): readonly number[] {
  const firstKept = segments.findIndex((segment) => {
    const since = options.knownSince.get(segment);
    return since === undefined || options.now - since < options.retentionMs;
  });
  return firstKept === -1 ? segments : segments.slice(0, firstKept);
}
