import { MemoryStore } from "@umbermast/coordination/testing";
import type { Store, Unavailable } from "@umbermast/coordination";
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { diffTables } from "./change.ts";
import { readTable } from "./commit.ts";
import type { TableRead } from "./commit.ts";
import { applyEdit, createTable } from "./edit.ts";
import type { Edit } from "./edit.ts";
import { runFast } from "./fast_clock.ts";
import { rowOf, tableOf } from "./fixtures.ts";
import { entriesBack } from "./history.ts";
import { resolveEdit } from "./resolve.ts";
import { tableAt } from "./rollback.ts";
import { TABLE_KIND } from "./stored_table.ts";
import type { Row } from "./table.ts";

async function storeWithTable(): Promise<MemoryStore> {
  const store = new MemoryStore();
  const note = { editId: "first", editor: "ana", at: 1 };
  await runFast(createTable(store, { table: tableOf(), note }));
  return store;
}

async function readFrom(store: Store): Promise<TableRead> {
  const read = await runFast(readTable(store));
  assert.ok(read !== undefined);
  return read;
}

/** An edit that sets one row, made from what the store holds now. */
async function editOf(
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

async function historyOf(store: Store): Promise<readonly string[]> {
  const { stored } = await readFrom(store);
  const entries = await runFast(entriesBack(store, stored, { after: 0 }));
  return entries.map(({ editId }) => editId);
}

async function weightOf(store: Store, key: string): Promise<number> {
  const { stored } = await readFrom(store);
  const row = stored.table.rows.find((row) =>
    `${row.workspace}/${row.class}` === key
  );
  return row?.weight ?? NaN;
}

function failureOf<A, E>(effect: Effect.Effect<A, E>): Promise<E> {
  return runFast(Effect.flip(effect));
}

/** A store whose next write of the table meets a fault. */
function faultyOnce(
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
function delayingStore(store: MemoryStore) {
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

test("an edit is accepted, in the table and in the history", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  const accepted = await runFast(applyEdit(store, edit));
  const { version, stored } = await readFrom(store);
  assert.equal(accepted._tag, "Accepted");
  assert.equal(accepted.version, version);
  assert.equal(await weightOf(store, "office/quote"), 5);
  assert.deepEqual(stored.history.at(-1), {
    editId: "edit",
    editor: "bo",
    at: 2,
    sequence: 2,
    changes: edit.changes,
  });
});

test("an edit that changes nothing writes nothing", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf());
  const outcome = await runFast(applyEdit(store, edit));
  assert.equal(outcome._tag, "Unchanged");
  assert.deepEqual(await historyOf(store), ["first"]);
});

test("edits of two operators to disjoint rows both stand", async () => {
  const store = await storeWithTable();
  const one = await editOf(store, rowOf({ weight: 5 }), "one");
  const other = await editOf(
    store,
    rowOf({ workspace: "fitters", weight: 6 }),
    "other",
  );
  await runFast(Effect.all([applyEdit(store, one), applyEdit(store, other)], {
    concurrency: "unbounded",
  }));
  assert.equal(await weightOf(store, "office/quote"), 5);
  assert.equal(await weightOf(store, "fitters/quote"), 6);
  assert.equal((await historyOf(store)).length, 3);
});

test("the later of two edits to one row gets both values and changes nothing", async () => {
  const store = await storeWithTable();
  const later = await editOf(store, rowOf({ weight: 6 }), "later");
  const earlier = await editOf(store, rowOf({ weight: 5 }), "earlier");
  await runFast(applyEdit(store, earlier));
  assert.deepEqual(await failureOf(applyEdit(store, later)), {
    _tag: "EditConflict",
    conflicts: [{
      section: "rows",
      key: "office/quote",
      base: rowOf(),
      mine: rowOf({ weight: 6 }),
      theirs: rowOf({ weight: 5 }),
    }],
  });
  assert.equal(await weightOf(store, "office/quote"), 5);
});

