import assert from "node:assert/strict";
import { test } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { LocalDemand } from "../process/placement/placement_demand.ts";
import type { Call, CallResult, CallRunner, Reply } from "./call.ts";
import { CountedCallRunner } from "./placement_demand.ts";

const ENDING: CallResult = { _tag: "Complete", status: 200 };

function callOf(model?: string): Call {
  const call = { requestId: "r", service: "pool" };
  return { ...call, ...(model === undefined ? {} : { model }) } as Call;
}

test("a call counts from its arrival to its end, also when its caller disconnects", async () => {
  const counter = new LocalDemand();
  const end = Deferred.makeUnsafe<CallResult>();
  const inner: CallRunner = { run: () => Deferred.await(end) };
  const runner = new CountedCallRunner(inner, counter);
  const reply = {} as Reply;
  await Effect.runPromise(Effect.gen(function* () {
    const start = { startImmediately: true } as const;
    const one = yield* Effect.forkChild(runner.run(callOf("a"), reply), start);
    const other = yield* Effect.forkChild(
      runner.run(callOf("a"), reply),
      start,
    );
    yield* Effect.forkChild(runner.run(callOf(), reply), start);
    assert.deepEqual([...counter.counts()], [["a", 2]]);
    yield* Fiber.interrupt(one);
    assert.deepEqual([...counter.counts()], [["a", 1]]);
    yield* Deferred.succeed(end, ENDING);
    yield* Fiber.join(other);
    assert.deepEqual([...counter.counts()], []);
  }));
});
