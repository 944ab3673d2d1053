/**
 * Linked routers, each with paths of its own to the runners, and callers that keep
 * their connections.
 *
 * @module
 */
import { clientRequest } from "@umbermast/coordination/client_request";
import { ClientAgent } from "@umbermast/coordination/client_socket";
import type { Agent } from "node:http";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { text } from "node:stream/consumers";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { EventLog } from "../src/process/event_log.ts";
import type { Router } from "../src/router.ts";
import type { Route } from "../src/version/configuration.ts";
import {
  encodeChunk,
  runnerResponse,
  startFakeRunner,
  streamHead,
} from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";
import { PartitionProxy } from "./partition_proxy.ts";
import type { Partition } from "./partition_proxy.ts";

const LOCALHOST = "127.0.0.1";
/** Beginning of a router's probe of a runner, which is no run of a request. */
const PROBE = "GET / HTTP/1.1\r\n";
/** Duration of a request at its runner, in ms. */
const WORK_MS = 15;
/** Events of a stream. */
const EVENTS = 4;
/** Time that a caller waits between two requests, in ms. */
const REST_MS = 60;
const OK = 200;

/** Routes of the callers' requests, which take turns. */
const ROUTES: readonly (Partial<Route> & { readonly pathPrefix: string })[] = [
  {
    name: "get",
    pathPrefix: "/get/",
    repetition: "idempotent",
    maxAttempts: 2,
  },
  { name: "once", pathPrefix: "/once/" },
  { name: "stream", pathPrefix: "/stream/", streaming: true },
];
/** Routes of single requests. */
const OTHER_ROUTES: readonly Partial<Route>[] = [
  { name: "slow", pathPrefix: "/slow/", timeoutMs: 10_000 },
  { name: "unframed", pathPrefix: "/unframed/" },
];
/** Time in which a router shuts down, in ms. */
const GRACE_MS = 8_000;
/** Duration of a request to the slow route, in ms. */
const SLOW_MS = 4_000;

/** What became of one request. */
export interface Try {
  /** Index of the router that it was sent to. */
  readonly router: number;
  readonly startedAt: number;
  readonly served: boolean;
}

/** Share of tries that were served. */
export function servedShare(tries: readonly Try[]): number {
  return tries.filter(({ served }) => served).length / tries.length;
}

/** The routers, runners and callers of a test. */
export class PartitionedFleet {
  readonly linked: LinkedRouters;
  readonly tries: Try[] = [];
  readonly runners: FakeRunner[] = [];
  /** Requests that runners ran, by the ids of the callers' tries. */
  readonly runs = new Map<string, number>();
  /** Requests of the slow route that have reached runners. */
  slowRequests = 0;
  /** Responses without a length that runners have begun. */
  unframedResponses = 0;
  readonly #context: TestContext;
  /** By router, one proxy for each runner. */
  readonly #proxies: PartitionProxy[][] = [];
  #sent = 0;
  #over = false;

