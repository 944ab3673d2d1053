import assert from "node:assert/strict";
import { test } from "node:test";
import type { Fields } from "../process/log_line.ts";
import { VersionLag } from "./version_lag.ts";

function setUp() {
  const events: { readonly name: string; readonly fields: Fields }[] = [];
  const lag = new VersionLag({
    event: (name, fields) => void events.push({ name, fields }),
    decision() {},
  });
  const record = (now: number, own: number, theirs: number) =>
    lag.record("p", {
      own: { configuration: own, runners: 5 },
      theirs: { configuration: theirs, runners: 5 },
      now,
    });
  return { events, lag, record };
}

// Guards against a daemon that stands still at an old version without a line.
test("a daemon that stays behind logs it once, and that it has caught up", () => {
  const { events, lag, record } = setUp();
  for (let now = 0; now <= 3_000; now += 400) record(now, 3, 20);
  lag.requested();
  assert.deepEqual(events.map(({ name }) => name), ["versions_behind"]);
  assert.equal(events[0]!.fields["behind_ms"], 1_200);
  assert.equal(lag.behindMs({ configuration: 3, runners: 5 }, 3_000), 3_000);
  record(3_200, 20, 20);
  assert.equal(events[1]!.name, "versions_caught_up");
  assert.equal(events[1]!.fields["requests"], 1);
  assert.equal(
    lag.behindMs({ configuration: 20, runners: 5 }, 3_300),
    undefined,
  );
});

// Guards against lines of daemons that follow versions that change all the time.
test("a daemon that follows frequent changes is not behind", () => {
  const { events, record } = setUp();
  for (let version = 1; version < 30; version++) {
    record(version * 100, version - 1, version);
  }
  assert.deepEqual(events, []);
});
