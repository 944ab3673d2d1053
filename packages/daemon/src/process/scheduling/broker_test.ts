import assert from "node:assert/strict";
import { test } from "node:test";
import { askOf } from "../../../tests/scheduling/ask_fixture.ts";
import {
  brokerWith,
  granted,
  release,
} from "../../../tests/scheduling/broker_fixture.ts";
import { runnerOf, SERVICE } from "../../../tests/scheduling/runner_fixture.ts";
import { rowOf, tableOf } from "../../../tests/scheduling/table_fixture.ts";

test("grants a higher tier first, regardless of arrival order", () => {
  const bench = brokerWith();
  for (let i = 0; i < 2; i++) bench.broker.ask("entry-1", askOf());
  const low = askOf({ class: "cut-sheet" });
  const high = askOf({ class: "quote" });
  bench.broker.ask("entry-1", low);
  bench.broker.ask("entry-2", high);
  release(bench, granted(bench)[0]!);
  assert.equal(granted(bench)[2], high.askId);
});

test("refuses an ask at once when its deadline has passed", () => {
  const bench = brokerWith();
  bench.broker.ask("entry-1", askOf({ remainingMs: 0 }));
  const message = bench.sent[0]?.message;
  assert.equal(message?.type === "refuse" && message.code, "deadline_passed");
});

test("grants no slot at a leaving runner", () => {
  const bench = brokerWith({
    runners: [runnerOf("runner-1", { state: "leaving" }), runnerOf("runner-2")],
  });
  bench.broker.ask("entry-1", askOf());
  const message = bench.sent[0]?.message;
  assert.equal(message?.type === "grant" && message.runner, "runner-2");
});

test("applies a row's limit of requests in flight, also after a table edit", () => {
  const bench = brokerWith({ runners: [runnerOf("a"), runnerOf("b")] });
  const limited = tableOf({ rows: [rowOf({ inFlight: 1 })] });
  bench.table.edit(limited);
  for (let i = 0; i < 3; i++) bench.broker.ask("entry-1", askOf());
  assert.equal(granted(bench).length, 1);
  bench.table.edit(tableOf({ rows: [rowOf({ inFlight: 2 })] }));
  assert.equal(granted(bench).length, 2);
});

test("grants the same slot again to a repeated ask", () => {
  // The link drops a grant, so the entry repeats its ask. With a second slot, the
  // first one would be lost until the entry is removed.
  const bench = brokerWith();
  const ask = askOf();
  bench.broker.ask("entry-1", ask);
  bench.broker.ask("entry-1", { ...ask, epoch: 2 });
  assert.deepEqual(granted(bench), [ask.askId, ask.askId]);
  assert.equal(bench.broker.inFlight, 1);
});

test("drops its state after a pause of the process", () => {
  // The broker's process is paused and resumed. Its entries have moved their asks
  // to another broker in the meantime; grants would occupy slots nobody uses.
  const bench = brokerWith();
  for (let i = 0; i < 3; i++) bench.broker.ask("entry-1", askOf());
  bench.clock.advance(10_000);
  bench.broker.tick();
  assert.equal(bench.broker.waitingCount, 0);
  assert.equal(granted(bench).length, 2);
  const last = bench.sent.at(-1)?.message;
  assert.equal(last?.type === "beat_reply" && last.resync, true);
});

test("keeps one slot available despite a wrong report, and ignores old reports", () => {
  // A runner sends a wrong load report and then stops reporting. Trusting the
  // report would leave the runner idle while requests wait.
  const bench = brokerWith();
  bench.reports.record("runner-1", {
    running: 1_000_000,
    waiting: 1_000_000,
    slots: 0,
    stepMs: 0,
    leaving: false,
    receivedAt: bench.clock.monotonic(),
  });
  for (let i = 0; i < 2; i++) bench.broker.ask("entry-1", askOf());
  assert.equal(granted(bench).length, 1);
  for (let i = 0; i < 3; i++) {
    bench.clock.advance(1_000);
    bench.broker.heartbeat("entry-1", {
      type: "beat",
      service: SERVICE,
      waiting: 1,
      held: 1,
    });
  }
  bench.broker.tick();
  assert.equal(granted(bench).length, 2);
});

test("ejects a failing runner and restores it after a successful probe", () => {
  // A runner that fails each request at once always has the most free slots and
  // would attract every request. It must get none while it is ejected, then one
  // probe, and requests as usual after the probe succeeds.
  const bench = brokerWith({ runners: [runnerOf("bad"), runnerOf("good")] });
  const requestSlot = () => {
    const message = askOf();
    bench.broker.ask("entry-1", message);
    const last = bench.sent.at(-1)?.message;
    assert.ok(last?.type === "grant");
    return { askId: message.askId, runner: last.runner };
  };
  const endAttempt = (askId: string, outcome: "failed" | "complete") =>
    bench.broker.release("entry-1", {
      type: "release",
      service: SERVICE,
      askId,
      settlement: { outcome, promptTokens: 1, outputTokens: 0 },
    });
  const first = requestSlot();
  assert.equal(first.runner, "bad");
  endAttempt(first.askId, "failed");
  assert.deepEqual([requestSlot().runner, requestSlot().runner], [
    "good",
    "good",
  ]);
  bench.clock.advance(600);
  const probe = requestSlot();
  assert.equal(probe.runner, "bad");
  endAttempt(probe.askId, "complete");
  assert.deepEqual([requestSlot().runner, requestSlot().runner], [
    "bad",
    "bad",
  ]);
});
