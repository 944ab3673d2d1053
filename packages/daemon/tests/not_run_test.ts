import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { callBench, callOf, jobCard } from "./call_fixture.ts";
import { RecordingReply } from "./reply_fixture.ts";
import { closedPort, echo, runnerAt, startRunner } from "./runner_fixture.ts";
import { DONE, streamHead, tokenEvents } from "./stream_fixture.ts";

const STREAM = tokenEvents({ from: 1, to: 2, of: 2 }) + DONE;

test("a refused connection is not a run: a job card goes to another runner", async () => {
  const down = runnerAt("a", await closedPort());
  const sound = await startRunner("b", ({ request, response }) => {
    response.writeHead(201, echo(request));
    response.end("made");
  });
  const bench = callBench([down, sound.runner]);
  const reply = new RecordingReply();

  const ending = await Effect.runPromise(
    bench.callRunner.run(jobCard(), reply),
  );

  assert.deepEqual(ending, { _tag: "Complete", status: 201 });
  assert.equal(reply.body, "made");
  assert.deepEqual(bench.scheduler.settlements.map((s) => s.outcome), [
    "refused",
    "complete",
  ]);
  bench.connections.close();
  await sound.close();
});

test("a request whose every connection was refused is told as not run, with when to come back", async () => {
  const bench = callBench([runnerAt("a", await closedPort())]);
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(jobCard(), reply));

  assert.equal(reply.problem?.status, 503);
  assert.equal(reply.problem?.outcome, "not-run");
  assert.equal(reply.problem?.code, "runner_unreachable");
  assert.ok((reply.problem?.retryAfterMs ?? 0) > 0);
});

test("a runner's refusal before starting is not a run, also for a job card", async () => {
  const refusing = await startRunner("a", ({ request, response }) => {
    response.writeHead(503, {
      "umbermast-started": "false",
      "retry-after": "3",
      ...echo(request),
    });
    response.end();
  });
  const bench = callBench([refusing.runner]);
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(jobCard(), reply));

  assert.equal(reply.problem?.outcome, "not-run");
  assert.equal(reply.problem?.code, "runner_refused");
  assert.equal(reply.problem?.retryAfterMs, 3_000);
  bench.connections.close();
  await refusing.close();
});

// The caller would be told "not run" of a job card that was made: the first
// runner took it and its answer was lost, so whatever happens later, the
// request may have run.
test("a job card whose answer was lost is unknown and is sent exactly once", async () => {
  const losing = await startRunner("a", ({ socket }) => socket.destroy());
  const other = await startRunner("b", ({ request, response }) => {
    response.writeHead(200, echo(request));
    response.end("made");
  });
  const bench = callBench([losing.runner, other.runner]);
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(jobCard(), reply));

  assert.equal(reply.problem?.status, 502);
  assert.equal(reply.problem?.outcome, "unknown");
  assert.equal(losing.received.length, 1);
  assert.equal(other.received.length, 0);
  bench.connections.close();
  await losing.close();
  await other.close();
});

// A repeatable request is lost at the first runner, and the second refuses to
// start it. The refusal is of the second attempt only: the first may have run.
test("a later refusal does not turn an earlier unknown into not-run", async () => {
  const losing = await startRunner("a", ({ socket }) => socket.destroy());
  const refusing = await startRunner("b", ({ request, response }) => {
    response.writeHead(503, { "umbermast-started": "false", ...echo(request) });
    response.end();
  });
  const bench = callBench([losing.runner, refusing.runner]);
  const reply = new RecordingReply();
  const call = callOf({ streamed: false });

  await Effect.runPromise(bench.callRunner.run(call, reply));

  assert.equal(refusing.received.length, 1);
  assert.equal(reply.problem?.outcome, "unknown");
  bench.connections.close();
  await losing.close();
  await refusing.close();
});

// The runner closes its idle connection just as a job card is written to it.
// The reset does not tell whether the card arrived, so the caller would get an
// "unknown" that a new connection would have avoided.
test("a job card never travels on a connection that was idle", async () => {
  const ports: (number | undefined)[] = [];
  const runner = await startRunner("a", ({ request, response, socket }) => {
    ports.push(socket.remotePort);
    response.writeHead(200, echo(request));
    response.end("made");
  });
  const bench = callBench([runner.runner]);
  const repeatable = jobCard({ requestId: "r1", repeatable: true });

  await Effect.runPromise(
    bench.callRunner.run(repeatable, new RecordingReply()),
  );
  await Effect.runPromise(
    bench.callRunner.run(jobCard({ requestId: "r2" }), new RecordingReply()),
  );

  assert.notEqual(ports[0], ports[1]);
  bench.connections.close();
  await runner.close();
});

// A paused daemon wakes holding grants whose time has passed; the broker has
// given their slots to others. Sending would overload the runner.
test("a grant past its time is given back unused and a new one is asked for", async () => {
  const runner = await startRunner("a", ({ request, response }) => {
    streamHead(request, response);
    response.end(STREAM);
  });
  const bench = callBench([runner.runner]);
  bench.scheduler.grantMs = -1;
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(callOf(), reply));

  assert.equal(runner.received.length, 0);
  assert.equal(reply.problem?.outcome, "not-run");
  assert.ok(bench.scheduler.asks.length > 1);
  assert.ok(
    bench.scheduler.settlements.every((s) => s.outcome === "cancelled"),
  );
  bench.connections.close();
  await runner.close();
});

// During an outage each caller's request would be sent several times over. A
// retry that the budget withholds is answered at once, with when to come back.
test("without retry budget the first failure is the final answer", async () => {
  const failing = await startRunner("a", ({ request, response }) => {
    response.writeHead(500, echo(request));
    response.end();
  });
  const other = await startRunner("b", ({ request, response }) => {
    streamHead(request, response);
    response.end(STREAM);
  });
  const bench = callBench([failing.runner, other.runner]);
  while (bench.budget.take());
  const reply = new RecordingReply();

  await Effect.runPromise(bench.callRunner.run(callOf(), reply));

  assert.equal(other.received.length, 0);
  assert.equal(reply.problem?.outcome, "failed");
  assert.ok((reply.problem?.retryAfterMs ?? 0) > 0);
  assert.ok(bench.logged.some((each) => each.verdict === "budget_spent"));
  bench.connections.close();
  await failing.close();
  await other.close();
});
