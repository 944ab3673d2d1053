import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { runnerResponse, startFakeRunner, waitUntil } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

/** Milliseconds in which daemons that are in touch know what one of them does. */
const CONTACT_MS = 3_000;
/** Milliseconds over which what a runner gets is counted. */
const WINDOW_MS = 4_000;
/** Milliseconds between two requests, 80 a second in all. */
const GAP_MS = 12.5;
const WORK_MS = 10;
const RUNNERS = 6;

/** Most requests in a window that a limit allows. */
function allowed(perS: number): number {
  return 1.5 * perS * WINDOW_MS / 1_000 + 5;
}

/** Routers before runners of which the first one may name a limit. */
class LimitedFleet {
  readonly linked: LinkedRouters;
  /** Steady ms at which requests reached the first runner. */
  readonly arrivals: number[] = [];
  /** Requests a second that it names. */
  perS: number | undefined;
  /** What callers were answered. */
  readonly statuses: number[] = [];
  #over = false;

  private constructor(context: TestContext) {
    this.linked = new LinkedRouters(context);
    context.after(() => this.#over = true);
  }

  static async start(t: TestContext, routers: number): Promise<LimitedFleet> {
    const fleet = new LimitedFleet(t);
    const played = await Promise.all(
      Array.from({ length: RUNNERS }, (_, index) => fleet.#play(t, index)),
    );
    fleet.linked.runners.set(played.map(({ runner }) => runner));
    for (let count = 0; count < routers; count++) await fleet.linked.add();
    void fleet.#send();
    return fleet;
  }

  /** Most requests that came in a window after a moment. */
  mostInWindow(from: number): number {
    const counts = this.arrivals.filter((at) => at >= from).map((start) =>
      this.arrivals.filter((at) => at >= start && at < start + WINDOW_MS).length
    );
    return Math.max(0, ...counts);
  }

  #play(t: TestContext, index: number) {
    return startFakeRunner(t, `r-${index}`, async (socket, _, id) => {
      const limited = index === 0;
      if (limited) this.arrivals.push(performance.now());
      const headers = limited && this.perS !== undefined
        ? `X-Limit: ${this.perS}\r\n`
        : "";
      await pause(WORK_MS);
      socket.write(runnerResponse(id, "done", { headers }));
    });
  }

  async #send(): Promise<void> {
    const startedAt = performance.now();
    for (let sent = 0; !this.#over; sent++) {
      // What fails once the test is over has nobody to tell.
      this.linked.send("work").then(
        ({ status }) => this.statuses.push(status),
        () => {},
      );
      const dueMs = startedAt + sent * GAP_MS - performance.now();
      if (dueMs > 1) await pause(dueMs);
    }
  }
}

// Guards against daemons that each keep a limit by themselves, or not at all.
test("a runner gets what it takes from all daemons together", async (t) => {
  const fleet = await LimitedFleet.start(t, 7);
  fleet.perS = 1.4;
  const namedAt = performance.now();
  await pause(CONTACT_MS + WINDOW_MS);
  const most = fleet.mostInWindow(namedAt + CONTACT_MS);
  t.diagnostic(`${most} requests in ${WINDOW_MS} ms`);
  assert.ok(most <= allowed(1.4), `${most} requests`);
});

/** A fleet whose first runner names a limit that all routers know. */
async function limitedFleet(t: TestContext): Promise<LimitedFleet> {
  const fleet = await LimitedFleet.start(t, 7);
  const { routers } = fleet.linked;
  fleet.perS = 1.4;
  await waitUntil(() =>
    routers.every(({ limits }) => limits.of("r-0") === 1.4)
  );
  return fleet;
}

// Guards against a runner in need that gets nothing, or is taken to fail.
test("a runner with a limit goes on serving, and nobody is refused for it", async (t) => {
  const fleet = await limitedFleet(t);
  const { arrivals, statuses, linked } = fleet;
  const before = arrivals.length;
  await waitUntil(() => arrivals.length >= before + 6);
  assert.deepEqual([...new Set(statuses)], [200]);
  for (const router of linked.routers) {
    assert.equal(router.loads.of("r-0").failures, 0);
  }
});

// Guards against a runner that is kept out after it has recovered.
test("a limit that a runner names no more ends at all routers", async (t) => {
  const fleet = await limitedFleet(t);
  const { routers } = fleet.linked;
  fleet.perS = undefined;
  await waitUntil(() =>
    routers.every(({ limits }) => limits.of("r-0") === undefined)
  );
  const before = fleet.arrivals.length;
  await waitUntil(() => fleet.arrivals.length >= before + 20);
});

// Guards against repeats that go where first tries may not.
test("a request is repeated at no runner that has had its limit", async (t) => {
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

// Guards against refusals where the runner takes the request a moment later.
test("where all runners have had their limits a request waits, then is refused", async (t) => {
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
  const answers = await Promise.all(
    Array.from({ length: 20 }, () => linked.send("work")),
  );
  const refused = answers.filter(({ status }) => status === 503);
  assert.ok(refused.length > 0 && refused.length < 20, `${refused.length}`);
  for (const { body, headers } of refused) {
    assert.deepEqual(JSON.parse(body), { error: "overloaded" });
    assert.ok(Number(headers["retry-after"]) > 0);
  }
  assert.equal(only.requests.length, 2 + 20 - refused.length);
});

// Guards against less urgent requests that take what an urgent one waits for.
test("where all runners have had their limits the urgent request goes first", async (t) => {
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
  const calm = Array.from(
    { length: 6 },
    () => linked.send("work", { path: "/calm/" }),
  );
  await pause(50);
  await linked.send("work", { path: "/urgent/" });
  assert.ok(served.indexOf("urgent") <= 1, served.join());
  await Promise.all(calm);
});
