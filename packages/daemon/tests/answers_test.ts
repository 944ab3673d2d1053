import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { callBench, callOf } from "./call_fixture.ts";
import { RecordingReply } from "./reply_fixture.ts";
import { echo, startRunner } from "./runner_fixture.ts";
import { DONE, streamHead, tokenEvents } from "./stream_fixture.ts";

test("a streamed answer reaches the caller byte for byte, and its slot is settled with true counts", async () => {
  const runner = await startRunner("a", ({ request, response }) => {
    streamHead(request, response);
    response.write(tokenEvents({ from: 1, to: 2, of: 3 }));
    response.end(tokenEvents({ from: 3, to: 3, of: 3 }) + DONE);
  });
  const bench = callBench([runner.runner]);
  const reply = new RecordingReply();

  const ending = await Effect.runPromise(
    bench.callRunner.run(callOf(), reply),
  );

  assert.deepEqual(ending, { _tag: "Complete", status: 200 });
  assert.equal(reply.body, tokenEvents({ from: 1, to: 3, of: 3 }) + DONE);
  assert.equal(reply.ended, true);
  const [settlement] = bench.scheduler.settlements;
  assert.equal(settlement?.outcome, "complete");
  assert.equal(settlement?.promptTokens, 11);
  assert.equal(settlement?.outputTokens, 3);
  assert.equal(typeof settlement?.firstTokenMs, "number");
  bench.connections.close();
  await runner.close();
});

test("a whole answer reaches the caller with its status, headers and exact length", async () => {
  const answer = JSON.stringify({
    choices: [],
    usage: { prompt_tokens: 4, completion_tokens: 9 },
  });
  const runner = await startRunner("a", ({ request, response }) => {
    response.writeHead(200, {
      "content-type": "application/json",
      "x-engine": "e1",
      ...echo(request),
    });
    response.end(answer);
  });
  const bench = callBench([runner.runner]);
  const reply = new RecordingReply();

  await Effect.runPromise(
    bench.callRunner.run(callOf({ streamed: false }), reply),
  );

  assert.equal(reply.body, answer);
  assert.equal(reply.header("x-engine"), "e1");
  assert.equal(reply.header("content-length"), String(answer.length));
  assert.equal(reply.header("umbermast-attempt-id"), undefined);
  assert.equal(bench.scheduler.settlements[0]?.outputTokens, 9);
  bench.connections.close();
  await runner.close();
});
