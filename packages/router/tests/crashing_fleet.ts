/**
 * Linked routers before runners that one request ends.
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

/** Milliseconds from the arrival of the request until its runner ends. */
const CRASH_MS = 45;
/** Milliseconds of any other request. */
const WORK_MS = 10;
/** Milliseconds after which another runner takes the place of one that ended. */
const BACK_MS = 1_000;
/** What the body of the request that ends runners begins with. */
export const CRASHING = "crash";

/** Routers and runners of one test. */
export class CrashingFleet {
  readonly linked: LinkedRouters;
  /** Bodies of all requests that reached runners, in turn. */
  readonly arrivals: string[] = [];
  /** Runners that have ended. */
  crashedRunners = 0;
  /** Requests that end runners which wait there, of those that come next. */
  requestsToQueue = 0;
  /** Requests that were taken back while they waited. */
  withdrawn = 0;
  readonly #context: TestContext;
  readonly #listed = new Map<string, Runner>();
  #names = 0;
  #size = 0;
  #over = false;

  private constructor(context: TestContext, route: Partial<Route>) {
    this.#context = context;
    this.linked = new LinkedRouters(context, route);
    context.after(() => this.#over = true);
  }

  /** Starts all of them and waits until the routers are ready and linked. */
  static async start(context: TestContext, shape: {
    readonly routers: number;
    readonly runners: number;
    readonly route?: Partial<Route>;
  }): Promise<CrashingFleet> {
    const fleet = new CrashingFleet(context, shape.route ?? {});
    fleet.#size = shape.runners;
    for (let index = 0; index < shape.runners; index++) await fleet.#enter();
    for (let index = 0; index < shape.routers; index++) {
      await fleet.linked.add();
    }
    return fleet;
  }

  /** Waits until another runner has taken the place of each that ended. */
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

  /** Requests whose body begins so that have reached runners. */
  countArrivals(body: string): number {
    return this.arrivals.filter((each) => each.startsWith(body)).length;
  }

  async #enter(): Promise<void> {
    this.#names += 1;
    const played: FakeRunner = await startFakeRunner(
      this.#context,
      `r-${this.#names}`,
      (socket, text, id) => void this.#run(played, { socket, text, id }),
    );
    this.#listed.set(played.runner.id, played.runner);
    this.linked.runners.set([...this.#listed.values()]);
  }

  async #run(played: FakeRunner, run: {
    readonly socket: Socket;
    readonly text: string;
    readonly id: string;
  }): Promise<void> {
    const body = run.text.slice(run.text.indexOf("\r\n\r\n") + 4);
    this.arrivals.push(body);
    if (!body.startsWith(CRASHING)) {
      await pause(WORK_MS);
      run.socket.write(runnerResponse(run.id, body));
      return;
    }
    if (this.requestsToQueue > 0) {
      this.requestsToQueue -= 1;
      run.socket.once("close", () => this.withdrawn += 1);
      return;
    }
    await pause(CRASH_MS);
    if (!this.#listed.delete(played.runner.id)) return;
    this.crashedRunners += 1;
    await played.end();
    // Its entry stands until its successor's is there.
    await pause(BACK_MS, undefined, { ref: false });
    if (!this.#over) await this.#enter();
  }
}
