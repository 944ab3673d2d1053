import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreConfirmations } from "./store_confirmations.ts";

// Guards against data that never ages as daemons send each other its confirmation.
test("a confirmation that two daemons go on exchanging ages", () => {
  const [one, other] = ["one", "other"].map((name) =>
    new StoreConfirmations(name, 0)
  );
  one!.recordOwn(100);
  const networkMs = 5;
  for (let now = 200; now <= 5_000; now += 10) {
    for (const [from, to] of [[one!, other!], [other!, one!]] as const) {
      const { at, ...confirmation } = from.latest!;
      to.record({ ...confirmation, at: at + networkMs });
    }
  }
  assert.equal(one!.ageMs(5_000), 4_900);
  assert.equal(other!.ageMs(5_000), 4_900 - networkMs);
});

test("the latest of several confirmations counts, whatever their order", () => {
  const confirmations = new StoreConfirmations("own", 0);
  assert.equal(confirmations.ageMs(50), 50, "since the start");
  confirmations.record({ origin: "a", sequence: 2, at: 300 });
  confirmations.record({ origin: "b", sequence: 1, at: 200 });
  confirmations.record({ origin: "a", sequence: 1, at: 400 });
  assert.equal(confirmations.latest?.at, 300);
  assert.equal(confirmations.othersAt, 300);
});
