/**
 * Routers that are linked to each other, before runners that one request ends.
 *
 * @module
 */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { Runner } from "../src/process/runner.ts";
import type { Router } from "../src/router.ts";
import type { Route } from "../src/version/configuration.ts";
import {
  answer,
  playRunner,
  SettableFeed,
  startRouter,
  testConfiguration,
  testRoute,
  until,
} from "./fixtures.ts";
import type { PlayedRunner } from "./fixtures.ts";

/** Milliseconds from the arrival of the request until its runner ends. */
const CRASH_MS = 45;
/** Milliseconds of any other request. */
const WORK_MS = 10;
/** Milliseconds after which another runner takes the place of one that ended. */
const BACK_MS = 1_000;
/** What the body of the request that ends runners begins with. */
export const CRASHING = "crash";

const LOCALHOST = "127.0.0.1";

/** A port that nobody listens on. */
async function unusedPort(): Promise<number> {
  const server = createServer();
  server.listen(0, LOCALHOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

/** Routers and runners of one test. */
export class CrashingFleet {
  readonly routers: Router[] = [];
  readonly runners = new SettableFeed<Runner>([]);
  /** Bodies of all requests that reached runners, in turn. */
  readonly arrivals: string[] = [];
  /** Runners that have ended. */
  ends = 0;
  /** Requests that end runners which wait there, of those that come next. */
  waiting = 0;
  /** Requests that were taken back while they waited. */
  withdrawn = 0;
  readonly #context: TestContext;
  readonly #listed = new Map<string, Runner>();
  readonly #route: Partial<Route>;
  #names = 0;
  #size = 0;
  #over = false;

  private constructor(context: TestContext, route: Partial<Route>) {
    this.#context = context;
    this.#route = route;
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
    for (let index = 0; index < shape.routers; index++) await fleet.addRouter();
    return fleet;
  }

  /** Starts one more router, which finds the others. */
  async addRouter(): Promise<Router> {
    const seeds = this.routers.map(({ peersPort }) =>
      `${LOCALHOST}:${peersPort}`
    );
    const port = await unusedPort();
    let links = 0;
    const log = {
      event: (name: string) => void (links += name === "peer_joined" ? 1 : 0),
      decision() {},
    };
    const router = await startRouter(this.#context, {
      configurations: new SettableFeed([
        testConfiguration([testRoute(this.#route)]),
      ]),
      runners: this.runners,
      log,
      settings: {
        name: `host-${this.routers.length}`,
        peers: { host: LOCALHOST, port },
        seeds,
      },
    });
    this.routers.push(router);
    await until(() => router.ready && links >= seeds.length);
    return router;
  }

  /** Waits until another runner has taken the place of each that ended. */
  async restored(): Promise<void> {
    await until(() => this.#listed.size === this.#size);
    const names = [...this.#listed.keys()].sort().join();
    await until(() =>
      this.routers.every((router) =>
        router.fleet("service").runners.map(({ id }) => id).sort().join() ===
          names
      )
    );
  }

  /** Requests whose body begins so that have reached runners. */
  arrived(body: string): number {
    return this.arrivals.filter((each) => each.startsWith(body)).length;
  }

  async #enter(): Promise<void> {
    this.#names += 1;
    const played: PlayedRunner = await playRunner(
      this.#context,
      `r-${this.#names}`,
      (socket, text, id) => void this.#run(played, { socket, text, id }),
    );
    this.#listed.set(played.runner.id, played.runner);
    this.runners.set([...this.#listed.values()]);
  }

  async #run(played: PlayedRunner, run: {
    readonly socket: Socket;
    readonly text: string;
    readonly id: string;
  }): Promise<void> {
    const body = run.text.slice(run.text.indexOf("\r\n\r\n") + 4);
    this.arrivals.push(body);
    if (!body.startsWith(CRASHING)) {
      await pause(WORK_MS);
      run.socket.write(answer(run.id, body));
      return;
    }
    if (this.waiting > 0) {
      this.waiting -= 1;
      run.socket.once("close", () => this.withdrawn += 1);
      return;
    }
    await pause(CRASH_MS);
    if (!this.#listed.delete(played.runner.id)) return;
    this.ends += 1;
    await played.end();
    // Its entry stands until its successor's is there.
    await pause(BACK_MS, undefined, { ref: false });
    if (!this.#over) await this.#enter();
  }
}
