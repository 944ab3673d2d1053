import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { answer, playRunner } from "./fixtures.ts";
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
    return playRunner(t, `r-${index}`, async (socket, _, id) => {
      const limited = index === 0;
      if (limited) this.arrivals.push(performance.now());
      const headers = limited && this.perS !== undefined
        ? `X-Limit: ${this.perS}\r\n`
        : "";
      await pause(WORK_MS);
      socket.write(answer(id, "done", { headers }));
    });
  }

  async #send(): Promise<void> {
    const startedAt = performance.now();
    for (let sent = 0; !this.#over; sent++) {
      // What fails once the test is over has nobody to tell.
      this.linked.send("work").catch(() => {});
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
