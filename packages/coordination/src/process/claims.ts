/**
 * Claims, which ensure that a request that must not be repeated runs at most
 * once.
 *
 * @module
 */
import type * as Effect from "effect/Effect";

/** A small answer that is kept with its claim, for later attempts. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly {
    readonly name: string;
    readonly value: string;
  }[];
  readonly body: Uint8Array;
}

/** Outcome of the request under a claim. */
export type ClaimSettlement =
  /** A complete answer was received; it is kept if it is small enough. */
  | { readonly _tag: "Answered"; readonly answer?: KeptAnswer }
  /** At least part was sent, and no complete answer was received. */
  | { readonly _tag: "MayHaveRun" }
  /** The request was certainly not run; the key is free again. */
  | { readonly _tag: "NotRun" };

/** The right to send one request once. */
export interface Claim {
  readonly key: string;
  /** Unique; identifies this claim in the store. */
  readonly id: string;
  /**
   * Whether the request may still be sent; false once too much time has passed
   * since the claim, for example after a pause. Check it immediately before
   * sending, and settle as `NotRun` if it is false.
   */
  mayStart(): boolean;
  /**
   * Records the outcome. Never fails: if the settlement cannot be recorded, the
   * claim remains, and a later attempt learns that the request may have run.
   * The effect completes when the settlement is queued, not when it is durable.
   */
  settle(settlement: ClaimSettlement): Effect.Effect<void>;
}

/** Result of requesting a claim. */
export type ClaimOutcome =
  /** The claim is recorded in the store; the request may be sent once. */
  | { readonly _tag: "Claimed"; readonly claim: Claim }
  /** Another attempt holds the key, and no answer to it is kept. */
  | {
    readonly _tag: "Taken";
    /** Member that holds the claim. */
    readonly by: string;
    readonly state: "running" | "answered" | "may-have-run";
  }
  /** An earlier attempt with the same body received this answer. */
  | { readonly _tag: "Answered"; readonly answer: KeptAnswer }
  /** The key was used with a different body. */
  | { readonly _tag: "Mismatch" };

/** No claim was made, and none will be used; the request was not run. */
export interface ClaimUnavailable {
  readonly _tag: "ClaimUnavailable";
  readonly reason: "store" | "full";
  /** Message for callers; identical for the same reason. */
  readonly message: string;
  /** Detail for operators: the last failure. */
  readonly detail?: string;
  readonly retryAfterMs: number;
}

/** Makes claims on idempotency keys. */
export interface Claims {
  /**
   * Claims a key before the one request that it covers is sent. Completes
   * within a time limit, even while the store is down.
   *
   * @param key scoped by the caller, such as workspace, service and the
   * caller's idempotency key combined.
   */
  claim(
    key: string,
    options: {
      /**
       * Digest of everything that identifies the request: method, path and
       * body.
       */
      readonly digest: string;
    },
  ): Effect.Effect<ClaimOutcome, ClaimUnavailable>;
}
