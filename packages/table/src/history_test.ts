import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { applyEdit } from "./edit.ts";
import {
  failureOf,
  historyIds,
  readFrom,
  rowEdit,
  storeWithTable,
  withTableWriteFault,
} from "./edit_fixtures.ts";
import { runOnVirtualClock } from "./virtual_clock.ts";
import { rowOf } from "./fixtures.ts";

// The reply of an accepted edit is lost. Before its editor reads back, 100 other
// edits move its entry to a page, and they change the same row. Without the pages
// the editor would see a conflict and report the accepted edit as refused.
test("a lost reply is resolved even if the edit's entry has moved to a page", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  let remaining = 100;
  const editConcurrently = () =>
    Effect.promise(async () => {
      while (remaining > 0) {
        remaining -= 1;
        const row = rowOf({ weight: 10 + remaining });
        const edit = await rowEdit(store, row, `other-${remaining}`);
        await runOnVirtualClock(applyEdit(store, edit));
      }
    });
  const outcome = await runOnVirtualClock(
    applyEdit(withTableWriteFault(store, "lose-reply", editConcurrently), edit),
  );
  const { stored } = await readFrom(store);
  assert.ok(!stored.history.some(({ editId }) => editId === "edit"));
  assert.equal(outcome._tag, "Accepted");
  assert.equal((await historyIds(store)).length, 102);
});

test("a missing page of the history is reported, not skipped", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  for (let index = 0; index < 80; index += 1) {
    const other = await rowEdit(
      store,
      rowOf({ weight: 10 + index }),
      `o${index}`,
    );
    await runOnVirtualClock(applyEdit(store, other));
  }
  const pages = await runOnVirtualClock(store.list("table-history"));
  for (const { kind, name, version } of pages.items) {
    await runOnVirtualClock(
      store.remove({ kind, name }, { ifVersion: version }),
    );
  }
  const failure = await failureOf(applyEdit(store, edit));
  assert.equal(failure._tag, "HistoryMissing");
});
