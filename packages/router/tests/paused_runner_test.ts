import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { runnerResponse, startFakeRunner, waitUntil } from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";
import type { SchedulingSettings } from "../src/process/scheduling_mode.ts";
import { ADAPTIVE, LinkedRouters } from "./linked_routers.ts";

/** Longer than any test runs. */
const LONG_PAUSE_MS = 600_000;
const REQUESTS = 40;

/** Starts a runner that refuses requests as long as `pauseMs` is set. */
async function startRefusingRunner(
  t: TestContext,
  name: string,
): Promise<FakeRunner & { pauseMs: number | undefined }> {
  const fake = await startFakeRunner(t, name, (socket, _, id) => {
    if (refusing.pauseMs === undefined) {
      return void socket.write(runnerResponse(id, "done"));
    }
    const status = "503 Service Unavailable";
    const headers = `X-Not-Run: 1\r\nX-Pause-Ms: ${refusing.pauseMs}\r\n`;
    socket.write(runnerResponse(id, "", { status, headers }));
  });
  const refusing = Object.assign(fake, {
    pauseMs: LONG_PAUSE_MS as number | undefined,
  });
  return refusing;
}

// Guards against a refusing runner that looks idle and attracts requests.
test("a runner that asks for a pause gets no request before it ends", async (t) => {
  const linked = new LinkedRouters(t);
  const refusing = await startRefusingRunner(t, "refusing");
  const serving = await startFakeRunner(t, "serving", (socket, _, id) => {
    socket.write(runnerResponse(id, "done"));
  });
  linked.runners.set([refusing.runner, serving.runner]);
  await linked.add();
  while (refusing.requests.length === 0) await linked.send("work");
  const refused = refusing.requests.length;
  for (let sent = 0; sent < REQUESTS; sent++) await linked.send("work");
  const arrivals = refusing.requests.length - refused;
  assert.equal(arrivals, 0, `${arrivals} of ${REQUESTS} requests`);
});

/** Routers before one runner that refuses its first request with a pause. */
async function startPausedFleet(
  t: TestContext,
  pauseMs: number,
): Promise<
  {
    readonly linked: LinkedRouters;
    readonly refusing: Awaited<ReturnType<typeof startRefusingRunner>>;
  }
> {
  const linked = new LinkedRouters(t, { timeoutMs: 4_000, patienceMs: 4_000 });
  const refusing = await startRefusingRunner(t, "refusing");
  refusing.pauseMs = pauseMs;
  linked.runners.set([refusing.runner]);
  await linked.add();
  assert.equal((await linked.send("work")).status, 503);
  refusing.pauseMs = undefined;
  return { linked, refusing };
}

// Guards against refusals although the pause of the only runner is about to end.
test("a request waits for the end of a short pause", async (t) => {
  const { linked, refusing } = await startPausedFleet(t, 300);
  const responses = await Promise.all(
    Array.from({ length: 5 }, () => linked.send("work")),
  );
  assert.deepEqual(responses.map(({ status }) => status), Array(5).fill(200));
  assert.equal(refusing.requests.length, 6);
});

// Guards against callers that are held although the pause outlasts their patience.
test("a request is refused at once when all pauses last too long", async (t) => {
  const { linked, refusing } = await startPausedFleet(t, LONG_PAUSE_MS);
  const { status, headers, body } = await linked.send("work");
  assert.equal(status, 503);
  assert.deepEqual(JSON.parse(body), { error: "overloaded" });
  assert.ok(Number(headers["retry-after"]) > 0);
  assert.equal(refusing.requests.length, 1);
});

// Guards against a pause that keeps one router's requests from the others' runner.
test("a runner that paused one router still serves the others", async (t) => {
  const { linked, refusing } = await startPausedFleet(t, LONG_PAUSE_MS);
  await linked.add();
  const statuses = [];
  for (let sent = 0; sent < 4; sent++) {
    statuses.push((await linked.send("work")).status);
  }
  assert.deepEqual(statuses.sort(), [200, 200, 503, 503]);
  assert.equal(refusing.requests.length, 3);
});

// Guards against retries that ignore pauses.
test("a request is not retried at a runner that asked for a pause", async (t) => {
  const linked = new LinkedRouters(t, {
    repetition: "idempotent",
    maxAttempts: 3,
  });
  const refusing = await Promise.all(
    ["r-1", "r-2"].map((name) => startRefusingRunner(t, name)),
  );
  linked.runners.set(refusing.map(({ runner }) => runner));
  await linked.add();
  const count = () =>
    refusing.reduce((sum, { requests }) => sum + requests.length, 0);
  await linked.send("work");
  await waitUntil(() => count() === 2);
  await linked.send("work");
  assert.equal(count(), 2);
});

/** Requests each of which may be the first after a pause. */
const TRIALS = 30;
/** Body of a request that its runner does not answer. */
const HELD = "held";

/**
 * Sends requests to a router before a runner that refuses all of them with short
 * pauses and one that serves; returns the statuses.
 */
async function sendWithTrials(
  t: TestContext,
  scheduling: SchedulingSettings,
): Promise<{ readonly statuses: number[]; readonly trials: number }> {
  const linked = new LinkedRouters(t, { maxAttempts: 2 }, {
    scheduling,
    retries: { ratio: 0.2, extra: 0, windowMs: 10_000 },
  });
  const refusing = await startRefusingRunner(t, "refusing");
  refusing.pauseMs = 1;
  const serving = await startFakeRunner(t, "serving", (socket, request, id) => {
    if (!request.includes(HELD)) socket.write(runnerResponse(id, "done"));
  });
  linked.runners.set([refusing.runner, serving.runner]);
  await linked.add();
  // Makes the refusing runner the less loaded one, which is tried if it may be.
  const isHeld = () =>
    serving.requests.some((request) => request.includes(HELD));
  while (!isHeld()) {
    const sent = linked.send(HELD).catch(() => undefined);
    await Promise.race([sent, waitUntil(isHeld)]);
  }
  // The refusal that begins the first pause.
  while (refusing.requests.length === 0) await linked.send("work");
  const before = refusing.requests.length;
  const statuses = [];
  for (let sent = 0; sent < TRIALS; sent++) {
    statuses.push((await linked.send("work")).status);
    // The pause ends, so that the next request may be the first after it.
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  return { statuses, trials: refusing.requests.length - before };
}

// Guards against a request that goes first after a pause, is refused and finds no
// second runner because the retry budget is used up, though another one is free.
test("a request that goes first after a pause finds a second runner", async (t) => {
  const { statuses, trials } = await sendWithTrials(t, ADAPTIVE);
  assert.deepEqual(statuses, Array(TRIALS).fill(200));
  assert.ok(trials >= 1, `${trials} requests went first after a pause`);
});

// Guards against a request that is refused after a pause and does not wait for the
// second runner, whose pause is about to end.
test("a request that is refused after a pause waits for a second runner", async (t) => {
  const linked = new LinkedRouters(t, {
    maxAttempts: 2,
    timeoutMs: 4_000,
    patienceMs: 4_000,
  }, { scheduling: ADAPTIVE });
  const [first, second] = [
    await startRefusingRunner(t, "first"),
    await startRefusingRunner(t, "second"),
  ];
  first.pauseMs = 1;
  second.pauseMs = 300;
  linked.runners.set([first.runner, second.runner]);
  await linked.add();
  assert.equal((await linked.send("work")).status, 503);
  second.pauseMs = undefined;
  assert.equal((await linked.send("work again")).status, 200);
  assert.equal(first.requests.length, 2);
});
