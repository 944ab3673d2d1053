/**
 * Going back to an earlier version of the table, by a new edit.
 *
 * @module
 */
import type { Store, Unavailable } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import { diffTables } from "./change.ts";
import type { Change } from "./change.ts";
import type { TableRead } from "./commit.ts";
import { entriesBack } from "./history.ts";
import type { HistoryMissing } from "./history.ts";
import type { HistoryEntry } from "./history_entry.ts";
import { invertChanges, mergeChanges } from "./merge.ts";
import type { MergeFailure } from "./merge.ts";
import type { Table } from "./table.ts";

/** The history holds no such edit. */
export interface EditNotFound {
  readonly _tag: "EditNotFound";
  readonly editId: string;
}

/**
 * The changes that bring the table back to how it was right after an edit, to
 * be applied as an edit of their own.
 *
 * @example
 * ```ts
 * const changes = await Effect.runPromise(
 *   rollbackChanges(store, { read, editId }),
 * );
 * ```
 */
export function rollbackChanges(
  store: Store,
  target: { readonly read: TableRead; readonly editId: string },
): Effect.Effect<
  readonly Change[],
  Unavailable | HistoryMissing | EditNotFound | MergeFailure
> {
  return Effect.gen(function* () {
    const { editId, read } = target;
    const entries = yield* entriesBack(store, read.stored, {
      after: 0,
      until: (entry) => entry.editId === editId,
    });
    if (entries.at(-1)?.editId !== editId) {
      return yield* Effect.fail<EditNotFound>({ _tag: "EditNotFound", editId });
    }
    const later = entries.slice(0, -1);
    const back = withoutEdits(read.stored.table, later);
    if (back._tag !== "Back") return yield* Effect.fail(back);
    return diffTables(read.stored.table, back.table);
  });
}

/** Takes edits back one by one, newest first. */
function withoutEdits(
  table: Table,
  newestFirst: readonly HistoryEntry[],
): { readonly _tag: "Back"; readonly table: Table } | MergeFailure {
  let back = table;
  for (const { changes } of newestFirst) {
    const merged = mergeChanges(back, invertChanges(changes));
    if (merged.isErr()) return merged.error;
    back = merged.value.table;
  }
  return { _tag: "Back", table: back };
}
