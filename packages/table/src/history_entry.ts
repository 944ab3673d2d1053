/**
 * Entries of the edit history, and their validation.
 *
 * @module
 */
import * as Schema from "effect/Schema";
import type { Result } from "neverthrow";
import type { Change } from "./change.ts";
import { decoderOf } from "./decode.ts";
import type { Finding } from "./finding.ts";

/** Identity, author, time and purpose of an edit. */
export interface EditMetadata {
  /** Unique id of the edit; retries of the edit use the same id. */
  readonly editId: string;
  /** Name of the operator. */
  readonly editor: string;
  /** Time of the edit by the operator's clock, in epoch milliseconds. */
  readonly at: number;
  readonly note?: string;
}

/** One accepted edit. */
export interface HistoryEntry extends EditMetadata {
  /** Position of the edit, counted from 1 without gaps. */
  readonly sequence: number;
  readonly changes: readonly Change[];
  /** Id of an edit that this entry closes: it can no longer be accepted. */
  readonly closes?: string;
}

// The table's entries in `before` and `after` are not validated here: they need
// not be valid in the current table, and are validated with it when a rollback
// restores them.
const CHANGE = Schema.Struct({
  section: Schema.Literals(["classes", "workspaces", "rows", "services"]),
  key: Schema.String,
  before: Schema.optionalKey(Schema.Unknown),
  after: Schema.optionalKey(Schema.Unknown),
});

const HISTORY = Schema.Array(Schema.Struct({
  sequence: Schema.Int,
  editId: Schema.String,
  editor: Schema.String,
  at: Schema.Finite,
  note: Schema.optionalKey(Schema.String),
  closes: Schema.optionalKey(Schema.String),
  changes: Schema.Array(CHANGE),
}));

const decode = decoderOf(HISTORY);

/**
 * Validates history entries read from the store.
 *
 * @internal
 */
export function decodeHistory(
  value: unknown,
): Result<readonly HistoryEntry[], readonly Finding[]> {
  return decode(value).map((entries) => entries as readonly HistoryEntry[]);
}
