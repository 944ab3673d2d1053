/**
 * The leader's record in the platform's store.
 *
 * @module
 */
import type { LeaseHolding } from "@umbermast/coordination/lease_rules";
import type { RunnerOrder } from "./runner_order.ts";
import type { Counts } from "./usage_meter.ts";

/** The final counts of one window. Every attempt to report it sends the same. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Counts;
  /** Whether the platform has accepted the report. */
  readonly accepted: boolean;
}

/** Known counts of the windows that have no report yet. */
export interface UsageCheckpoint {
  /** Incarnations of the daemons whose counts are included. */
  readonly lives: readonly string[];
  readonly windows: readonly {
    readonly window: number;
    readonly counts: Counts;
  }[];
}

/** State that a leader hands over to its successor. */
export interface LeaderState {
  /** First window without a report; undefined before the first leader's first step. */
  readonly nextWindow: number | undefined;
  /** The latest reports, ordered by window. */
  readonly reports: readonly UsageReport[];
  readonly checkpoint: UsageCheckpoint;
  /** The latest order for each pool of runners. */
  readonly orders: readonly RunnerOrder[];
}

/** The stored object: the lease, and the state of the leader. */
export interface LeaderRecord {
  readonly holding: LeaseHolding;
  readonly work: LeaderState;
}

/** The record, with the revision at which the store holds it. */
export interface StoredRecord {
  readonly revision: number;
  readonly record: LeaderRecord;
}

/** Result of a conditional write. */
export type RecordWriteResult =
  | { readonly kind: "written"; readonly revision: number }
  /** The store holds another revision, or no record. */
  | { readonly kind: "conflict"; readonly found: StoredRecord | undefined };

/**
 * Access to the record in the platform's store. Both calls throw `FeedError`
 * without a response, even though a write may have taken effect.
 */
export interface LeaderStore {
  /** Returns the record, if there is one. */
  read(): Promise<StoredRecord | undefined>;
  /**
   * Replaces the record.
   *
   * @param ifRevision revision to be replaced; 0 if there is no record.
   */
  write(record: LeaderRecord, ifRevision: number): Promise<RecordWriteResult>;
}

/** State of a fleet that has had no leader yet. */
export const INITIAL_STATE: LeaderState = {
  nextWindow: undefined,
  reports: [],
  checkpoint: { lives: [], windows: [] },
  orders: [],
};
