/**
 * Settings of claims and their defaults.
 *
 * @module
 */
import type { ClaimLimits } from "./claim_ledger.ts";

/** Settings of claims. */
export interface ClaimSettings {
  /** Bound on making a claim, in milliseconds; 2,000 by default. */
  readonly timeoutMs: number;
  /** How long after the claim a send may start, in milliseconds; 5,000 by default. */
  readonly startWithinMs: number;
  /**
   * How long a later try is sure to meet an earlier claim, in milliseconds; ten
   * minutes by default. The first process that ever starts fixes it in the store.
   */
  readonly windowMs: number;
  /** Number of partitions, 8 by default; fixed in the store like the window. */
  readonly partitions: number;
  /** How long claims are gathered into one write, in milliseconds; 1 by default. */
  readonly batchMs: number;
  /** Bound on the writes for all claims of the deployment a second; 112 by default. */
  readonly writesPerSecond: number;
  /** Largest answer that is kept, as stored; 4 KiB by default. */
  readonly maxAnswerBytes: number;
  /** How long a settlement is tried while the store is down; a minute by default. */
  readonly settlePatienceMs: number;
  /** Bounds of the objects in the store. */
  readonly limits: Omit<ClaimLimits, "retentionMs">;
}

/** Settings of claims where none are given. */
export const DEFAULT_CLAIM_SETTINGS: ClaimSettings = {
  timeoutMs: 2_000,
  startWithinMs: 5_000,
  windowMs: 600_000,
  partitions: 8,
  batchMs: 1,
  writesPerSecond: 112,
  maxAnswerBytes: 4_096,
  settlePatienceMs: 60_000,
  limits: { sealBytes: 49_152, answerBytes: 65_536, maxSegments: 2_048 },
};

/** Fills in the defaults. */
export function claimSettings(
  given: Partial<ClaimSettings> = {},
): ClaimSettings {
  return { ...DEFAULT_CLAIM_SETTINGS, ...given };
}
