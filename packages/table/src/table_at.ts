/**
 * Earlier versions of the table, reconstructed from the history.
 *
 * @module
 */
import type { Store, Unavailable } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { VersionedTable } from "./commit.ts";
import { readHistory } from "./history.ts";
import type { HistoryMissing } from "./history.ts";
import type { HistoryEntry } from "./history_entry.ts";
import { invertChanges, mergeChanges } from "./merge.ts";
import type { MergeFailure } from "./merge.ts";
import type { Table } from "./table.ts";

/** The history contains no edit with this id. */
export interface EditNotFound {
  readonly _tag: "EditNotFound";
  readonly editId: string;
}

/**
 * Returns the table as it was right after an edit. To roll back to it, apply its
 * difference from the current table as a new edit.
 *
 * @example
 * ```ts
 * const earlier = await Effect.runPromise(tableAt(store, { current, editId }));
 * const changes = diffTables(current.stored.table, earlier);
 * ```
 */
export function tableAt(
  store: Store,
  target: { readonly current: VersionedTable; readonly editId: string },
): Effect.Effect<
  Table,
  Unavailable | HistoryMissing | EditNotFound | MergeFailure
> {
  return Effect.gen(function* () {
    const { editId, current } = target;
    const entries = yield* readHistory(store, current.stored, {
      after: 0,
      until: (entry) => entry.editId === editId,
    });
    if (entries.at(-1)?.editId !== editId) {
      return yield* Effect.fail<EditNotFound>({ _tag: "EditNotFound", editId });
    }
    const reverted = revertEdits(current.stored.table, entries.slice(0, -1));
    return yield* reverted.isOk()
      ? Effect.succeed(reverted.value)
      : Effect.fail(reverted.error);
  });
}

/** Reverts edits one by one, newest first. */
function revertEdits(
  table: Table,
  newestFirst: readonly HistoryEntry[],
): Result<Table, MergeFailure> {
  let reverted = table;
  for (const { changes } of newestFirst) {
    const merged = mergeChanges(reverted, invertChanges(changes));
    if (merged.isErr()) return err(merged.error);
    reverted = merged.value.table;
  }
  return ok(reverted);
}