// The operator's edit takes effect and the reply is lost. Trying again blindly
// would meet the edit's own version as a conflict, or apply it twice; reading
// back and finding its id reports it as accepted, once.
test("an edit whose reply was lost is accepted once", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  const outcome = await runFast(
    applyEdit(faultyOnce(store, "lose-reply"), edit),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyOf(store), ["edit", "first"]);
});

test("an edit whose request was lost is sent again and accepted once", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  const outcome = await runFast(
    applyEdit(faultyOnce(store, "lose-request"), edit),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyOf(store), ["edit", "first"]);
});

// The reply of an accepted edit is lost, and before its writer reads back so
// many others edit that its entry has left the table's object, one of them on
// the same row. Without the pages the writer would see a conflict and report
// an accepted edit as refused.
test("a lost reply is resolved also when the edit's entry has moved to a page", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  let others = 100;
  const busy = () =>
    Effect.promise(async () => {
      while (others > 0) {
        others -= 1;
        const row = rowOf({ weight: 10 + others });
        const edit = await editOf(store, row, `other-${others}`);
        await runFast(applyEdit(store, edit));
      }
    });
  const outcome = await runFast(
    applyEdit(faultyOnce(store, "lose-reply", busy), edit),
  );
  const { stored } = await readFrom(store);
  assert.ok(!stored.history.some(({ editId }) => editId === "edit"));
  assert.equal(outcome._tag, "Accepted");
  assert.equal((await historyOf(store)).length, 102);
});

// The first write is held up by the network and arrives after the second one,
// which the editor sent because it found its edit missing. Both are conditional
// on the same version, so the late one is refused.
test("a write that arrives late does not apply the edit twice", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  const { delaying, deliver } = delayingStore(store);
  const outcome = await runFast(applyEdit(delaying, edit));
  await runFast(deliver);
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyOf(store), ["edit", "first"]);
});

test("with the store down before any write the edit is not accepted", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  const down = store.withPlan(() => "refuse");
  const failure = await failureOf(applyEdit(down, edit));
  assert.equal(failure._tag, "NotAccepted");
  assert.deepEqual(await historyOf(store), ["first"]);
});

/** Applies an edit whose write meets a fault, with the store down afterwards. */
async function unknownEdit(
  store: MemoryStore,
  fault: "lose-reply" | "lose-request",
): Promise<Edit> {
  const edit = await editOf(store, rowOf({ weight: 5 }));
  let written = false;
  const failing = store.withPlan(({ operation }) => {
    if (written) return "refuse";
    if (operation !== "write") return "none";
    written = true;
    return fault;
  });
  const failure = await failureOf(applyEdit(failing, edit));
  assert.equal(failure._tag, "UnknownWhetherAccepted");
  return edit;
}

const CLOSING = { editId: "closing", editor: "bo", at: 3 };

// The store goes down between the write and the reading back, so the operator
// is told that it is unknown. Once the store is back, resolving must say what
// truly happened, and its answer must stay true.
test("an unknown edit that had been accepted is resolved as accepted", async () => {
  const store = await storeWithTable();
  const { editId } = await unknownEdit(store, "lose-reply");
  const outcome = await runFast(
    resolveEdit(store, { editId, closing: CLOSING }),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyOf(store), ["edit", "first"]);
});

test("an unknown edit that had not been accepted is closed for good", async () => {
  const store = await storeWithTable();
  const edit = await unknownEdit(store, "lose-request");
  const { editId } = edit;
  const outcome = await runFast(
    resolveEdit(store, { editId, closing: CLOSING }),
  );
  assert.equal(outcome._tag, "Closed");
  const failure = await failureOf(applyEdit(store, edit));
  assert.equal(failure._tag, "EditClosed");
  assert.equal(await weightOf(store, "office/quote"), 1);
  const again = await runFast(
    resolveEdit(store, { editId, closing: { ...CLOSING, editId: "again" } }),
  );
  assert.equal(again._tag, "Closed");
  assert.deepEqual(await historyOf(store), ["closing", "first"]);
});

