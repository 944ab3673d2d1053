import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { runnerResponse, startFakeRunner, waitUntil } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

/** Time within which linked daemons know each other's limits, in ms. */
const PROPAGATION_MS = 3_000;
/** Window over which requests to a runner are counted, in ms. */
const WINDOW_MS = 4_000;
/** Interval between requests, in ms: 80 requests a second in all. */
const INTERVAL_MS = 12.5;
const REQUEST_MS = 10;
const RUNNERS = 6;

/** Number of requests in a window that a limit allows at most. */
function maxRequests(perS: number): number {
  return 1.5 * perS * WINDOW_MS / 1_000 + 5;
}

/** Routers and runners; the first runner may state a rate limit. */
class LimitedFleet {
  readonly linked: LinkedRouters;
  /** Times at which requests reached the first runner, in monotonic ms. */
  readonly arrivals: number[] = [];
  /** Rate limit that the first runner states, in requests a second. */
  perS: number | undefined;
  /** Status codes that callers received. */
  readonly statuses: number[] = [];
  #finished = false;

  private constructor(context: TestContext) {
    this.linked = new LinkedRouters(context);
    context.after(() => this.#finished = true);
  }

  static async start(t: TestContext, routers: number): Promise<LimitedFleet> {
    const fleet = new LimitedFleet(t);
    const fakes = await Promise.all(
      Array.from(
        { length: RUNNERS },
        (_, index) => fleet.#startRunner(t, index),
      ),
    );
    fleet.linked.runners.set(fakes.map(({ runner }) => runner));
    for (let count = 0; count < routers; count++) await fleet.linked.add();
    void fleet.#send();
    return fleet;
  }

  /** Largest number of requests to the first runner in any window after a time. */
  mostInWindow(from: number): number {
    const counts = this.arrivals.filter((at) => at >= from).map((start) =>
      this.arrivals.filter((at) => at >= start && at < start + WINDOW_MS).length
    );
    return Math.max(0, ...counts);
  }

  #startRunner(t: TestContext, index: number) {
    return startFakeRunner(t, `r-${index}`, async (socket, _, id) => {
      const limited = index === 0;
      if (limited) this.arrivals.push(performance.now());
      const headers = limited && this.perS !== undefined
        ? `X-Limit: ${this.perS}\r\n`
        : "";
      await pause(REQUEST_MS);
      socket.write(runnerResponse(id, "done", { headers }));
    });
  }

  async #send(): Promise<void> {
    const startedAt = performance.now();
    for (let sent = 0; !this.#finished; sent++) {
      // Requests that fail after the end of the test are ignored.
      this.linked.send("work").then(
        ({ status }) => this.statuses.push(status),
        () => {},
      );
      const dueMs = startedAt + sent * INTERVAL_MS - performance.now();
      if (dueMs > 1) await pause(dueMs);
    }
  }
}

// Guards against daemons that each apply the whole limit, or none.
test("all daemons together keep a runner's limit", async (t) => {
  const fleet = await LimitedFleet.start(t, 7);
  fleet.perS = 1.4;
  const statedAt = performance.now();
  await pause(PROPAGATION_MS + WINDOW_MS);
  const most = fleet.mostInWindow(statedAt + PROPAGATION_MS);
  t.diagnostic(`${most} requests in ${WINDOW_MS} ms`);
  assert.ok(most <= maxRequests(1.4), `${most} requests`);
});

/** Starts a fleet whose first runner has a limit that all routers know. */
async function startLimitedFleet(t: TestContext): Promise<LimitedFleet> {
  const fleet = await LimitedFleet.start(t, 7);
  const { routers } = fleet.linked;
  fleet.perS = 1.4;
  await waitUntil(() =>
    routers.every(({ limits }) => limits.perSecond("r-0") === 1.4)
  );
  return fleet;
}

