/**
 * Accepted edits, as the history keeps them.
 *
 * @module
 */
import * as Schema from "effect/Schema";
import type { Result } from "neverthrow";
import type { Change } from "./change.ts";
import { decoderOf } from "./decode.ts";
import type { Finding } from "./finding.ts";

/** Who edits, when and why. */
export interface EditMetadata {
  /** Unique for each edit; an edit that is tried again keeps it. */
  readonly editId: string;
  /** Name of the operator. */
  readonly editor: string;
  /** Epoch milliseconds, by the operator's clock. */
  readonly at: number;
  readonly note?: string;
}

/** One accepted edit. */
export interface HistoryEntry extends EditMetadata {
  /** 1 for the first edit of a table, then without gaps. */
  readonly sequence: number;
  readonly changes: readonly Change[];
  /** Id of an edit that is not accepted and from here on cannot be. */
  readonly closes?: string;
}

// Entries inside changes are history: they need not be valid in the table of
// today, and are checked with it when a rollback brings them back.
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
 * Checks entries read from the store.
 *
 * @internal
 */
export function decodeHistory(
  value: unknown,
): Result<readonly HistoryEntry[], readonly Finding[]> {
  return decode(value).map((entries) => entries as readonly HistoryEntry[]);
}
