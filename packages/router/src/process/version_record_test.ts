import assert from "node:assert/strict";
import { test } from "node:test";
import { destinationsOf } from "./version_record.ts";

// Guards against streams that nobody can resume while an unused destination stands.
test("a destination of weight 0 is none at which streams begin", () => {
  const destinations = [
    { service: "used", weight: 2 },
    { service: "unused", weight: 0 },
  ];
  const entries = [...destinationsOf([{ name: "r", destinations }]).values()];
  assert.deepEqual(entries.map(({ value }) => value), ["used"]);
});
