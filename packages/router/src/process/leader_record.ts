/**
 * What daemons keep in the platform's store of what one of them does for all.
 *
 * @module
 */
import type { LeaseHolding } from "@umbermast/coordination/lease_rules";
import type { RunnerOrder } from "./runner_order.ts";
import type { Counts } from "./usage_meter.ts";

/** The requests of one window as they are reported, always with these counts. */
export interface UsageReport {
  readonly window: number;
  readonly counts: Counts;
  /** Whether the platform has taken it. */
  readonly accepted: boolean;
}

/** What is known of the windows that are not reported yet. */
export interface UsageCheckpoint {
  /** Lives of daemons whose counts are in it. */
  readonly lives: readonly string[];
  readonly windows: readonly {
    readonly window: number;
    readonly counts: Counts;
  }[];
}

/** What a leader hands on to the next one. */
export interface LeaderState {
  /** First window without a report; none before the first leader's look. */
  readonly nextWindow: number | undefined;
  /** The last windows that have a report, in their order. */
  readonly reports: readonly UsageReport[];
  readonly checkpoint: UsageCheckpoint;
  /** The last order for each place and kind. */
  readonly orders: readonly RunnerOrder[];
}

/** The object in the store: who leads, and what was decided. */
export interface LeaderRecord {
  readonly holding: LeaseHolding;
  readonly work: LeaderState;
}

/** A leader's record at a revision of the store. */
export interface StoredRecord {
  readonly revision: number;
  readonly record: LeaderRecord;
}

/** What became of a conditional write. */
export type RecordWriteResult =
  | { readonly kind: "written"; readonly revision: number }
  /** Another revision is there, or none. */
  | { readonly kind: "conflict"; readonly found: StoredRecord | undefined };

/**
 * The record in the platform's store. Both calls throw `FeedError` when there is
 * no answer, also when the write may have taken effect.
 */
export interface LeaderStore {
  /** The record, if there is one. */
  read(): Promise<StoredRecord | undefined>;
  /** @param ifRevision revision that it replaces; 0 when there is none. */
  write(record: LeaderRecord, ifRevision: number): Promise<RecordWriteResult>;
}

/** Work of a fleet that nobody has led yet. */
export const INITIAL_STATE: LeaderState = {
  nextWindow: undefined,
  reports: [],
  checkpoint: { lives: [], windows: [] },
  orders: [],
};
