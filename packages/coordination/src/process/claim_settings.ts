/**
 * Settings of claims and their defaults.
 *
 * @module
 */
import type { ClaimLimits } from "./claim_ledger.ts";

/** Settings of claims. */
export interface ClaimSettings {
  /** Time-out of making a claim, in milliseconds; 2,000 by default. */
  readonly timeoutMs: number;
  /**
   * Time after the claim within which its request may be sent, in milliseconds;
   * 5,000 by default.
   */
  readonly startWithinMs: number;
  /**
   * Time for which a later attempt is guaranteed to find an earlier claim, in
   * milliseconds; ten minutes by default. The first process that ever starts
   * fixes it in the store.
   */
  readonly windowMs: number;
  /** Number of partitions, 8 by default; fixed in the store like the window. */
  readonly partitions: number;
  /**
   * Time for which claims are collected into one write, in milliseconds; 1 by
   * default.
   */
  readonly batchMs: number;
  /**
   * Maximum writes per second for all claims of the deployment; 112 by default.
   */
  readonly writesPerSecond: number;
  /** Maximum size of an answer that is kept, as stored; 4 KiB by default. */
  readonly maxAnswerBytes: number;
  /**
   * Time for which a settlement is retried while the store is down, in
   * milliseconds; a minute by default.
   */
  readonly settlePatienceMs: number;
  /** Limits of the objects in the store. */
  readonly limits: Omit<ClaimLimits, "retentionMs">;
}

/** Default settings of claims. */
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

/** Returns the given settings, completed with the defaults. */
export function claimSettings(
  given: Partial<ClaimSettings> = {},
): ClaimSettings {
  return { ...DEFAULT_CLAIM_SETTINGS, ...given };
}