// Guards against a limited runner that gets no requests or counts as failing.
test("a runner with a limit goes on serving, and no request is refused", async (t) => {
  const fleet = await startLimitedFleet(t);
  const { arrivals, statuses, linked } = fleet;
  const before = arrivals.length;
  await waitUntil(() => arrivals.length >= before + 6);
  assert.deepEqual([...new Set(statuses)], [200]);
  for (const router of linked.routers) {
    assert.equal(router.loads.of("r-0").failures, 0);
  }
});

// Guards against a limit that stays in force after the runner has recovered.
test("a limit ends at all routers when the runner no longer states it", async (t) => {
  const fleet = await startLimitedFleet(t);
  const { routers } = fleet.linked;
  fleet.perS = undefined;
  await waitUntil(() =>
    routers.every(({ limits }) => limits.perSecond("r-0") === undefined)
  );
  const before = fleet.arrivals.length;
  await waitUntil(() => fleet.arrivals.length >= before + 20);
});

// Guards against retries that ignore limits.
test("a request is not retried at a runner whose limit is used up", async (t) => {
  const linked = new LinkedRouters(t, {
    repetition: "idempotent",
    maxAttempts: 2,
  });
  const failing = await startFakeRunner(t, "failing", (socket, _, id) => {
    const status = "500 Internal Server Error";
    socket.write(runnerResponse(id, "failed", { status }));
  });
  const limited = await startFakeRunner(t, "limited", () => {});
  linked.runners.set([failing.runner, limited.runner]);
  const router = await linked.add();
  const now = router.now();
  const stated = { kind: "limit", perS: 1 } as const;
  router.limits.recordStated("limited", stated, { sentAt: now, now });
  assert.equal((await linked.send("work")).status, 500);
  assert.equal(limited.requests.length, 0);
});

// Guards against immediate refusals although a runner is free a moment later.
test("when all limits are used up a request waits before it is refused", async (t) => {
  const linked = new LinkedRouters(t, { timeoutMs: 1_000, patienceMs: 1_000 });
  const only = await startFakeRunner(t, "only", (socket, _, id) => {
    const headers = "X-Limit: 5\r\n";
    socket.write(runnerResponse(id, "done", { headers }));
  });
  linked.runners.set([only.runner]);
  await linked.add();
  const first = await linked.send("work");
  const second = await linked.send("work");
  assert.deepEqual([first.status, second.status], [200, 200]);
  const responses = await Promise.all(
    Array.from({ length: 20 }, () => linked.send("work")),
  );
  const refused = responses.filter(({ status }) => status === 503);
  assert.ok(refused.length > 0 && refused.length < 20, `${refused.length}`);
  for (const { body, headers } of refused) {
    assert.deepEqual(JSON.parse(body), { error: "overloaded" });
    assert.ok(Number(headers["retry-after"]) > 0);
  }
  assert.equal(only.requests.length, 2 + 20 - refused.length);
});

// Guards against less urgent requests that overtake a waiting urgent one.
test("when all limits are used up the most urgent request goes first", async (t) => {
  const linked = new LinkedRouters(t, [
    { name: "calm", pathPrefix: "/calm/", tier: 1, timeoutMs: 3_000 },
    { name: "urgent", pathPrefix: "/urgent/", tier: 0, timeoutMs: 3_000 },
  ]);
  const served: string[] = [];
  const only = await startFakeRunner(t, "only", (socket, text, id) => {
    served.push(/ \/(\w+)\//.exec(text)![1]!);
    socket.write(runnerResponse(id, "done", { headers: "X-Limit: 4\r\n" }));
  });
  linked.runners.set([only.runner]);
  const router = await linked.add();
  const now = router.now();
  router.limits.recordStated("only", { kind: "limit", perS: 4 }, {
    sentAt: now,
    now,
  });
  const lessUrgent = Array.from(
    { length: 6 },
    () => linked.send("work", { path: "/calm/" }),
  );
  await pause(50);
  await linked.send("work", { path: "/urgent/" });
  assert.ok(served.indexOf("urgent") <= 1, served.join());
  await Promise.all(lessUrgent);
});
