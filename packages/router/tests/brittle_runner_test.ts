import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { Runner } from "../src/process/runner.ts";
import { runnerResponse, startFakeRunner } from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

const ROUTERS = 7;
const RUNNERS = 4;
const SLOTS = 2;
/** Duration of a request at its runner, in ms: 80 a second at all of them. */
const WORK_MS = 100;
/** Interval between requests, in ms: twice of what the runners can do. */
const INTERVAL_MS = 6.25;
/** Rejections in a second beyond which a runner falls over. */
const BRITTLENESS = 8;
/** Requests that wait at a runner, at first and when it has become brittle. */
const WAITING = { before: 4, brittle: 0 };
/** Time from the statement until fewer requests may wait, in ms. */
const CONTACT_MS = 3_000;
const BRITTLE_MS = 8_000;
/** Time until a runner that fell over has a successor, in ms. */
const REPLACEMENT_MS = 2_000;
/** Falls that are allowed. */
const ALLOWED_FALLS = 2 + Math.floor(RUNNERS / 10);
/** Minimum share of what the runners can do that is served. */
const MIN_SERVED_SHARE = 0.5;

/** Linked routers before runners that fall over when they reject too much. */
class BrittleFleet {
  readonly linked: LinkedRouters;
  falls = 0;
  served = 0;
  /** When the runners began to state that they are brittle; monotonic ms. */
  #brittleSince: number | undefined;
  readonly #context: TestContext;
  readonly #listed = new Map<string, Runner>();
  #started = 0;
  #finished = false;

  private constructor(context: TestContext) {
    this.#context = context;
    this.linked = new LinkedRouters(context, {
      maxAttempts: 2,
      repetition: "idempotent",
    });
    context.after(() => this.#finished = true);
  }

  static async start(context: TestContext): Promise<BrittleFleet> {
    const fleet = new BrittleFleet(context);
    for (let index = 0; index < RUNNERS; index++) await fleet.#addRunner();
    for (let index = 0; index < ROUTERS; index++) await fleet.linked.add();
    return fleet;
  }

  /** The runners state that they are brittle from now on. */
  becomeBrittle(): void {
    this.#brittleSince = performance.now();
  }

  /** Sends requests at twice the rate that the runners can serve. */
  async send(forMs: number): Promise<void> {
    const until = performance.now() + forMs;
    const sent: Promise<void>[] = [];
    for (let next = performance.now(); next < until; next += INTERVAL_MS) {
      await pause(Math.max(0, next - performance.now()));
      sent.push(this.#sendOne());
    }
    await Promise.all(sent);
  }

  async #sendOne(): Promise<void> {
    const { status } = await this.linked.send("work");
    if (status === 200) this.served += 1;
  }

  get #waitingAllowed(): number {
    const since = this.#brittleSince ?? Infinity;
    const isBrittle = performance.now() - since > CONTACT_MS;
    return isBrittle ? WAITING.brittle : WAITING.before;
  }

  async #addRunner(): Promise<void> {
    this.#started += 1;
    const queue: (() => void)[] = [];
    let running = 0;
    let rejectedAt: number[] = [];
    const headers = () => {
      const load = `X-Load: ${running},${queue.length},${SLOTS}\r\n`;
      return this.#brittleSince === undefined
        ? load
        : `${load}X-Brittle: ${BRITTLENESS}\r\n`;
    };
    const run = (socket: Socket, id: string) => {
      running += 1;
      setTimeout(() => {
        running -= 1;
        socket.write(runnerResponse(id, "", { headers: headers() }));
        queue.shift()?.();
      }, WORK_MS);
    };
    const reject = (socket: Socket, id: string) => {
      const now = performance.now();
      rejectedAt = [...rejectedAt.filter((at) => at > now - 1_000), now];
      socket.write(runnerResponse(id, "", {
        status: "503 Service Unavailable",
        headers: `X-Not-Run: 1\r\n${headers()}`,
      }));
      const fallsOver = this.#brittleSince !== undefined &&
        rejectedAt.length > BRITTLENESS;
      if (fallsOver) void this.#fall(fake);
    };
    const fake: FakeRunner = await startFakeRunner(
      this.#context,
      `r-${this.#started}`,
      (socket, _, id) => {
        if (running < SLOTS) return run(socket, id);
        if (queue.length >= this.#waitingAllowed) return reject(socket, id);
        queue.push(() => run(socket, id));
      },
    );
    this.#listed.set(fake.runner.id, { ...fake.runner, slots: SLOTS });
    this.linked.runners.set([...this.#listed.values()]);
  }

  async #fall(fake: FakeRunner): Promise<void> {
    if (!this.#listed.delete(fake.runner.id)) return;
    this.falls += 1;
    await fake.end();
    await pause(REPLACEMENT_MS, undefined, { ref: false });
    if (!this.#finished) await this.#addRunner();
  }
}

// Guards against runners that fall over because daemons go on sending to full ones.
test("runners that state that they are brittle are not made to fall over", async (t) => {
  const fleet = await BrittleFleet.start(t);
  await fleet.send(1_000);
  fleet.becomeBrittle();
  fleet.served = 0;
  await fleet.send(BRITTLE_MS);
  const possible = RUNNERS * SLOTS * BRITTLE_MS / WORK_MS;
  t.diagnostic(`${fleet.falls} falls, ${fleet.served} of ${possible} served`);
  assert.ok(fleet.falls <= ALLOWED_FALLS, `${fleet.falls} falls`);
  assert.ok(fleet.served >= MIN_SERVED_SHARE * possible, `${fleet.served}`);
});
