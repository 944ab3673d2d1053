/**
 * Earlier versions of the table, worked out from the history.
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

/** The history holds no such edit. */
export interface EditNotFound {
  readonly _tag: "EditNotFound";
  readonly editId: string;
}

/**
 * The table as it stood right after an edit. Its difference from the table of
 * now, applied as an edit, is a rollback.
 *
 * @example
 * ```ts
 * const earlier = await Effect.runPromise(tableAt(store, { read, editId }));
 * const changes = diffTables(read.stored.table, earlier);
 * ```
 */
export function tableAt(
  store: Store,
  target: { readonly read: VersionedTable; readonly editId: string },
): Effect.Effect<
  Table,
  Unavailable | HistoryMissing | EditNotFound | MergeFailure
> {
  return Effect.gen(function* () {
    const { editId, read } = target;
    const entries = yield* readHistory(store, read.stored, {
      after: 0,
      until: (entry) => entry.editId === editId,
    });
    if (entries.at(-1)?.editId !== editId) {
      return yield* Effect.fail<EditNotFound>({ _tag: "EditNotFound", editId });
    }
    const before = withoutEdits(read.stored.table, entries.slice(0, -1));
    return yield* before.isOk()
      ? Effect.succeed(before.value)
      : Effect.fail(before.error);
  });
}

/** Takes edits back one by one, newest first. */
function withoutEdits(
  table: Table,
  newestFirst: readonly HistoryEntry[],
): Result<Table, MergeFailure> {
  let before = table;
  for (const { changes } of newestFirst) {
    const merged = mergeChanges(before, invertChanges(changes));
    if (merged.isErr()) return err(merged.error);
    before = merged.value.table;
  }
  return ok(before);
}
