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

test("grants a higher tier first, whatever came first", () => {
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

test("gives a leaving runner nothing new", () => {
  const bench = brokerWith({
    runners: [runnerOf("runner-1", { state: "leaving" }), runnerOf("runner-2")],
  });
  bench.broker.ask("entry-1", askOf());
  const message = bench.sent[0]?.message;
  assert.equal(message?.type === "grant" && message.runner, "runner-2");
});

test("holds a row to its requests in flight, also after an edit", () => {
  const bench = brokerWith({ runners: [runnerOf("a"), runnerOf("b")] });
  const limited = tableOf({ rows: [rowOf({ inFlight: 1 })] });
  bench.table.edit(limited);
  for (let i = 0; i < 3; i++) bench.broker.ask("entry-1", askOf());
  assert.equal(granted(bench).length, 1);
  bench.table.edit(tableOf({ rows: [rowOf({ inFlight: 2 })] }));
  assert.equal(granted(bench).length, 2);
});

test("answers a second ask of one id with the same slot", () => {
  // The link drops a grant. The entry, which saw nothing, asks again; were the
  // broker to give another slot, the first would be lost until the entry died.
  const bench = brokerWith();
  const ask = askOf();
  bench.broker.ask("entry-1", ask);
  bench.broker.ask("entry-1", { ...ask, epoch: 2 });
  assert.deepEqual(granted(bench), [ask.askId, ask.askId]);
  assert.equal(bench.broker.inFlight, 1);
});

test("forgets all that it believed before a pause", () => {
  // The broker's process is stopped and woken. Its entries have long asked
  // elsewhere; a grant of theirs would hold a slot that nobody uses.
  const bench = brokerWith();
  for (let i = 0; i < 3; i++) bench.broker.ask("entry-1", askOf());
  bench.clock.advance(10_000);
  bench.broker.tick();
  assert.equal(bench.broker.waitingCount, 0);
  assert.equal(granted(bench).length, 2);
  const last = bench.sent.at(-1)?.message;
  assert.equal(last?.type === "beat_reply" && last.resync, true);
});

test("keeps a slot open whatever a runner reports, and forgets old reports", () => {
  // A load report is wrong, then its runner stops reporting. Were it believed,
  // or believed for ever, the runner would stand idle while requests wait.
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

test("takes a crashed runner out of use and lets it back by a probe", () => {
  // A runner fails each request at once, so its slots are always the freest and
  // every next request goes to it, and fails. Taken out of use it gets nothing,
  // then one request, and after a good one it is like the others again.
  const bench = brokerWith({ runners: [runnerOf("bad"), runnerOf("good")] });
  const ask = () => {
    const message = askOf();
    bench.broker.ask("entry-1", message);
    const last = bench.sent.at(-1)?.message;
    assert.ok(last?.type === "grant");
    return { askId: message.askId, runner: last.runner };
  };
  const end = (askId: string, outcome: "failed" | "complete") =>
    bench.broker.release("entry-1", {
      type: "release",
      service: SERVICE,
      askId,
      settlement: { outcome, promptTokens: 1, outputTokens: 0 },
    });
  const first = ask();
  assert.equal(first.runner, "bad");
  end(first.askId, "failed");
  assert.deepEqual([ask().runner, ask().runner], ["good", "good"]);
  bench.clock.advance(600);
  const probe = ask();
  assert.equal(probe.runner, "bad");
  end(probe.askId, "complete");
  assert.deepEqual([ask().runner, ask().runner], ["bad", "bad"]);
});
