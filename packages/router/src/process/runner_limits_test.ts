import assert from "node:assert/strict";
import { test } from "node:test";
import type { Fields } from "./log_line.ts";
import { RunnerLimits } from "./runner_limits.ts";
import type { StatedLimit } from "./runner_limits.ts";

const ALONE = { own: "a", names: ["a"], fleetSize: 1 };

/** Limits of one daemon, and its log events. */
function limitsWithLog(view = ALONE) {
  const logged: { readonly name: string; readonly fields: Fields }[] = [];
  const log = {
    event: (name: string, fields: Fields) => void logged.push({ name, fields }),
    decision() {},
  };
  return { limits: new RunnerLimits(log, () => view), logged };
}

/** Records the limit of a response to a request sent 1 ms before. */
function record(
  limits: RunnerLimits,
  stated: number | StatedLimit | undefined,
  now: number,
): void {
  const limit = typeof stated === "number"
    ? { kind: "limit", perS: stated } as const
    : stated;
  limits.recordStated("r", limit, { sentAt: now - 1, now });
}

/**
 * Times at which a daemon with endless requests sends one, in steps of 20 ms.
 */
function sentBy(limits: RunnerLimits, from: number, to: number): number[] {
  const sent = [];
  for (let now = from; now < to; now += 20) {
    if (!limits.allowsRequest("r", now)) continue;
    limits.recordRequest("r", now);
    sent.push(now);
  }
  return sent;
}

test("requests to a runner without a limit are not limited", () => {
  const { limits } = limitsWithLog();
  assert.equal(sentBy(limits, 0, 200).length, 10);
});

test("a stated limit is logged when it changes", () => {
  const { limits, logged } = limitsWithLog();
  record(limits, undefined, 0);
  record(limits, 1.4, 10);
  record(limits, 1.4, 20);
  record(limits, 2, 2_000);
  record(limits, undefined, 2_100);
  const values = logged.map(({ fields }) => fields.per_s);
  assert.deepEqual(values, [1.4, 2, undefined]);
  assert.equal(limits.perSecond("r"), undefined);
});

test("log lines are bounded when the limit differs in each response", () => {
  const { limits, logged } = limitsWithLog();
  for (let now = 0; now < 1_000; now += 10) record(limits, 2 + now / 1e6, now);
  assert.equal(logged.length, 2);
});

test("log lines are bounded when a limit is set and removed repeatedly", () => {
  const { limits, logged } = limitsWithLog();
  for (let now = 0; now < 1_000; now += 20) {
    record(limits, 2, now);
    record(limits, undefined, now + 10);
  }
  assert.equal(logged.length, 2);
});

test("an unreadable limit is logged once and changes nothing", () => {
  const { limits, logged } = limitsWithLog();
  record(limits, 1.4, 0);
  for (const now of [10, 20, 30]) {
    record(limits, { kind: "unreadable", text: "-3" }, now);
  }
  assert.equal(limits.perSecond("r"), 1.4);
  assert.equal(logged.length, 2);
  assert.deepEqual(logged[1]!.fields, { runner: "r", text: "-3" });
});

// Responses without a limit may still be in flight when a runner first states
// one. They must not end the limit.
test("a response to a request sent earlier does not end a limit", () => {
  const { limits } = limitsWithLog();
  record(limits, 1.4, 100);
  limits.recordStated("r", undefined, { sentAt: 90, now: 110 });
  assert.equal(limits.perSecond("r"), 1.4);
  limits.recordStated("r", undefined, { sentAt: 101, now: 120 });
  assert.equal(limits.perSecond("r"), undefined);
});

test("an update of another daemon applies unless a newer one is known", () => {
  const { limits } = limitsWithLog();
  const update = { runner: "r", perS: 1.4, at: 100 };
  assert.deepEqual(limits.applyUpdates([update], 150), [update]);
  assert.deepEqual(limits.applyUpdates([update], 160), []);
  record(limits, undefined, 200);
  assert.deepEqual(limits.applyUpdates([{ ...update, at: 190 }], 210), []);
  assert.equal(limits.perSecond("r"), undefined);
  limits.applyUpdates([{ ...update, at: 250 }], 260);
  assert.equal(limits.perSecond("r"), 1.4);
});

test("an unchanged limit is broadcast again periodically", () => {
  const { limits } = limitsWithLog();
  let sent = 0;
  for (let now = 0; now <= 10_000; now += 100) {
    record(limits, 1.4, now);
    sent += limits.takeUpdates().length;
  }
  assert.equal(sent, 3);
});

/** Sliding window in ms over which the number of requests is bounded. */
const WINDOW_MS = 4_000;
const SPAN_MS = 60_000;

/** Fleet sizes, and how many of their daemons all others know. */
const FLEETS = [
  { daemons: 1, known: 1 },
  { daemons: 7, known: 7 },
  { daemons: 24, known: 24 },
  { daemons: 380, known: 12 },
];

for (const { daemons, known } of FLEETS) {
  for (const perS of [0, 0.3, 1.4, 4.3, 40, 400]) {
    test(`${daemons} daemons together keep to and use ${perS} a second`, () => {
      const all = Array.from({ length: daemons }, (_, index) => `h-${index}`);
      const names = all.slice(0, known);
      const sent = all.flatMap((own) => {
        const { limits } = limitsWithLog({ own, names, fleetSize: daemons });
        limits.applyUpdates([{ runner: "r", perS, at: 0 }], 0);
        const times: number[] = [];
        for (let now = 0; now < SPAN_MS; now += 4_000) {
          limits.applyUpdates([{ runner: "r", perS, at: now }], now);
          times.push(...sentBy(limits, now, now + 4_000));
        }
        return times;
      });
      sent.sort((one, other) => one - other);
      const allowed = 1.5 * perS * WINDOW_MS / 1_000 + 5;
      let first = 0;
      sent.forEach((at, last) => {
        while (sent[first]! <= at - WINDOW_MS) first += 1;
        const count = last - first + 1;
        assert.ok(count <= allowed, `${count} of ${allowed} at ${at}`);
      });
      // With steps of 20 ms a daemon sends at most 50 requests per second.
      const most = Math.min(perS, 50 * daemons) * SPAN_MS / 1_000;
      assert.ok(sent.length >= 0.7 * most, `${sent.length} of ${most}`);
    });
  }
}

// The daemons with shares of a limit may have no callers. Without rotation, no
// daemon would contact the runner again and notice its recovery.
test("shares rotate to other daemons after a silence", () => {
  const names = Array.from({ length: 30 }, (_, index) => `h-${index}`);
  const holders = (now: number) =>
    names.filter((own) => {
      const { limits } = limitsWithLog({ own, names, fleetSize: names.length });
      limits.applyUpdates([{ runner: "r", perS: 0.2, at: 0 }], 0);
      return limits.hasShare("r", now);
    });
  assert.equal(holders(1_000).length, 3);
  assert.deepEqual(holders(14_000), holders(1_000));
  assert.notDeepEqual(holders(16_000), holders(1_000));
});
