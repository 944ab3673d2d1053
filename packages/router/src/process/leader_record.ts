/**
 * The leader's record in the platform's store.
 *
 * @module
 */
import type { LeaseHolding } from "@umbermast/coordination/lease_rules";
import type { RunnerOrder } from "./runner_order.ts";
import type { Counts } from "./usage_meter.ts";

/**
 * The final usage counts of one time window. Every attempt to send the report
 * sends the same counts.
 */
export interface UsageReport {
  readonly window: number;
  readonly counts: Counts;
  /** Whether the platform has accepted the report. */
  readonly accepted: boolean;
  /**
   * Whether the leader waits for further counts, and may replace these until it has
   * sent them. It sends them while the store does not answer, so that a successor
   * must not replace them. Absent if the counts are final.
   */
  readonly held?: true | undefined;
}

/** Usage counts collected so far for the windows without a report. */
export interface UsageCheckpoint {
  /** Incarnations of the daemons whose counts are included. */
  readonly lives: readonly string[];
  readonly windows: readonly {
    readonly window: number;
    readonly counts: Counts;
    /**
     * Further incarnations, whose counts of this window come from the checkpoint
     * of an earlier leader; absent if there are none.
     */
    readonly carried?: readonly string[] | undefined;
  }[];
}

/** State that a leader hands over to its successor. */
export interface LeaderState {
  /**
   * First window without a decision whether it is reported; undefined until the
   * first leader sets it.
   */
  readonly nextWindow: number | undefined;
  /**
   * Earlier windows that still wait for counts; absent if there are none. They are
   * apart from `nextWindow` so that a leader of a version that does not know them
   * leaves them out, and reports no later window twice.
   */
  readonly open?: readonly number[] | undefined;
  /** The latest reports, ordered by window. */
  readonly reports: readonly UsageReport[];
  readonly checkpoint: UsageCheckpoint;
  /** The latest order for each pool of runners. */
  readonly orders: readonly RunnerOrder[];
}

/** The object that the leader stores. */
export interface LeaderRecord {
  /** Epoch of the store when the leader last knew it; see `storeRevision`. */
  readonly epoch: number;
  /** The leader's lease. */
  readonly holding: LeaseHolding;
  /** The leader's state, which its successor continues from. */
  readonly work: LeaderState;
}

/** The record and its revision in the store, of the store's present epoch. */
export interface StoredRecord {
  /** Start of the epoch if there is no record; see {@linkcode storeRevision}. */
  readonly revision: number;
  /** Undefined if there is none. */
  readonly record: LeaderRecord | undefined;
}

/** Result of a conditional write. */
export type RecordWriteResult =
  /** In a later epoch than the expected one, another record may be replaced. */
  | { readonly kind: "written"; readonly revision: number }
  /** The store holds another revision, or no record. */
  | { readonly kind: "conflict"; readonly found: StoredRecord };

/**
 * Access to the record in the platform's store. Both calls reject with
 * `FeedError` if no response arrives; a write may have taken effect nevertheless.
 */
export interface LeaderStore {
  /** Returns the record. */
  read(): Promise<StoredRecord>;
  /**
   * Replaces the record.
   *
   * @param ifRevision revision to be replaced, as it was read.
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
