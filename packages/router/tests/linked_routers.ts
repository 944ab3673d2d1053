/**
 * Routers with links to each other and the same runners.
 *
 * @module
 */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import type { TestContext } from "node:test";
import { openSocket } from "../src/connection/open_socket.ts";
import type { RunnerNetwork } from "../src/connection/runner_network.ts";
import type { EventLog } from "../src/process/event_log.ts";
import type { Feed } from "../src/process/feed.ts";
import type { Runner } from "../src/process/runner.ts";
import type { VersionStore } from "../src/process/version_record.ts";
import type { SchedulingSettings } from "../src/process/scheduling_mode.ts";
import type { RouterSettings } from "../src/process/settings.ts";
import type { Router } from "../src/router.ts";
import type { Configuration, Route } from "../src/version/configuration.ts";
import {
  MemoryVersionStore,
  sendRequest,
  SettableFeed,
  SILENT_LOG,
  startRouter,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";
import type { CallerResponse, FakeRunner } from "./fixtures.ts";

const LOCALHOST = "127.0.0.1";

/** Settings with which all services are scheduled adaptively. */
export const ADAPTIVE: SchedulingSettings = {
  scheduling: "adaptive",
  pressure: false,
};

/** Returns a port that no process listens on. */
export async function unusedPort(): Promise<number> {
  const server = createServer();
  server.listen(0, LOCALHOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

/** The routers of a test, each with links to all others. */
export class LinkedRouters {
  readonly routers: Router[] = [];
  /** The runners that all routers use. */
  readonly runners = new SettableFeed<Runner>([]);
  /** The record of software versions that all routers use. */
  readonly versions = new MemoryVersionStore();
  readonly #context: TestContext;
  readonly #routes: readonly Partial<Route>[];
  readonly #settings: Partial<RouterSettings>;
  readonly #fields: Partial<Configuration>;
  #attempts = 0;

  /**
   * @param routes changes to the default route, which matches every path.
   * @param settings changes to the settings of all routers.
   * @param fields changes to the rest of the configuration.
   */
  constructor(
    context: TestContext,
    routes: Partial<Route> | readonly Partial<Route>[] = {},
    settings: Partial<RouterSettings> = {},
    fields: Partial<Configuration> = {},
  ) {
    this.#context = context;
    this.#routes = [routes].flat();
    this.#settings = settings;
    this.#fields = fields;
  }

  /**
   * Starts a router and waits until it is ready and linked to all others.
   *
   * @param parts.network how this router reaches runners.
   * @param parts.runners how it reads the runners, if not as the others do.
   * @param parts.versions how it reaches the record of versions.
   * @param parts.alone whether it has no links.
   */
  async add(parts: {
    readonly network?: RunnerNetwork;
    readonly log?: EventLog | undefined;
    readonly runners?: Feed<Runner>;
    readonly versions?: VersionStore;
    readonly alone?: boolean;
  } = {}): Promise<Router> {
    const others = parts.alone ? [] : this.routers;
    const seeds = others.map(({ peersPort }) => `${LOCALHOST}:${peersPort}`);
    const port = await unusedPort();
    let links = 0;
    const { log: lines = SILENT_LOG } = parts;
    const log: EventLog = {
      event(name, fields) {
        if (name === "peer_joined") links += 1;
        lines.event(name, fields);
      },
      decision: (...line) => lines.decision(...line),
    };
    const router = await startRouter(this.#context, {
      configurations: new SettableFeed([
        testConfiguration(this.#routes.map(testRoute), this.#fields),
      ]),
      runners: parts.runners ?? this.runners,
      versions: parts.versions ?? this.versions,
      network: parts.network,
      log,
      settings: {
        ...this.#settings,
        name: `host-${this.routers.length}`,
        peers: { host: LOCALHOST, port },
        seeds,
      },
    });
    this.routers.push(router);
    await waitUntil(() => router.ready && links >= seeds.length);
    return router;
  }

  /** Sends a request to the routers in turn; each attempt has its own id. */
  send(
    body: string,
    options: { readonly path?: string; readonly prompt?: string } = {},
  ): Promise<CallerResponse> {
    const router = this.routers[this.#attempts % this.routers.length]!;
    this.#attempts += 1;
    return sendRequest(router, {
      method: "POST",
      path: options.path ?? "/",
      body,
      headers: {
        "x-id": `try-${this.#attempts}`,
        ...(options.prompt === undefined ? {} : { "x-prompt": options.prompt }),
      },
    });
  }
}

/** Starts a router that reaches its runners by way of a peer only. */
export async function startTunnelled(
  context: TestContext,
  route: Partial<Route>,
  runners: readonly FakeRunner[],
): Promise<Router> {
  const fleet = new LinkedRouters(context, route);
  fleet.runners.set(runners.map(({ runner }) => runner));
  await fleet.add();
  const port = await unusedPort();
  const network: RunnerNetwork = {
    connect: () => openSocket({ host: LOCALHOST, port }),
  };
  return await fleet.add({ network });
}
