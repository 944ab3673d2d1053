/**
 * Stores, edits and injected faults for tests of edits.
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

/** A store that holds the table as created by the edit "first". */
export async function storeWithTable(): Promise<MemoryStore> {
  const store = new MemoryStore();
  const metadata = { editId: "first", editor: "ana", at: 1 };
  await runOnVirtualClock(
    createTable(store, { table: tableOf(), metadata }),
  );
  return store;
}

/** Reads the stored table. */
export async function readFrom(store: Store): Promise<VersionedTable> {
  const read = await runOnVirtualClock(readTable(store));
  assert.ok(read !== undefined);
  return read;
}

/** An edit of one row, based on the currently stored table. */
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

/** Ids of all edits in the history, newest first. */
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

/** Runs an effect that must fail, and returns its failure. */
export function failureOf<A, E>(effect: Effect.Effect<A, E>): Promise<E> {
  return runOnVirtualClock(Effect.flip(effect));
}

/**
 * A store whose next write of the table has a fault. `beforeRead` runs before
 * each read after it.
 */
export function withTableWriteFault(
  store: MemoryStore,
  fault: "lose-reply" | "lose-request",
  beforeRead: () => Effect.Effect<void> = () => Effect.void,
): Store {
  let armed = true;
  return store.withPlan(({ operation, kind }) => {
    if (operation === "read" && !armed) return Effect.as(beforeRead(), "none");
    if (operation !== "write" || kind !== TABLE_KIND || !armed) return "none";
    armed = false;
    return fault;
  });
}

/**
 * A store whose first write of the table is delayed until `deliver` runs, and
 * fails for its caller as if the reply had been lost.
 */
export function withDelayedWrite(store: MemoryStore) {
  let delayedWrite: Effect.Effect<unknown, unknown> | undefined;
  const failure: Unavailable = {
    _tag: "Unavailable",
    reason: "held up",
    mayHaveWritten: true,
  };
  const delayedStore: Store = {
    read: (kind, name) => store.read(kind, name),
    list: (kind) => store.list(kind),
    watch: (kind, options) => store.watch(kind, options),
    remove: (object, options) => store.remove(object, options),
    write: (object, options) => {
      if (delayedWrite !== undefined || object.kind !== TABLE_KIND) {
        return store.write(object, options);
      }
      delayedWrite = store.write(object, options);
      return Effect.fail(failure);
    },
  };
  const deliver = Effect.suspend(() =>
    Effect.exit(delayedWrite ?? Effect.void)
  );
  return { delayedStore, deliver };
}
