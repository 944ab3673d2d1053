/**
 * Resolving edits of which it is unknown whether they were accepted.
 *
 * @module
 */
import type { Store, Unavailable } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import { commit } from "./commit.ts";
import type {
  CommitFailure,
  CommitOptions,
  Decision,
  VersionedTable,
} from "./commit.ts";
import { appendEdit, findEdit, writeDecision } from "./edit.ts";
import type { Accepted, TableMissing } from "./edit.ts";
import { baseSequenceOf } from "./edit_id.ts";
import type { HistoryMissing } from "./history.ts";
import type { EditMetadata, HistoryEntry } from "./history_entry.ts";

/** The edit was not accepted and cannot be any more. */
export interface Closed {
  readonly _tag: "Closed";
  readonly version: number;
  /** The edit that closed it. */
  readonly entry: HistoryEntry;
}

/**
 * Settles whether an edit was accepted.
 *
 * An edit that is not in the history may still be on its way: a write that the
 * network has held up, or an editor that is still trying. So it is closed by an
 * edit without changes: the write that is held up meets a later version, and
 * the editor finds the closing entry and reports it.
 *
 * @example
 * ```ts
 * const outcome = await Effect.runPromise(
 *   resolveEdit(store, { editId, closing }),
 * );
 * console.log(outcome._tag === "Accepted" ? "accepted" : "not accepted");
 * ```
 */
export function resolveEdit(
  store: Store,
  request: { readonly editId: string; readonly closing: EditMetadata },
  options: CommitOptions = {},
): Effect.Effect<Accepted | Closed, CommitFailure | TableMissing> {
  return commit(store, (read) => decide(store, request, read), options);
}

function decide(
  store: Store,
  request: { readonly editId: string; readonly closing: EditMetadata },
  read: VersionedTable | undefined,
): Effect.Effect<
  Decision<Accepted | Closed, TableMissing>,
  Unavailable | HistoryMissing
> {
  return Effect.gen(function* () {
    if (read === undefined) {
      return { _tag: "Refused", error: { _tag: "TableMissing" } } as const;
    }
    const { editId, closing } = request;
    const { version, stored } = read;
    const baseSequence = baseSequenceOf(editId);
    const entry = yield* findEdit(store, read, { editId, baseSequence });
    if (entry !== undefined) {
      const result: Accepted | Closed = entry.editId === editId
        ? { _tag: "Accepted", version, stored, entry }
        : { _tag: "Closed", version, entry };
      return { _tag: "Done", result } as const;
    }
    const value = appendEdit(stored, { ...closing, closes: editId }, {
      table: stored.table,
      changes: [],
    });
    const last = value.history.at(-1) as HistoryEntry;
    const decision = writeDecision(value, last);
    if (decision._tag !== "Write") return decision;
    return {
      ...decision,
      toResult: (written: VersionedTable): Closed => ({
        _tag: "Closed",
        version: written.version,
        entry: last,
      }),
    };
  });
}
