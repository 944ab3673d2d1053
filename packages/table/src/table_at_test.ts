import assert from "node:assert/strict";
import { test } from "node:test";
import { diffTables } from "./change.ts";
import { applyEdit } from "./edit.ts";
import type { Edit } from "./edit.ts";
import {
  failureOf,
  historyIds,
  readFrom,
  rowEdit,
  storeWithTable,
  weightOf,
} from "./edit_fixtures.ts";
import { runOnVirtualClock } from "./virtual_clock.ts";
import { rowOf } from "./fixtures.ts";
import { tableAt } from "./table_at.ts";

test("a rollback restores an earlier table by a new edit", async () => {
  const store = await storeWithTable();
  for (let index = 1; index <= 100; index += 1) {
    const edit = await rowEdit(
      store,
      rowOf({ weight: 1 + index }),
      `e${index}`,
    );
    await runOnVirtualClock(applyEdit(store, edit));
  }
  const current = await readFrom(store);
  const earlier = await runOnVirtualClock(
    tableAt(store, { current, editId: "e3" }),
  );
  const edit: Edit = {
    editId: "back",
    editor: "bo",
    at: 4,
    baseSequence: current.stored.sequence,
    changes: diffTables(current.stored.table, earlier),
  };
  await runOnVirtualClock(applyEdit(store, edit));
  assert.equal(await weightOf(store, "office/quote"), 4);
  assert.equal((await historyIds(store)).length, 102);
  const missing = tableAt(store, { current, editId: "nothing" });
  assert.equal((await failureOf(missing))._tag, "EditNotFound");
});