  private constructor(context: TestContext) {
    this.#context = context;
    this.linked = new LinkedRouters(context, [...ROUTES, ...OTHER_ROUTES], {
      graceMs: GRACE_MS,
    });
    context.after(() => this.#over = true);
  }

  /** Starts routers and runners, and waits until the routers are ready and linked. */
  static async start(context: TestContext, shape: {
    readonly routers: number;
    readonly runners: number;
    readonly log?: EventLog;
  }): Promise<PartitionedFleet> {
    const fleet = new PartitionedFleet(context);
    for (let index = 0; index < shape.runners; index++) {
      fleet.runners.push(await fleet.#startRunner(`r-${index}`));
    }
    fleet.linked.runners.set(fleet.runners.map(({ runner }) => runner));
    for (let index = 0; index < shape.routers; index++) {
      await fleet.#addRouter(shape.log);
    }
    return fleet;
  }

  get routers(): readonly Router[] {
    return this.linked.routers;
  }

  /** Partitions routers, given by their indices, from runners: by default all. */
  partition(routers: readonly number[], partition: Partition, options: {
    readonly from?: readonly number[];
  } = {}): void {
    for (const proxy of this.#paths(routers, options.from)) {
      proxy.partition(partition);
    }
  }

  /** Ends the partitions of routers. */
  async heal(routers: readonly number[]): Promise<void> {
    await Promise.all(this.#paths(routers).map((proxy) => proxy.heal()));
  }

  /** Sends requests of callers to each router for a while. */
  async call(options: {
    readonly callersPerRouter: number;
    readonly forMs: number;
  }): Promise<void> {
    const until = performance.now() + options.forMs;
    const callers = this.routers.flatMap((_, router) =>
      Array.from(
        { length: options.callersPerRouter },
        (_, caller) => this.#callUntil(router, caller, until),
      )
    );
    await Promise.all(callers);
  }

  /** Sends one request to a router, on a connection of its own by default. */
  async send(
    router: number,
    path: string,
    agent: Agent | false = false,
  ): Promise<Try> {
    this.#sent += 1;
    const startedAt = performance.now();
    const served = await this.#isServed(router, {
      path,
      agent,
      id: `try-${this.#sent}`,
    });
    const done = { router, startedAt, served };
    this.tries.push(done);
    return done;
  }

  async #callUntil(
    router: number,
    caller: number,
    until: number,
  ): Promise<void> {
    const agent = new ClientAgent({ keepAlive: true, maxSockets: 1 });
    for (let turn = caller; performance.now() < until; turn++) {
      if (this.#over) break;
      const { pathPrefix } = ROUTES[turn % ROUTES.length]!;
      await this.send(router, pathPrefix, agent);
      await pause(REST_MS);
    }
    agent.destroy();
  }

  #isServed(
    router: number,
    { path, agent, id }: {
      readonly path: string;
      readonly agent: Agent | false;
      readonly id: string;
    },
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const outgoing = clientRequest({
        host: LOCALHOST,
        port: this.routers[router]!.callersPort,
        method: path.startsWith("/get/") ? "GET" : "POST",
        path,
        headers: { host: "test", "x-id": id },
        agent,
      });
      outgoing.on("error", () => resolve(false));
      outgoing.on("response", (incoming: IncomingMessage) => {
        text(incoming).then(
          (body) => resolve(incoming.statusCode === OK && body.includes(id)),
          () => resolve(false),
        );
      });
      outgoing.end(path.startsWith("/get/") ? undefined : id);
    });
  }

  #paths(
    routers: readonly number[],
    runners: readonly number[] = [...this.runners.keys()],
  ): readonly PartitionProxy[] {
    return routers.flatMap((router) =>
      runners.map((runner) => this.#proxies[router]![runner]!)
    );
  }

  async #addRouter(log?: EventLog): Promise<void> {
    const proxies = await Promise.all(
      this.runners.map(({ runner }) =>
        PartitionProxy.start(this.#context, runner.port)
      ),
    );
    this.#proxies.push(proxies);
    const ports = this.runners.map(({ runner }) => runner.port);
    await this.linked.add({
      log,
      network: {
        connect: ({ port }) => proxies[ports.indexOf(port)]!.connect(),
      },
    });
  }

  #startRunner(name: string): Promise<FakeRunner> {
    return startFakeRunner(this.#context, name, (socket, text, id) => {
      if (text.startsWith(PROBE)) {
        return void socket.write(runnerResponse(id, "healthy"));
      }
      this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
      if (text.includes(" /unframed/")) return this.#beginUnframed(socket, id);
      const streams = text.includes(" /stream/");
      const slow = text.includes(" /slow/");
      if (slow) this.slowRequests += 1;
      const finish = () => {
        if (!streams) return void socket.write(runnerResponse(id, id));
        const events = Array.from(
          { length: EVENTS },
          (_, index) => encodeChunk(`id: ${index + 1}\ndata: ${id}\n\n`),
        );
        socket.write(`${streamHead(id)}${events.join("")}0\r\n\r\n`);
      };
      setTimeout(finish, slow ? SLOW_MS : WORK_MS);
    });
  }

  #beginUnframed(socket: Socket, id: string): void {
    socket.write(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n${id}`);
    this.unframedResponses += 1;
  }
}
