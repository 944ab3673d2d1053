import assert from "node:assert/strict";
import { test } from "node:test";
import { acceptLimits, descriptorLimit } from "./connection_limits.ts";
import { parseSettings } from "./settings.ts";

// Guards against a process whose callers and peers leave no descriptor for its work.
test("connections that are accepted leave descriptors for others", () => {
  for (const descriptors of [20, 120, 400, 2_212, 4_100, 10_250]) {
    const { callers, peers } = acceptLimits({ descriptors, memoryMb: 250 });
    const accepted = callers.connections + peers.connections;
    assert.ok(accepted <= 0.75 * descriptors, `${accepted} of ${descriptors}`);
    assert.ok(callers.connections >= 1 && peers.connections >= 1);
  }
});

test("a process has fewer connections than its settings say if the system allows no more", () => {
  const limitsOf = (settings: object, descriptors?: number) => {
    const text = JSON.stringify(settings);
    const findings = parseSettings(text, { descriptors });
    // Other settings are missing here; those of connections are read all the same.
    assert.ok(findings.isErr());
    return findings.error.map(({ place }) => place);
  };
  assert.ok(!limitsOf({ maxDescriptors: 400 }).includes("maxDescriptors"));
  assert.ok(limitsOf({ maxDescriptors: "x" }).includes("maxDescriptors"));
  assert.ok(limitsOf({ maxConnections: 0 }).includes("maxConnections"));
});

test("the descriptors that the system allows are read where it tells", () => {
  const limit = descriptorLimit();
  assert.ok(limit === undefined || limit > 0);
});
