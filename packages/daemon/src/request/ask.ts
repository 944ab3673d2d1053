/**
 * What a request asks of the scheduler, and what it is granted.
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
  /** Bounds the output, when the caller gave a bound. */
  readonly maxTokens?: number;
  /** Digest of the prompt's beginning, for prefix affinity. */
  readonly prefixDigest?: string;
  /** Epoch milliseconds after which the answer is of no use. */
  readonly deadline: number;
  /** Names of runners that this request must not be given again. */
  readonly excluded: readonly string[];
}

/** A slot at a runner, held until it is released. */
export interface Grant {
  readonly askId: string;
  readonly runner: Runner;
  /** Epoch milliseconds after which the slot may not be used for a new send. */
  readonly expiresAt: number;
  /** Gives the slot back. Later calls have no effect. */
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
  /** When the caller should come back, in milliseconds. */
  readonly retryAfterMs: number;
}
