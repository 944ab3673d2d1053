/**
 * Named points between two steps at which a test can stop a process.
 *
 * @module
 */
import * as Effect from "effect/Effect";

/** A point between two steps of the claim protocol, the lease or a send. */
export type CrashPoint =
  | "claim.before_ask"
  | "claim.after_ask"
  | "claim.before_seal"
  | "claim.after_seal"
  | "claim.before_write"
  | "claim.after_write"
  | "claim.before_settle"
  | "claim.after_settle"
  | "lease.before_write"
  | "lease.after_write"
  | "send.before_bytes"
  | "send.after_bytes"
  | "answer.before_end"
  | "answer.after_end"
  | "release.before"
  | "release.after";

/** Receives each crash point that the code reaches. */
export interface CrashPoints {
  /**
   * Runs at the point. An effect that never completes simulates a pause, and
   * one that dies a crash of the task; the default does nothing.
   */
  reached(point: CrashPoint): Effect.Effect<void>;
}

/** Crash points that do nothing. */
export const NO_CRASH_POINTS: CrashPoints = { reached: () => Effect.void };
