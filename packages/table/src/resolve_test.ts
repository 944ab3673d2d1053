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

/**
 * Applies an edit whose write has a fault, with the store down afterwards, so that
 * the write cannot be read back and the outcome is unknown. Resolving the edit
 * once the store is back must report what happened, and that must not change.
 */
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

test("an unknown edit that was accepted is resolved as accepted", async () => {
  const store = await storeWithTable();
  const { editId } = await unknownEdit(store, "lose-reply");
  const outcome = await runOnVirtualClock(
    resolveEdit(store, { editId, closing: CLOSING }),
  );
  assert.equal(outcome._tag, "Accepted");
  assert.deepEqual(await historyIds(store), ["edit", "first"]);
});

test("an unknown edit that was not accepted is closed permanently", async () => {
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

// The first write is still in flight when another operator resolves the edit as
// not accepted. The closing edit raises the version, so the write must fail when
// it arrives.
test("a write that arrives after its edit was closed is rejected", async () => {
  const store = await storeWithTable();
  const edit = await rowEdit(store, rowOf({ weight: 5 }));
  const { delayedStore, deliver } = withDelayedWrite(store);
  await failureOf(applyEdit(delayedStore, edit, { retryTimeoutMs: 0 }));
  const { editId } = edit;
  const outcome = await runOnVirtualClock(
    resolveEdit(store, { editId, closing: CLOSING }),
  );
  await runOnVirtualClock(deliver);
  assert.equal(outcome._tag, "Closed");
  assert.equal(await weightOf(store, "office/quote"), 1);
});
