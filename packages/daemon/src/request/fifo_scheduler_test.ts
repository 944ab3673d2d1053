import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Fiber from "effect/Fiber";
import { requestOf, SETTLED } from "../../tests/scheduling/ask_fixture.ts";
import { clockOf } from "../../tests/scheduling/clock_fixture.ts";
import { TestLog } from "../../tests/scheduling/log_fixture.ts";
import { runnerOf } from "../../tests/scheduling/runner_fixture.ts";
import { tableOf, TestTable } from "../../tests/scheduling/table_fixture.ts";
import { RunnerDirectory } from "../process/runner_directory.ts";
import { LoadReports } from "../process/scheduling/load_reports.ts";
import { FifoScheduler } from "./fifo_scheduler.ts";

function fifoWith(names: readonly string[]) {
  const clock = clockOf();
  const directory = new RunnerDirectory();
  directory.replace(names.map((name) => runnerOf(name)));
  const reports = new LoadReports({ clock });
  const scheduler = new FifoScheduler({
    clock,
    directory,
    reports,
    table: new TestTable(tableOf()),
    log: new TestLog(),
  });
  const report = (runner: string, running: number) =>
    reports.record(runner, {
      running,
      waiting: 0,
      slots: 2,
      stepMs: 0,
      leaving: false,
      receivedAt: clock.monotonic(),
    });
  return { clock, scheduler, report };
}

test("grants the runner with the least reported load", async () => {
  const { clock, scheduler, report } = fifoWith(["a", "b"]);
  report("a", 1);
  report("b", 0);
  const grant = await Effect.runPromise(scheduler.acquire(requestOf(clock)));
  assert.equal(grant.runner.name, "b");
});

test("grants in order of arrival, regardless of the tier", async () => {
  const { clock, scheduler } = fifoWith(["a"]);
  const program = Effect.gen(function* () {
    const held = [];
    for (let i = 0; i < 2; i++) {
      held.push(yield* scheduler.acquire(requestOf(clock)));
    }
    const order: string[] = [];
    const ask = (name: string) =>
      Effect.forkChild(
        Effect.tap(scheduler.acquire(requestOf(clock, { class: name })), () =>
          Effect.sync(() => order.push(name))),
        { startImmediately: true },
      );
    const low = yield* ask("cut-sheet");
    const high = yield* ask("quote");
    for (const grant of held) grant.release(SETTLED);
    yield* Fiber.join(low);
    yield* Fiber.join(high);
    assert.deepEqual(order, ["cut-sheet", "quote"]);
  });
  await Effect.runPromise(program);
});

test("refuses when the service has no runner", async () => {
  const { clock, scheduler } = fifoWith([]);
  const exit = await Effect.runPromiseExit(scheduler.acquire(requestOf(clock)));
  assert.ok(Exit.isFailure(exit));
  assert.match(String(exit.cause), /no_runner/);
});