// The operator's first write is still on its way when a colleague resolves the
// edit as not accepted. The closing edit has raised the version, so the write
// is refused when it arrives, and the answer given stays true.
test("a write that arrives after its edit was closed is refused", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  const { delaying, deliver } = delayingStore(store);
  await failureOf(applyEdit(delaying, edit, { giveUpAfterMs: 0 }));
  const { editId } = edit;
  const outcome = await runFast(
    resolveEdit(store, { editId, closing: CLOSING }),
  );
  await runFast(deliver);
  assert.equal(outcome._tag, "Closed");
  assert.equal(await weightOf(store, "office/quote"), 1);
});

test("an edit that is applied again with its id is accepted once", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  await runFast(applyEdit(store, edit));
  const between = await editOf(store, rowOf({ weight: 6 }), "between");
  await runFast(applyEdit(store, between));
  const outcome = await runFast(applyEdit(store, edit));
  assert.equal(outcome._tag, "Accepted");
  assert.equal(await weightOf(store, "office/quote"), 6);
});

test("a page of history that is gone is said so, not passed over", async () => {
  const store = await storeWithTable();
  const edit = await editOf(store, rowOf({ weight: 5 }));
  for (let at = 0; at < 80; at += 1) {
    const other = await editOf(store, rowOf({ weight: 10 + at }), `o${at}`);
    await runFast(applyEdit(store, other));
  }
  const pages = await runFast(store.list("table-history"));
  for (const { kind, name, version } of pages.items) {
    await runFast(store.remove({ kind, name }, { ifVersion: version }));
  }
  const failure = await failureOf(applyEdit(store, edit));
  assert.equal(failure._tag, "HistoryMissing");
});

test("rollback brings an earlier table back by a new edit", async () => {
  const store = await storeWithTable();
  for (let at = 1; at <= 100; at += 1) {
    const edit = await editOf(store, rowOf({ weight: 1 + at }), `e${at}`);
    await runFast(applyEdit(store, edit));
  }
  const read = await readFrom(store);
  const earlier = await runFast(tableAt(store, { read, editId: "e3" }));
  const edit: Edit = {
    editId: "back",
    editor: "bo",
    at: 4,
    baseSequence: read.stored.sequence,
    changes: diffTables(read.stored.table, earlier),
  };
  await runFast(applyEdit(store, edit));
  assert.equal(await weightOf(store, "office/quote"), 4);
  assert.equal((await historyOf(store)).length, 102);
  const missing = tableAt(store, { read, editId: "nothing" });
  assert.equal((await failureOf(missing))._tag, "EditNotFound");
});

test("a second first version is refused, the same one is not", async () => {
  const store = await storeWithTable();
  const table = tableOf();
  const note = { editId: "first", editor: "ana", at: 1 };
  const again = await runFast(createTable(store, { table, note }));
  assert.equal(again._tag, "Accepted");
  const other = createTable(store, { table, note: { ...note, editId: "x" } });
  assert.equal((await failureOf(other))._tag, "TableExists");
});

test("a table beyond the store's limit is refused before it is sent", async () => {
  const store = await storeWithTable();
  const { stored } = await readFrom(store);
  const workspaces = Array.from({ length: 10_000 }, (_, at) => ({
    name: `workspace-${at}`,
    keyDigests: [at.toString(16).padStart(64, "0")],
    defaultClass: "quote",
  }));
  const wanted = {
    ...stored.table,
    workspaces: [...stored.table.workspaces, ...workspaces],
  };
  const failure = await failureOf(applyEdit(store, {
    editId: "large",
    editor: "bo",
    at: 2,
    baseSequence: 1,
    changes: diffTables(stored.table, wanted),
  }));
  assert.equal(failure._tag, "TooLarge");
});
