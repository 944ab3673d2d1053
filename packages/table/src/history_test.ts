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

test("a lost reply is resolved also when the edit's entry has moved to a page", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  let others = 100;
  const busy = () =>
    Effect.promise(async () => {
      while (others > 0) {
        others -= 1;
        const row = rowOf({ weight: 10 + others });
        const edit = await rowEdit(store, row, `other-${others}`);
        await runOnVirtualClock(applyEdit(store, edit));
      }
    });
  const outcome = await runOnVirtualClock(
    applyEdit(withTableWriteFault(store, "lose-reply", busy), edit),
  );
  const { stored } = await readFrom(store);
  assert.ok(!stored.history.some(({ editId }) => editId === "edit"));
  assert.equal(outcome._tag, "Accepted");
  assert.equal((await historyIds(store)).length, 102);
});

test("a page of history that is gone is said so, not passed over", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  for (let at = 0; at < 80; at += 1) {
    const other = await rowEdit(store, rowOf({ weight: 10 + at }), `o${at}`);
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
