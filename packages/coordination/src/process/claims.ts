/**
 * Claims: at most one run of a request that may not be repeated.
 *
 * @module
 */
import type * as Effect from "effect/Effect";

/** A small answer that is kept with its claim, for a second try. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly {
    readonly name: string;
    readonly value: string;
  }[];
  readonly body: Uint8Array;
}

/** How the work under a claim ended. */
export type ClaimSettlement =
  /** A whole answer was received; it is kept when small enough. */
  | { readonly _tag: "Answered"; readonly answer?: KeptAnswer }
  /** Something was sent and no whole answer came. */
  | { readonly _tag: "MayHaveRun" }
  /** It certainly did not run; the key is free again. */
  | { readonly _tag: "NotRun" };

/** The right to send one request once. */
export interface Claim {
  readonly key: string;
  /** Unique; identifies this claim in the store. */
  readonly id: string;
  /**
   * Whether the send may still start; false once too much time has passed since
   * the claim, as after a pause. Ask immediately before the send, and settle as
   * `NotRun` when it is false.
   */
  mayStart(): boolean;
  /**
   * Tells how it ended. Never fails: a settlement that cannot be recorded leaves
   * the claim standing, so that a second try is told that it may have run.
   * The effect ends when the settlement is queued, not when it is durable.
   */
  settle(settlement: ClaimSettlement): Effect.Effect<void>;
}

/** What came of asking for a claim. */
export type ClaimOutcome =
  /** The claim is in the store: send once. */
  | { readonly _tag: "Claimed"; readonly claim: Claim }
  /** Another try has the key, and no answer of it is kept. */
  | {
    readonly _tag: "Taken";
    /** Member that holds the claim. */
    readonly by: string;
    readonly state: "running" | "answered" | "may-have-run";
  }
  /** An earlier try with the same body was answered so. */
  | { readonly _tag: "Answered"; readonly answer: KeptAnswer }
  /** The key was used with another body. */
  | { readonly _tag: "Mismatch" };

/** No claim was made, and none will be used: the request was not run. */
export interface ClaimUnavailable {
  readonly _tag: "ClaimUnavailable";
  readonly reason: "store" | "full";
  /** For callers; the same for the same reason. */
  readonly message: string;
  /** For operators: what failed last. */
  readonly detail?: string;
  readonly retryAfterMs: number;
}

/** Makes claims on idempotency keys. */
export interface Claims {
  /**
   * Claims a key before the one send that it stands for. Ends within a bound,
   * also while the store is down.
   *
   * @param key scoped by the caller, such as workspace, service and the caller's
   * idempotency key together.
   */
  claim(
    key: string,
    options: {
      /** Digest of all that makes the request what it is: method, path, body. */
      readonly digest: string;
    },
  ): Effect.Effect<ClaimOutcome, ClaimUnavailable>;
}
