/**
 * What is recorded of edits and of the versions that daemons have in force.
 *
 * @module
 */

/** What an operator was told of an edit in the end. */
export type EditFate = "accepted" | "conflict" | "not-accepted" | "unresolved";

/** One edit as its operator saw it; moments in monotonic milliseconds. */
export interface EditRecord {
  readonly editId: string;
  readonly fate: EditFate;
  /** When the operator knew that it was accepted. */
  readonly acceptedAt?: number;
  /** A version of the table that holds it. */
  readonly version?: number;
}

/** What a daemon had in force when it was asked. */
export interface Sighting {
  readonly daemon: string;
  readonly at: number;
  /** 0 when it knew no table yet. */
  readonly version: number;
}

/** A time in which a daemon was not running. */
export interface Absence {
  readonly daemon: string;
  readonly from: number;
  /** When it first answered again; absent if it did not. */
  readonly to?: number;
}

/** Everything recorded of one scenario. */
export interface EditRun {
  readonly edits: readonly EditRecord[];
  readonly sightings: readonly Sighting[];
  readonly absences: readonly Absence[];
  readonly daemons: readonly string[];
  /** Ids in the stored history at the end, in any order. */
  readonly history: readonly string[];
  /** Reads and watches that the daemons made, and for how long. */
  readonly storeReads: number;
  readonly durationMs: number;
}
