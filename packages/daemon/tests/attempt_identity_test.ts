import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { callBench, callOf, jobCard } from "./call_fixture.ts";
import { RecordingReply } from "./reply_fixture.ts";
import { echo, startRunner } from "./runner_fixture.ts";
import { DONE, streamHead, tokenEvents } from "./stream_fixture.ts";

const STREAM = tokenEvents({ from: 1, to: 2, of: 2 }) + DONE;

// The caller would see another caller's quote. An answer that comes late or
// crossed carries the id of the attempt it belongs to; the attempt that reads
// it is another, so nothing of it may be delivered, and the connection that
// mixes answers up is not used again.
test("a crossed answer is dropped with its connection and the request is tried elsewhere", async () => {
  const crossed = await startRunner("a", ({ response }) => {
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "umbermast-attempt-id": "r9.1.1",
    });
    response.write('data: {"secret":1}\n\n');
  });
  const sound = await startRunner("b", ({ request, response }) => {
    streamHead(request, response);
    response.end(STREAM);
  });
  const bench = callBench([crossed.runner, sound.runner]);
  const reply = new RecordingReply();

  const ending = await Effect.runPromise(bench.callRunner.run(callOf(), reply));

  assert.equal(ending._tag, "Complete");
  assert.equal(reply.body, STREAM);
  assert.deepEqual(bench.scheduler.settlements.map((s) => s.outcome), [
    "failed",
    "complete",
  ]);
  bench.connections.close();
  await crossed.close();
  await sound.close();
});

// A refusal meant for another attempt says nothing about this one. Believing
// it would tell the caller "not run" of a job card that was made.
test("a crossed refusal is not believed: the outcome is unknown and nothing is sent again", async () => {
  const crossed = await startRunner("a", ({ response }) => {
    response.writeHead(503, {
      "umbermast-started": "false",
      "umbermast-attempt-id": "r9.1.1",
    });
    response.end();
  });
  const other = await startRunner("b", ({ request, response }) => {
    response.writeHead(200, echo(request));
    response.end("made");
  });
  const bench = callBench([crossed.runner, other.runner]);
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(jobCard(), reply));

  assert.equal(reply.problem?.outcome, "unknown");
  assert.equal(reply.problem?.code, "answer_crossed");
  assert.equal(crossed.received.length, 1);
  assert.equal(other.received.length, 0);
  bench.connections.close();
  await crossed.close();
  await other.close();
});

test("an answer without any attempt id is not delivered", async () => {
  const runner = await startRunner("a", ({ response }) => {
    response.writeHead(200, { "content-type": "text/plain" });
    response.end("whose?");
  });
  const bench = callBench([runner.runner]);
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(jobCard(), reply));

  assert.equal(reply.headersSent, false);
  assert.equal(reply.problem?.outcome, "unknown");
  bench.connections.close();
  await runner.close();
});

test("every send has its own attempt id", async () => {
  const refusing = await startRunner("a", ({ request, response }) => {
    response.writeHead(429, { "umbermast-started": "false", ...echo(request) });
    response.end();
  });
  const sound = await startRunner("b", ({ request, response }) => {
    streamHead(request, response);
    response.end(STREAM);
  });
  const bench = callBench([refusing.runner, sound.runner]);

  await Effect.runPromise(
    bench.callRunner.run(callOf(), new RecordingReply()),
  );

  const ids = [...refusing.received, ...sound.received].map((each) =>
    each.headers["umbermast-attempt-id"]
  );
  assert.equal(new Set(ids).size, 2);
  bench.connections.close();
  await refusing.close();
  await sound.close();
});
