import assert from "node:assert/strict";
import { test } from "node:test";
import { diffTables } from "./change.ts";
import { applyEdit } from "./edit.ts";
import type { Edit } from "./edit.ts";
import {
  editOf,
  failureOf,
  historyOf,
  readFrom,
  storeWithTable,
  weightOf,
} from "./edit_fixtures.ts";
import { runFast } from "./fast_clock.ts";
import { rowOf } from "./fixtures.ts";
import { tableAt } from "./table_at.ts";

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
