import type { CrashPoint } from "@umbermast/coordination";
import { FakeClock } from "@umbermast/coordination/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { Call } from "../src/request/call.ts";
import {
  type ClaimingDaemon,
  ClaimingFleet,
  CrashAt,
} from "./claim_fixture.ts";
import { jobCard } from "./call_fixture.ts";
import { RecordingReply } from "./reply_fixture.ts";
import { closedPort, echo, runnerAt, startRunner } from "./runner_fixture.ts";
import type { Script } from "./runner_fixture.ts";

const MADE = '{"card":7}';

/** Makes the job card. */
const make: Script = ({ request, response }) => {
  response.writeHead(201, {
    "content-type": "application/json",
    ...echo(request),
  });
  response.end(MADE);
};

/** A runner that answers by a script, and daemons that share one store. */
async function yard(t: TestContext, script: Script = make) {
  const runner = await startRunner("a", script);
  t.after(() => runner.close());
  return { runner, fleet: new ClaimingFleet(t) };
}

function keyed(requestId: string, fields: Partial<Call> = {}): Call {
  return jobCard({ requestId, idempotencyKey: "card-7", ...fields });
}

async function send(
  daemon: ClaimingDaemon,
  call: Call,
): Promise<RecordingReply> {
  const reply = new RecordingReply();
  await Effect.runPromise(daemon.callRunner.run(call, reply));
  await Effect.runPromise(daemon.claims.drain());
  return reply;
}

test("a second try through another daemon gets the first's answer, and one run is made", async (t) => {
  const { runner, fleet } = await yard(t);
  const runners = [runner.runner];
  const one = await fleet.daemon("one", { runners });
  const two = await fleet.daemon("two", { runners });

  const first = await send(one, keyed("r1"));
  const second = await send(two, keyed("r2"));

  assert.equal(runner.received.length, 1);
  assert.equal(runner.received[0]?.headers["idempotency-key"], "card-7");
  assert.equal(first.body, MADE);
  assert.equal(second.body, MADE);
  assert.equal(second.head?.status, 201);
  assert.equal(second.header("idempotent-replayed"), "true");
});

test("the same key with another body is refused with 422 and not run", async (t) => {
  const { runner, fleet } = await yard(t);
  const one = await fleet.daemon("one", { runners: [runner.runner] });

  await send(one, keyed("r1"));
  const other = await send(one, keyed("r2", { body: Buffer.from("{}") }));

  assert.equal(other.problem?.status, 422);
  assert.equal(other.problem?.code, "idempotency_key_reused");
  assert.equal(other.problem?.outcome, "not-run");
  assert.equal(runner.received.length, 1);
});

test("keys of different workspaces do not meet", async (t) => {
  const { runner, fleet } = await yard(t);
  const one = await fleet.daemon("one", { runners: [runner.runner] });

  await send(one, keyed("r1"));
  await send(one, keyed("r2", { workspace: "office" }));

  assert.equal(runner.received.length, 2);
});

// The runner made the job card and its answer was lost on the way. A second
// try must not make another, and must not hear that none was made.
test("after a lost answer a second try is told that it may have run", async (t) => {
  const { runner, fleet } = await yard(t, ({ socket }) => socket.destroy());
  const runners = [runner.runner];
  const one = await fleet.daemon("one", { runners });
  const two = await fleet.daemon("two", { runners });

  const first = await send(one, keyed("r1"));
  const second = await send(two, keyed("r2"));

  assert.equal(first.problem?.outcome, "unknown");
  assert.equal(second.problem?.status, 409);
  assert.equal(second.problem?.code, "may_have_run");
  assert.equal(second.problem?.outcome, "unknown");
  assert.equal(runner.received.length, 1);
});

test("a key whose request did not run is free again", async (t) => {
  const { runner, fleet } = await yard(t);
  const down = runnerAt("down", await closedPort());
  const one = await fleet.daemon("one", { runners: [down] });
  const two = await fleet.daemon("two", { runners: [runner.runner] });

  const first = await send(one, keyed("r1"));
  const second = await send(two, keyed("r2"));

  assert.equal(first.problem?.outcome, "not-run");
  assert.equal(second.body, MADE);
});

test("while the store is down a keyed request is refused as not run, with when to come back", async (t) => {
  const { runner, fleet } = await yard(t);
  fleet.store.plan = () => "refuse";
  const one = await fleet.daemon("one", {
    runners: [runner.runner],
    claims: { settings: { timeoutMs: 50, settlePatienceMs: 0 } },
  });

  // Settlements cannot be recorded now, so they are not waited for.
  const reply = new RecordingReply();
  await Effect.runPromise(one.callRunner.run(keyed("r1"), reply));

  assert.equal(reply.problem?.status, 503);
  assert.equal(reply.problem?.code, "claims_unavailable");
  assert.equal(reply.problem?.outcome, "not-run");
  assert.ok((reply.problem?.retryAfterMs ?? 0) > 0);
  assert.equal(runner.received.length, 0);
  assert.equal(one.bench.scheduler.asks.length, 0);
  const [decision] = one.bench.logged.filter(({ name }) =>
    name === "claim_decided"
  );
  assert.equal(decision?.["outcome"], "unavailable");
  assert.equal(decision?.["reason"], "store");
  assert.ok(typeof decision?.["detail"] === "string");
  assert.ok(decision["detail"].length > 0);
});

