/**
 * What runners state about themselves in any of their responses.
 *
 * @module
 */
import type { Runner } from "./runner.ts";

/** Statements in one response of a runner. */
export interface RunnerStatements {
  /** Whether the runner is shutting down and accepts no new requests. */
  readonly draining: boolean;
  /**
   * Milliseconds for which the runner wants no requests of this daemon, if it
   * refuses one and asks for a pause.
   */
  readonly pauseMs: number | undefined;
  /**
   * Rejections in a second beyond which the runner falls over; absent if it states
   * none.
   */
  readonly brittlePerS: number | undefined;
}

/** Receives the statements in a runner's response. */
export type StatementListener = (
  runner: Runner,
  statements: RunnerStatements,
) => void;
