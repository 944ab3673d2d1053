/**
 * Resolution of edits whose outcome is unknown.
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

/** The edit was not accepted and can no longer be accepted. */
export interface Closed {
  readonly _tag: "Closed";
  readonly version: number;
  /** The edit that closed it. */
  readonly entry: HistoryEntry;
}

/**
 * Determines whether an edit was accepted, and closes it if it was not.
 *
 * An edit that is not in the history may still be in flight: its write may be
 * delayed in the network, or its editor may still be retrying. Closing it writes
 * an edit without changes. A delayed write then finds a later version and fails,
 * and an editor that retries finds the closing entry and fails with `EditClosed`.
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
  return commit(
    store,
    (current) => decideResolution(store, request, current),
    options,
  );
}

function decideResolution(
  store: Store,
  request: { readonly editId: string; readonly closing: EditMetadata },
  current: VersionedTable | undefined,
): Effect.Effect<
  Decision<Accepted | Closed, TableMissing>,
  Unavailable | HistoryMissing
> {
  return Effect.gen(function* () {
    if (current === undefined) {
      return { _tag: "Refused", error: { _tag: "TableMissing" } } as const;
    }
    const { editId, closing } = request;
    const { version, stored } = current;
    const baseSequence = baseSequenceOf(editId);
    const entry = yield* findEdit(store, current, { editId, baseSequence });
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
    const closingEntry = value.history.at(-1) as HistoryEntry;
    const decision = writeDecision(value, closingEntry);
    if (decision._tag !== "Write") return decision;
    return {
      ...decision,
      toResult: (written: VersionedTable): Closed => ({
        _tag: "Closed",
        version: written.version,
        entry: closingEntry,
      }),
    };
  });
}
