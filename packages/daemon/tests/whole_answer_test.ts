import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { callBench, callOf, jobCard } from "./call_fixture.ts";
import { RecordingReply } from "./reply_fixture.ts";
import { echo, startRunner } from "./runner_fixture.ts";

const ANSWER = '{"choices":[],"usage":{"completion_tokens":3}}';

// The runner crashes after half of a quote. Delivered as it came, the half
// would look like the quote.
test("an answer shorter than its declared length is not delivered but tried elsewhere", async () => {
  const crashing = await startRunner("a", ({ request, response }) => {
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": ANSWER.length,
      ...echo(request),
    });
    response.write(ANSWER.slice(0, 10), () => response.destroy());
  });
  const sound = await startRunner("b", ({ request, response }) => {
    response.writeHead(200, {
      "content-type": "application/json",
      ...echo(request),
    });
    response.end(ANSWER);
  });
  const bench = callBench([crashing.runner, sound.runner]);
  const reply = new RecordingReply();

  await Effect.runPromise(
    bench.callRunner.run(callOf({ streamed: false }), reply),
  );

  assert.equal(reply.body, ANSWER);
  assert.equal(reply.ended, true);
  bench.connections.close();
  await crashing.close();
  await sound.close();
});

// An answer without a declared length ends with its connection, as does one
// whose runner crashed; only its own end mark tells them apart.
test("an undeclared answer counts as whole only when its JSON is", async () => {
  const runner = await startRunner("a", ({ number, request, socket }) => {
    const id = echo(request)["umbermast-attempt-id"];
    const body = number === 1 ? ANSWER.slice(0, 10) : ANSWER;
    socket.end(
      `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n` +
        `umbermast-attempt-id: ${id}\r\nconnection: close\r\n\r\n${body}`,
    );
  });
  const bench = callBench([runner.runner]);
  const cut = new RecordingReply();
  const whole = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(jobCard(), cut));
  await Effect.runPromise(
    bench.callRunner.run(jobCard({ requestId: "r2" }), whole),
  );

  assert.equal(cut.headersSent, false);
  assert.equal(cut.problem?.outcome, "failed");
  assert.equal(whole.body, ANSWER);
  assert.equal(whole.header("content-length"), String(ANSWER.length));
  bench.connections.close();
  await runner.close();
});

test("an answer longer than the bound is passed on as it comes", async () => {
  const big = "x".repeat(100_000);
  const runner = await startRunner("a", ({ request, response }) => {
    response.writeHead(200, { "content-length": big.length, ...echo(request) });
    response.end(big);
  });
  const bench = callBench([runner.runner], {
    settings: { heldAnswerBytes: 1_000 },
  });
  const reply = new RecordingReply();

  const ending = await Effect.runPromise(
    bench.callRunner.run(jobCard(), reply),
  );

  assert.equal(ending._tag, "Complete");
  assert.equal(reply.body, big);
  assert.equal(reply.header("content-length"), String(big.length));
  bench.connections.close();
  await runner.close();
});

test("a long answer that breaks after it was begun ends broken", async () => {
  const runner = await startRunner("a", ({ request, response }) => {
    response.writeHead(200, { "content-length": 200_000, ...echo(request) });
    response.write("x".repeat(100_000), () => response.destroy());
  });
  const bench = callBench([runner.runner], {
    settings: { heldAnswerBytes: 1_000 },
  });
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(jobCard(), reply));

  assert.equal(reply.headersSent, true);
  assert.equal(reply.ended, false);
  assert.equal(reply.broken?.code, "answer_broken");
  bench.connections.close();
  await runner.close();
});

test("an error of a plain service is its answer and passes unchanged", async () => {
  const runner = await startRunner("a", ({ request, response }) => {
    response.writeHead(500, { "content-type": "text/plain", ...echo(request) });
    response.end("no such van");
  });
  const bench = callBench([runner.runner]);
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(jobCard(), reply));

  assert.equal(reply.head?.status, 500);
  assert.equal(reply.body, "no such van");
  bench.connections.close();
  await runner.close();
});

test("an engine's complaint about a request reaches the caller, marked as failed", async () => {
  const runner = await startRunner("a", ({ request, response }) => {
    response.writeHead(400, {
      "content-type": "application/json",
      ...echo(request),
    });
    response.end('{"error":{"message":"temperature"}}');
  });
  const bench = callBench([runner.runner]);
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(callOf(), reply));

  assert.equal(reply.head?.status, 400);
  assert.equal(reply.header("umbermast-outcome"), "failed");
  bench.connections.close();
  await runner.close();
});
