import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { Router } from "../src/router.ts";
import {
  runnerResponse,
  sendRequest,
  startFakeRunner,
  waitUntil,
} from "./fixtures.ts";
import type { CallerResponse } from "./fixtures.ts";
import { ADAPTIVE, LinkedRouters } from "./linked_routers.ts";

/** An engine that runs one request at a time. */
const ENGINE = {
  slots: 1,
  memoryTokens: 1_000,
  eventTokens: 1,
  fetchMsPerToken: undefined,
};
/** Requests from whose responses the routers learn how long they take. */
const WARM_UP = 10;

let attempts = 0;

function send(router: Router, body: string): Promise<CallerResponse> {
  attempts += 1;
  const headers = { "x-id": `attempt-${attempts}`, "x-prompt": "part" };
  return sendRequest(router, { method: "POST", body, headers });
}

function isWaiting({ loads }: Router): boolean {
  return loads.of("engine").queue.hasOwn;
}

// Guards against a caller that comes back to another daemon and stands behind those
// that came after its first try.
test("a place is honoured at another daemon", async (t) => {
  const services = [{ name: "service", maxConnections: 10, engine: ENGINE }];
  const route = { timeoutMs: 10_000, patienceMs: 1_500 };
  const linked = new LinkedRouters(t, route, { scheduling: ADAPTIVE }, {
    services,
  });
  let release = () => {};
  const bodies: string[] = [];
  const engine = await startFakeRunner(t, "engine", (socket, request, id) => {
    const body = /\r\n\r\n(.*)$/.exec(request)![1]!;
    bodies.push(body);
    const respond = () => void socket.write(runnerResponse(id, body));
    if (body === "long") release = respond;
    else respond();
  });
  linked.runners.set([engine.runner]);
  const one = await linked.add();
  const other = await linked.add();
  for (let sent = 0; sent < WARM_UP; sent++) {
    await send(sent % 2 === 0 ? one : other, "warm-up");
  }
  bodies.length = 0;
  const long = send(one, "long");
  await waitUntil(() => bodies.length === 1);
  const refused = await send(one, "returning");
  assert.equal(refused.status, 503);
  const retryAfterMs = 1_000 * Number(refused.headers["retry-after"]);
  assert.ok(retryAfterMs >= 250 && retryAfterMs < 5_000 / 3);
  await pause(retryAfterMs);
  const later = send(one, "later");
  await waitUntil(() => isWaiting(one));
  const returning = send(other, "returning");
  await waitUntil(() => isWaiting(other));
  release();
  const responses = await Promise.all([long, later, returning]);
  assert.deepEqual(responses.map(({ status }) => status), [200, 200, 200]);
  assert.deepEqual(bodies, ["long", "returning", "later"]);
  const metrics = await other.metrics.text();
  assert.match(metrics, /returns_total\{[^}]*outcome="answered"\} 1/);
});

// Guards against places, and bytes between daemons, where requests are scheduled as
// before.
for (
  const { scheduling, kept } of [
    { scheduling: { scheduling: "basic", pressure: true }, kept: 0 },
    { scheduling: ADAPTIVE, kept: 1 },
  ] as const
) {
  test(`a refused request has ${kept} places if scheduling is ${scheduling.scheduling}`, async (t) => {
    const linked = new LinkedRouters(t, {}, { scheduling });
    const full = await startFakeRunner(t, "full", (socket, _, id) => {
      const status = "503 Service Unavailable";
      const headers = "X-Not-Run: 1\r\n";
      socket.write(runnerResponse(id, "", { status, headers }));
    });
    linked.runners.set([full.runner]);
    const router = await linked.add();
    const { status, headers } = await linked.send("work");
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) > 0);
    assert.equal(router.places.size, kept);
  });
}
