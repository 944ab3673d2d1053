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

test("an accepted edit is in the table and in the history", async () => {
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

test("concurrent edits of different rows are both accepted", async () => {
  const store = await storeWithTable();
  const first = await rowEdit(store, rowOf({ weight: 5 }), "one");
  const second = await rowEdit(
    store,
    rowOf({ workspace: "fitters", weight: 6 }),
    "other",
  );
  await runOnVirtualClock(
    Effect.all([applyEdit(store, first), applyEdit(store, second)], {
      concurrency: "unbounded",
    }),
  );
  assert.equal(await weightOf(store, "office/quote"), 5);
  assert.equal(await weightOf(store, "fitters/quote"), 6);
  assert.equal((await historyIds(store)).length, 3);
});

test("a concurrent edit of the same row fails with a conflict that shows both values", async () => {
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

// The edit takes effect but its reply is lost. A retry without reading back would
// conflict with the edit's own version or apply the edit twice.
test("an edit whose reply was lost is accepted once", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const outcome = await runOnVirtualClock(
    applyEdit(withTableWriteFault(store, "lose-reply"), edit),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyIds(store), ["edit", "first"]);
});

test("an edit whose request was lost is retried and accepted once", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const outcome = await runOnVirtualClock(
    applyEdit(withTableWriteFault(store, "lose-request"), edit),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyIds(store), ["edit", "first"]);
});

// The network delays the first write until after the second one, which the editor
// sent because its edit was missing from the history. Both are conditional on the
// same version, so the delayed one must fail.
test("a delayed write does not apply the edit twice", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const { delayedStore, deliver } = withDelayedWrite(store);
  const outcome = await runOnVirtualClock(applyEdit(delayedStore, edit));
  await runOnVirtualClock(deliver);
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyIds(store), ["edit", "first"]);
});

test("an edit is not accepted if the store is down before any write", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const down = store.withPlan(() => "refuse");
  const failure = await failureOf(applyEdit(down, edit));
  assert.equal(failure._tag, "NotAccepted");
  assert.deepEqual(await historyIds(store), ["first"]);
});

test("an edit that is applied twice with the same id is accepted once", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  await runOnVirtualClock(applyEdit(store, edit));
  const between = await rowEdit(store, rowOf({ weight: 6 }), "between");
  await runOnVirtualClock(applyEdit(store, between));
  const outcome = await runOnVirtualClock(applyEdit(store, edit));
  assert.equal(outcome._tag, "Accepted");
  assert.equal(await weightOf(store, "office/quote"), 6);
});

test("creating the table again succeeds only with the same edit id", async () => {
  const store = await storeWithTable();
  const table = tableOf();
  const metadata = { editId: "first", editor: "ana", at: 1 };
  const again = await runOnVirtualClock(
    createTable(store, { table, metadata }),
  );
  assert.equal(again._tag, "Accepted");
  const otherEdit = createTable(store, {
    table,
    metadata: { ...metadata, editId: "x" },
  });
  assert.equal((await failureOf(otherEdit))._tag, "TableExists");
});

test("a table above the store's size limit is rejected before it is written", async () => {
  const store = await storeWithTable();
  const { stored } = await readFrom(store);
  const workspaces = Array.from({ length: 10_000 }, (_, index) => ({
    name: `workspace-${index}`,
    keyDigests: [index.toString(16).padStart(64, "0")],
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

test("an edit whose every write conflicts fails as not accepted", async () => {
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
