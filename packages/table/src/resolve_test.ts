import type { MemoryStore } from "@umbermast/coordination/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { applyEdit } from "./edit.ts";
import type { Edit } from "./edit.ts";
import {
  failureOf,
  historyIds,
  rowEdit,
  storeWithTable,
  weightOf,
  withDelayedWrite,
} from "./edit_fixtures.ts";
import { runOnVirtualClock } from "./virtual_clock.ts";
import { rowOf } from "./fixtures.ts";
import { resolveEdit } from "./resolve.ts";

async function unknownEdit(
  store: MemoryStore,
  fault: "lose-reply" | "lose-request",
): Promise<Edit> {
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
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

test("an unknown edit that had been accepted is resolved as accepted", async () => {
  const store = await storeWithTable();
  const { editId } = await unknownEdit(store, "lose-reply");
  const outcome = await runOnVirtualClock(
    resolveEdit(store, { editId, closing: CLOSING }),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyIds(store), ["edit", "first"]);
});

test("an unknown edit that had not been accepted is closed for good", async () => {
  const store = await storeWithTable();
  const edit = await unknownEdit(store, "lose-request");
  const { editId } = edit;
  const outcome = await runOnVirtualClock(
    resolveEdit(store, { editId, closing: CLOSING }),
  );
  assert.equal(outcome._tag, "Closed");
  const failure = await failureOf(applyEdit(store, edit));
  assert.equal(failure._tag, "EditClosed");
  assert.equal(await weightOf(store, "office/quote"), 1);
  const again = await runOnVirtualClock(
    resolveEdit(store, { editId, closing: { ...CLOSING, editId: "again" } }),
  );
  assert.equal(again._tag, "Closed");
  assert.deepEqual(await historyIds(store), ["closing", "first"]);
});

test("a write that arrives after its edit was closed is refused", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const { delaying, deliver } = withDelayedWrite(store);
  await failureOf(applyEdit(delaying, edit, { retryTimeoutMs: 0 }));
  const { editId } = edit;
  const outcome = await runOnVirtualClock(
    resolveEdit(store, { editId, closing: CLOSING }),
  );
  await runOnVirtualClock(deliver);
  assert.equal(outcome._tag, "Closed");
  assert.equal(await weightOf(store, "office/quote"), 1);
});
