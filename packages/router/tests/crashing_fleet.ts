/**
 * Linked routers and runners, with a request that crashes any runner.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { Runner } from "../src/process/runner.ts";
import type { Route } from "../src/version/configuration.ts";
import { runnerResponse, startFakeRunner, waitUntil } from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

/** Time from the arrival of a crashing request to the crash, in ms. */
const CRASH_DELAY_MS = 45;
/** Duration of any other request, in ms. */
const REQUEST_MS = 10;
/** Time from a crash until another runner replaces the crashed one, in ms. */
const REPLACEMENT_MS = 1_000;
/** Prefix of the body of a request that crashes its runner. */
export const CRASHING = "crash";

/** The routers and runners of a test. */
export class CrashingFleet {
  readonly linked: LinkedRouters;
  /** Bodies of all requests that reached runners, in order of arrival. */
  readonly arrivals: string[] = [];
  /** Times of the arrivals, in monotonic ms. */
  readonly arrivedAt: number[] = [];
  /** Times of the crashes of runners, in monotonic ms. */
  readonly crashedAt: number[] = [];
  /** How many of the next crashing requests stay queued at their runners. */
  requestsToQueue = 0;
  /** Number of requests that were withdrawn while they were queued. */
  withdrawn = 0;
  readonly #context: TestContext;
  readonly #listed = new Map<string, Runner>();
  #runnersStarted = 0;
  #size = 0;
  #finished = false;

  private constructor(context: TestContext, route: Partial<Route>) {
    this.#context = context;
    this.linked = new LinkedRouters(context, route);
    context.after(() => this.#finished = true);
  }

  /** Starts routers and runners, and waits until the routers are ready and linked. */
  static async start(context: TestContext, shape: {
    readonly routers: number;
    readonly runners: number;
    readonly route?: Partial<Route>;
  }): Promise<CrashingFleet> {
    const fleet = new CrashingFleet(context, shape.route ?? {});
    fleet.#size = shape.runners;
    for (let index = 0; index < shape.runners; index++) await fleet.#add();
    for (let index = 0; index < shape.routers; index++) {
      await fleet.linked.add();
    }
    return fleet;
  }

  /** Number of runners that have crashed. */
  get crashedRunners(): number {
    return this.crashedAt.length;
  }

  /** Number of requests with this prefix of the body that have reached runners. */
  countArrivals(prefix: string, since = -Infinity): number {
    return this.arrivals.filter((body, index) =>
      body.startsWith(prefix) && this.arrivedAt[index]! > since
    ).length;
  }

  /** Waits until all routers see a replacement for each crashed runner. */
  async waitUntilRestored(): Promise<void> {
    await waitUntil(() => this.#listed.size === this.#size);
    const names = [...this.#listed.keys()].sort().join();
    await waitUntil(() =>
      this.linked.routers.every((router) =>
        router.fleet("service").runners.map(({ id }) => id).sort().join() ===
          names
      )
    );
  }

  async #add(): Promise<void> {
    this.#runnersStarted += 1;
    const fake: FakeRunner = await startFakeRunner(
      this.#context,
      `r-${this.#runnersStarted}`,
      (socket, text, id) => void this.#handle(fake, { socket, text, id }),
    );
    this.#listed.set(fake.runner.id, fake.runner);
    this.linked.runners.set([...this.#listed.values()]);
  }

  async #handle(fake: FakeRunner, request: {
    readonly socket: Socket;
    readonly text: string;
    readonly id: string;
  }): Promise<void> {
    const body = request.text.slice(request.text.indexOf("\r\n\r\n") + 4);
    this.arrivals.push(body);
    this.arrivedAt.push(performance.now());
    if (!body.startsWith(CRASHING)) {
      await pause(REQUEST_MS);
      request.socket.write(runnerResponse(request.id, body));
      return;
    }
    if (this.requestsToQueue > 0) {
      this.requestsToQueue -= 1;
      request.socket.once("close", () => this.withdrawn += 1);
      return;
    }
    await pause(CRASH_DELAY_MS);
    if (!this.#listed.delete(fake.runner.id)) return;
    this.crashedAt.push(performance.now());
    await fake.end();
    // The entry of a crashed runner stays listed until its replacement's is added.
    await pause(REPLACEMENT_MS, undefined, { ref: false });
    if (!this.#finished) await this.#add();
  }
}
