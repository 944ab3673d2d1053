import assert from "node:assert/strict";
import { test } from "node:test";
import { relayOf } from "./relay_plan.ts";

const FLEET = [
  { name: "a-1", failureDomain: "a", linkMbps: 10 },
  { name: "a-3", failureDomain: "a", linkMbps: 200 },
  { name: "a-2", failureDomain: "a", linkMbps: 200 },
  { name: "b-1", failureDomain: "b", linkMbps: 0 },
];

test("the widest link of a failure domain relays, the first by name of equals", () => {
  assert.equal(relayOf("a", FLEET)?.name, "a-2");
  assert.equal(relayOf("a", [...FLEET].reverse())?.name, "a-2");
  assert.equal(relayOf("b", FLEET)?.name, "b-1");
  assert.equal(relayOf("c", FLEET), undefined);
});
