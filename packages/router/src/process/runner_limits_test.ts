import assert from "node:assert/strict";
import { test } from "node:test";
import type { Fields } from "./line.ts";
import { RunnerLimits } from "./runner_limits.ts";

/** Limits, and the names and fields of what they log. */
function limitsWithLog() {
  const logged: { readonly name: string; readonly fields: Fields }[] = [];
  const limits = new RunnerLimits({
    event: (name, fields) => void logged.push({ name, fields }),
    decision() {},
  });
  return { limits, logged };
}

test("what a runner names is logged when it changes", () => {
  const { limits, logged } = limitsWithLog();
  limits.heard("r", undefined);
  for (const perS of [1.4, 1.4, 2]) limits.heard("r", { kind: "limit", perS });
  limits.heard("r", undefined);
  const values = logged.map(({ fields }) => fields.per_s);
  assert.deepEqual(values, [1.4, 2, undefined]);
  assert.equal(limits.of("r"), undefined);
});

test("a limit that cannot be read is logged once and changes nothing", () => {
  const { limits, logged } = limitsWithLog();
  limits.heard("r", { kind: "limit", perS: 1.4 });
  for (let count = 0; count < 3; count++) {
    limits.heard("r", { kind: "unreadable", text: "-3" });
  }
  assert.equal(limits.of("r"), 1.4);
  assert.equal(logged.length, 2);
  assert.deepEqual(logged[1]!.fields, { runner: "r", text: "-3" });
});
