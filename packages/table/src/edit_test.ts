import type { Store } from "@umbermast/coordination";
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { diffTables } from "./change.ts";
import { applyEdit, createTable } from "./edit.ts";
import {
  failureOf,
  historyIds,
  readFrom,
  rowEdit,
  storeWithTable,
  weightOf,
  withDelayedWrite,
  withTableWriteFault,
} from "./edit_fixtures.ts";
import { runOnVirtualClock } from "./virtual_clock.ts";
import { rowOf, tableOf } from "./fixtures.ts";

test("an edit is accepted, in the table and in the history", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const accepted = await runOnVirtualClock(applyEdit(store, edit));
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
  const edit = await rowEdit(store, rowOf());
  const outcome = await runOnVirtualClock(applyEdit(store, edit));
  assert.equal(outcome._tag, "Unchanged");
  assert.deepEqual(await historyIds(store), ["first"]);
});

test("edits of two operators to disjoint rows both stand", async () => {
  const store = await storeWithTable();
  const one = await rowEdit(store, rowOf({ weight: 5 }), "one");
  const other = await rowEdit(
    store,
    rowOf({ workspace: "fitters", weight: 6 }),
    "other",
  );
  await runOnVirtualClock(
    Effect.all([applyEdit(store, one), applyEdit(store, other)], {
      concurrency: "unbounded",
    }),
  );
  assert.equal(await weightOf(store, "office/quote"), 5);
  assert.equal(await weightOf(store, "fitters/quote"), 6);
  assert.equal((await historyIds(store)).length, 3);
});

test("the later of two edits to one row gets both values and changes nothing", async () => {
  const store = await storeWithTable();
  const later = await rowEdit(store, rowOf({ weight: 6 }), "later");
  const earlier = await rowEdit(store, rowOf({ weight: 5 }), "earlier");
  await runOnVirtualClock(applyEdit(store, earlier));
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
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const outcome = await runOnVirtualClock(
    applyEdit(withTableWriteFault(store, "lose-reply"), edit),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyIds(store), ["edit", "first"]);
});

test("an edit whose request was lost is sent again and accepted once", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const outcome = await runOnVirtualClock(
    applyEdit(withTableWriteFault(store, "lose-request"), edit),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyIds(store), ["edit", "first"]);
});

// The reply of an accepted edit is lost, and before its writer reads back so
// many others edit that its entry has left the table's object, one of them on
// the same row. Without the pages the writer would see a conflict and report
// an accepted edit as refused.
// The first write is held up by the network and arrives after the second one,
// which the editor sent because it found its edit missing. Both are conditional
// on the same version, so the late one is refused.
test("a write that arrives late does not apply the edit twice", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const { delaying, deliver } = withDelayedWrite(store);
  const outcome = await runOnVirtualClock(applyEdit(delaying, edit));
  await runOnVirtualClock(deliver);
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyIds(store), ["edit", "first"]);
});

test("with the store down before any write the edit is not accepted", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const down = store.withPlan(() => "refuse");
  const failure = await failureOf(applyEdit(down, edit));
  assert.equal(failure._tag, "NotAccepted");
  assert.deepEqual(await historyIds(store), ["first"]);
});

/** Applies an edit whose write meets a fault, with the store down afterwards. */
// The store goes down between the write and the reading back, so the operator
// is told that it is unknown. Once the store is back, resolving must say what
// truly happened, and its answer must stay true.
// The operator's first write is still on its way when a colleague resolves the
// edit as not accepted. The closing edit has raised the version, so the write
// is refused when it arrives, and the answer given stays true.
test("an edit that is applied again with its id is accepted once", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  await runOnVirtualClock(applyEdit(store, edit));
  const between = await rowEdit(store, rowOf({ weight: 6 }), "between");
  await runOnVirtualClock(applyEdit(store, between));
  const outcome = await runOnVirtualClock(applyEdit(store, edit));
  assert.equal(outcome._tag, "Accepted");
  assert.equal(await weightOf(store, "office/quote"), 6);
});

test("a second first version is refused, the same one is not", async () => {
  const store = await storeWithTable();
  const table = tableOf();
  const note = { editId: "first", editor: "ana", at: 1 };
  const again = await runOnVirtualClock(
    createTable(store, { table, metadata: note }),
  );
  assert.equal(again._tag, "Accepted");
  const other = createTable(store, {
    table,
    metadata: { ...note, editId: "x" },
  });
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

test("an edit that meets another one each time gives up", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const conflicting: Store = {
    read: (kind, name) => store.read(kind, name),
    list: (kind) => store.list(kind),
    watch: (kind, options) => store.watch(kind, options),
    remove: (object, options) => store.remove(object, options),
    write: () => Effect.fail({ _tag: "Conflict", version: 99 } as const),
  };
  const failure = await failureOf(applyEdit(conflicting, edit));
  assert.equal(failure._tag, "NotAccepted");
});