// A fitter's tablet loses its connection while the card is being made. The
// card will exist, so its answer must be there for the second try.
test("a caller that leaves after the send finds the whole answer on its second try", async (t) => {
  let answer: () => void = () => {};
  const arrived = new Promise<void>((resolve) => {
    answer = resolve;
  });
  let finish: () => void = () => {};
  const { runner, fleet } = await yard(t, (exchange) => {
    finish = () => make(exchange);
    answer();
  });
  const one = await fleet.daemon("one", { runners: [runner.runner] });

  const reply = new RecordingReply();
  reply.goneAfter = 0;
  const fiber = Effect.runFork(one.callRunner.run(keyed("r1"), reply));
  await arrived;
  const left = Effect.runPromise(Fiber.interrupt(fiber));
  finish();
  await left;
  await Effect.runPromise(one.claims.drain());
  const second = await send(one, keyed("r2"));

  assert.equal(second.body, MADE);
  assert.equal(runner.received.length, 1);
});

test("a caller that leaves while it waits for a slot frees its key", async (t) => {
  const { runner, fleet } = await yard(t);
  const one = await fleet.daemon("one", { runners: [runner.runner] });
  const asked = one.bench.scheduler.holdNext();

  const fiber = Effect.runFork(
    one.callRunner.run(keyed("r1"), new RecordingReply()),
  );
  await asked;
  await Effect.runPromise(Fiber.interrupt(fiber));
  await Effect.runPromise(one.claims.drain());
  const second = await send(one, keyed("r2"));

  assert.equal(second.body, MADE);
  assert.equal(runner.received.length, 1);
});

// The owner of a claim is paused while its request waits for a slot, for longer
// than the claim may be used. It wakes, is given the slot, and would send; a
// second try may have claimed the key and run since. The old claim is given
// back, and only a new one, made now, lets the send start.
test("an owner that was paused sends only under a new claim", async (t) => {
  const { runner, fleet } = await yard(t);
  const clock = new FakeClock();
  const one = await fleet.daemon("one", {
    runners: [runner.runner],
    claims: { clock },
  });
  const asked = one.bench.scheduler.holdNext();

  const reply = new RecordingReply();
  const run = Effect.runPromise(one.callRunner.run(keyed("r1"), reply));
  await asked;
  clock.advance(60_000);
  one.bench.scheduler.letGo();
  await run;

  const claims = one.bench.logged.filter((each) =>
    each.name === "claim_decided" && each["outcome"] === "Claimed"
  );
  assert.equal(claims.length, 2);
  assert.equal(runner.received.length, 1);
  assert.equal(reply.body, MADE);
});

/** What a second try through another daemon gets after a crash at each point. */
const AFTER_CRASH: readonly {
  readonly point: CrashPoint;
  readonly runs: number;
  readonly second: "made" | "replayed" | "may_have_run";
}[] = [
  { point: "claim.before_ask", runs: 1, second: "made" },
  { point: "claim.before_write", runs: 1, second: "made" },
  { point: "claim.after_write", runs: 0, second: "may_have_run" },
  { point: "claim.after_ask", runs: 0, second: "may_have_run" },
  { point: "send.before_bytes", runs: 0, second: "may_have_run" },
  { point: "send.after_bytes", runs: 1, second: "may_have_run" },
  { point: "answer.before_end", runs: 1, second: "may_have_run" },
  { point: "release.before", runs: 1, second: "may_have_run" },
  { point: "release.after", runs: 1, second: "may_have_run" },
  { point: "answer.after_end", runs: 1, second: "may_have_run" },
  { point: "claim.before_settle", runs: 1, second: "may_have_run" },
  { point: "claim.after_settle", runs: 1, second: "replayed" },
];

for (const { point, runs, second } of AFTER_CRASH) {
  // A daemon crashes at the point while it works on a job card, and the caller
  // tries again with the same key through another daemon. The claim stands in
  // the store from before the send to after the answer, so whatever was reached
  // the card is made at most once, and "may have run" is the worst answer.
  test(`a crash at ${point} makes at most one run`, async (t) => {
    let arrived: () => void = () => {};
    const reachedRunner = new Promise<void>((resolve) => {
      arrived = resolve;
    });
    const { runner, fleet } = await yard(t, (exchange) => {
      make(exchange);
      arrived();
    });
    const crash = new CrashAt(point);
    const runners = [runner.runner];
    const one = await fleet.daemon("one", { runners, crashPoints: crash });
    const two = await fleet.daemon("two", { runners });

    const lost = new RecordingReply();
    Effect.runFork(one.callRunner.run(keyed("r1"), lost));
    await crash.reachedOnce;
    // The bytes were handed over; a crash of the daemon does not take them back.
    if (point === "send.after_bytes") await reachedRunner;
    fleet.network.remove("one");
    const reply = await send(two, keyed("r2"));

    assert.equal(runner.received.length, runs);
    if (second === "may_have_run") {
      assert.equal(reply.problem?.code, "may_have_run");
      assert.equal(reply.problem?.outcome, "unknown");
      return;
    }
    assert.equal(reply.body, MADE);
    const replayed = reply.header("idempotent-replayed") === "true";
    assert.equal(replayed, second === "replayed");
  });
}
