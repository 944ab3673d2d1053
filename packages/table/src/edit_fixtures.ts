/**
 * Stores, edits and faults for tests of editing.
 *
 * @internal
 * @module
 */
import type { Store, Unavailable } from "@umbermast/coordination";
import { MemoryStore } from "@umbermast/coordination/testing";
import assert from "node:assert/strict";
import * as Effect from "effect/Effect";
import { diffTables } from "./change.ts";
import { readTable } from "./commit.ts";
import type { VersionedTable } from "./commit.ts";
import { createTable } from "./edit.ts";
import type { Edit } from "./edit.ts";
import { runOnVirtualClock } from "./virtual_clock.ts";
import { tableOf } from "./fixtures.ts";
import { readHistory } from "./history.ts";
import { TABLE_KIND } from "./stored_table.ts";
import type { Row } from "./table.ts";

/** A store that holds the table, written by the edit "first". */
export async function storeWithTable(): Promise<MemoryStore> {
  const store = new MemoryStore();
  const note = { editId: "first", editor: "ana", at: 1 };
  await runOnVirtualClock(
    createTable(store, { table: tableOf(), metadata: note }),
  );
  return store;
}

/** The stored table. */
export async function readFrom(store: Store): Promise<VersionedTable> {
  const read = await runOnVirtualClock(readTable(store));
  assert.ok(read !== undefined);
  return read;
}

/** An edit that sets one row, made from what the store holds now. */
export async function rowEdit(
  store: Store,
  row: Row,
  editId = "edit",
): Promise<Edit> {
  const { stored } = await readFrom(store);
  const rows = stored.table.rows.map((other) =>
    other.workspace === row.workspace && other.class === row.class ? row : other
  );
  return {
    editId,
    editor: "bo",
    at: 2,
    baseSequence: stored.sequence,
    changes: diffTables(stored.table, { ...stored.table, rows }),
  };
}

/** Ids of all edits, newest first. */
export async function historyIds(store: Store): Promise<readonly string[]> {
  const { stored } = await readFrom(store);
  const entries = await runOnVirtualClock(
    readHistory(store, stored, { after: 0 }),
  );
  return entries.map(({ editId }) => editId);
}

/** Weight of a row, by workspace and class. */
export async function weightOf(store: Store, key: string): Promise<number> {
  const { stored } = await readFrom(store);
  const row = stored.table.rows.find((row) =>
    `${row.workspace}/${row.class}` === key
  );
  return row?.weight ?? NaN;
}

/** What an effect fails with. */
export function failureOf<A, E>(effect: Effect.Effect<A, E>): Promise<E> {
  return runOnVirtualClock(Effect.flip(effect));
}

/** A store whose next write of the table meets a fault. */
export function withTableWriteFault(
  store: MemoryStore,
  fault: "lose-reply" | "lose-request",
  then: () => Effect.Effect<void> = () => Effect.void,
): Store {
  let pending = true;
  return store.withPlan(({ operation, kind }) => {
    if (operation === "read" && !pending) return Effect.as(then(), "none");
    if (operation !== "write" || kind !== TABLE_KIND || !pending) return "none";
    pending = false;
    return fault;
  });
}

/** Loses the first write of the table and delivers it when told to. */
export function withDelayedWrite(store: MemoryStore) {
  let late: Effect.Effect<unknown, unknown> | undefined;
  const failure: Unavailable = {
    _tag: "Unavailable",
    reason: "held up",
    mayHaveWritten: true,
  };
  const delaying: Store = {
    read: (kind, name) => store.read(kind, name),
    list: (kind) => store.list(kind),
    watch: (kind, options) => store.watch(kind, options),
    remove: (object, options) => store.remove(object, options),
    write: (object, options) => {
      if (late !== undefined || object.kind !== TABLE_KIND) {
        return store.write(object, options);
      }
      late = store.write(object, options);
      return Effect.fail(failure);
    },
  };
  const deliver = Effect.suspend(() => Effect.exit(late ?? Effect.void));
  return { delaying, deliver };
}
