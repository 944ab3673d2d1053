/**
 * Decisions of the claim protocol. Each is a plain function of what one version
 * of a partition holds; that nobody else changed it since is proved by the
 * conditional update that follows.
 *
 * @module
 */
import type { KeptAnswer } from "./claims.ts";
import type { ClaimRecord, ClaimState } from "./claim_record.ts";

/** Asks for a claim; asked again with the same id it is the same claim. */
export interface ClaimRequest {
  readonly _tag: "Claim";
  readonly key: string;
  readonly digest: string;
  readonly id: string;
  readonly by: string;
}

/** Tells what became of a claim. */
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

/** Answer to a request. `Append` must be written before it counts. */
export type ClaimDecision =
  | { readonly _tag: "Append"; readonly record: ClaimRecord }
  /** The claim stands in the store. */
  | { readonly _tag: "Claimed" }
  | {
    readonly _tag: "Taken";
    readonly by: string;
    readonly state: ClaimState;
  }
  | { readonly _tag: "Answered"; readonly answer: KeptAnswer }
  | { readonly _tag: "Mismatch" }
  /** The claimant gave this very claim up earlier; it must not be used. */
  | { readonly _tag: "Withdrawn" }
  /** The partition has no room before older claims age out. */
  | { readonly _tag: "Full" }
  /** A settlement that is recorded, or that nothing waits for. */
  | { readonly _tag: "Settled" };

/**
 * Judges a request against the latest record of its key.
 *
 * @example
 * ```ts
 * judge(undefined, request); // { _tag: "Append", record }
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
  // One's own id proves that an earlier write of this claim took effect though
  // its reply was lost, or that the request came twice.
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
  // A withdrawal can overtake its own claim, which may still wait at a slow
  // owner. Recorded first, it keeps the claim from being made for nobody.
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
 * The segments that may be dropped: the longest run of the oldest ones that
 * this process has known for the whole retention time.
 *
 * A segment's claims were made before it was sealed, and it was sealed before
 * anyone could learn of it. So the time since it was learnt, by one's own clock
 * that never goes back, is at most the age of its youngest claim, whatever
 * other clocks show. A pause or a restart only makes it shorter.
 */
export function expiredSegments(
  segments: readonly number[],
  known: {
    readonly learnt: ReadonlyMap<number, number>;
    readonly now: number;
    readonly retentionMs: number;
  },
): readonly number[] {
  const firstKept = segments.findIndex((segment) => {
    const learnt = known.learnt.get(segment);
    return learnt === undefined || known.now - learnt < known.retentionMs;
  });
  return firstKept === -1 ? segments : segments.slice(0, firstKept);
}
