/**
 * Asks for slots at runners, and the grants and refusals that answer them.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import type { Settlement } from "../process/scheduling/settlement.ts";

export type { Settlement };

/** A request for a slot at a runner. */
export interface Ask {
  /** Unique over all daemons; a retry of the same request has a new one. */
  readonly askId: string;
  readonly requestId: string;
  readonly service: string;
  /** Absent for a plain service. */
  readonly model?: string;
  readonly workspace: string;
  readonly class: string;
  /** Prompt tokens, estimated from the body. */
  readonly promptTokens: number;
  /** Maximum number of output tokens, if the caller set one. */
  readonly maxTokens?: number;
  /** Digest of the prompt's prefix, for prefix affinity. */
  readonly prefixDigest?: string;
  /** Epoch milliseconds after which the response is useless. */
  readonly deadline: number;
  /** Names of runners that this request must not be given again. */
  readonly excluded: readonly string[];
}

/** A slot at a runner, held until it is released. */
export interface Grant {
  readonly askId: string;
  readonly runner: Runner;
  /** Epoch milliseconds after which no new send may use the slot. */
  readonly expiresAt: number;
  /** Releases the slot. Later calls have no effect. */
  release(settlement: Settlement): void;
}

/** Why no slot was granted. The request was not run. */
export interface Refusal {
  readonly _tag: "Refusal";
  readonly code:
    | "queue_full"
    | "limit_reached"
    | "deadline_passed"
    | "no_runner"
    | "leaving";
  readonly message: string;
  /** Suggested retry delay, in milliseconds. */
  readonly retryAfterMs: number;
}
