/**
 * A rig for overloaded plain services: linked routers before small runners that
 * refuse what they have no room for, and workspaces that send at given rates.
 *
 * @module
 */
import { once } from "node:events";
import { Agent, createServer, request } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { EventLog } from "../src/process/event_log.ts";
import type { Runner } from "../src/process/runner.ts";
import type { SchedulingSetting } from "../src/process/scheduling_mode.ts";
import type { Router } from "../src/router.ts";
import type { Route } from "../src/version/configuration.ts";
import {
  SettableFeed,
  SILENT_LOG,
  startRouter,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";
import type { CleanupContext } from "./fixtures.ts";
import { unusedPort } from "./linked_routers.ts";
import {
  describeProcessorTime,
  measureProcessorTime,
} from "./processor_time.ts";
import type { ProcessorTime } from "./processor_time.ts";

const LOCALHOST = "127.0.0.1";
const MS_PER_SECOND = 1_000;
const SERVICE = "service";
const FAILURE_DOMAINS = 3;
/** Routers that a new one is told of; it learns the others from them. */
const SEEDS = 3;
/** So many that the daemons' shares of connections delay no request. */
const MAX_CONNECTIONS = 4_000;
/** Share of these that the known daemons may use; see router.ts. */
const CONNECTION_SHARE = 0.8;
const TICK_MS = 10;
const OK = 200;
const UNAVAILABLE = 503;

/**
 * Times that a request passes the process of the rig: caller, router, runner
 * and back, and the timers of the router and the runner.
 */
const PASSES = 6;

/** What callers do when a request is refused. */
export type RetryBehaviour = "never" | "after-delay" | "at-once";

/** A workspace, and the requests that it sends. */
export interface RigWorkspace {
  readonly name: string;
  /** Requests a second, sent at random times to random daemons. */
  readonly perS: number;
  /** Path of the requests, which selects the route; `/` by default. */
  readonly path?: string;
  /**
   * What its callers do when a request is refused: with "after-delay" they
   * send it again after the delay that the refusal states, with "at-once"
   * immediately. `never` by default.
   */
  readonly retry?: RetryBehaviour;
  /** Tier of the workspace, 0 being the most urgent. */
  readonly tier?: number;
}

/** Settings of a rig. */
export interface RigOptions {
  readonly daemons: number;
  readonly workspaces: readonly RigWorkspace[];
  /** Seed of the times and targets of requests. */
  readonly seed: number;
  /** Default: 4. */
  readonly runners?: number;
  /** Requests that a runner works on at a time; 2 by default. */
  readonly slots?: number;
  /** Requests that wait at a runner before it refuses others; 2 by default. */
  readonly maxWaiting?: number;
  /** Time in ms that a runner needs for one request; 86 by default. */
  readonly workMs?: number;
  /** Factors of the work time by runner; 1 by default. */
  readonly workFactors?: readonly number[];
  readonly targetMs?: number;
  readonly deadlineMs?: number;
  readonly scheduling?: SchedulingSetting;
  /** Changes to the default route, or several routes to the same service. */
  readonly routes?: Partial<Route> | readonly Partial<Route>[];
  /** Log of the daemon with this index. */
  readonly log?: (daemon: number) => EventLog;
}

/** What became of one request, with its retry if there was one. */
export interface RigResult {
  readonly workspace: string;
  /** Time from the start of the run to the first try, in ms. */
  readonly sentMs: number;
  /** Milliseconds from the first try to the last response. */
  readonly latencyMs: number;
  /** Status of the last response; 0 if there was none. */
  readonly status: number;
  /** Ids of the tries, by which runners' ledgers name them. */
  readonly ids: readonly string[];
}

/** The counts of a workspace's requests, or of all. */
export interface RigCounts {
  readonly sent: number;
  readonly served: number;
  readonly servedInTarget: number;
  readonly refused: number;
}

/** A runner with few slots that refuses what it has no room for. */
export class SmallRunner {
  readonly runner: Runner;
  /** Offers of each request by its id, refused ones included. */
  readonly offers = new Map<string, number>();
  /** Offers that were refused. */
  refusals = 0;
  /** Requests that were run to their end. */
  completed = 0;
  /** Time spent on these, in ms: more than the work time on a busy machine. */
  workedMs = 0;
  /** Time in ms that a request takes; tests may change it at any time. */
  workMs: number;
  readonly #server: Server;
  readonly #slots: number;
  readonly #maxWaiting: number;
  #running = 0;
  readonly #waiting: (() => void)[] = [];

  private constructor(server: Server, runner: Runner, options: {
    readonly maxWaiting: number;
    readonly workMs: number;
  }) {
    this.#server = server;
    this.runner = runner;
    this.#slots = runner.slots;
    this.#maxWaiting = options.maxWaiting;
    this.workMs = options.workMs;
  }

  static async start(context: CleanupContext, options: {
    readonly id: string;
    readonly failureDomain: string;
    readonly slots: number;
    readonly maxWaiting: number;
    readonly workMs: number;
  }): Promise<SmallRunner> {
    const { id, failureDomain, slots } = options;
    const server = createServer({
      keepAliveTimeout: 60_000,
      requireHostHeader: false,
    });
    server.listen(0, LOCALHOST);
    await once(server, "listening");
    const runner = {
      id,
      name: id,
      startedAtMs: undefined,
      service: SERVICE,
      address: LOCALHOST,
      port: (server.address() as AddressInfo).port,
      failureDomain,
      slots,
      draining: false,
      warmUpMs: 0,
    };
    const small = new SmallRunner(server, runner, options);
    server.on("request", (request, response) => {
      request.resume();
      request.on("error", () => {});
      small.#handle(String(request.headers["x-id"]), response);
    });
    context.after(() => small.stop());
    return small;
  }

  /** Requests that are run or wait at the runner. */
  get occupied(): number {
    return this.#running + this.#waiting.length;
  }

  /** Closes the port and all connections. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #handle(id: string, response: ServerResponse): void {
    this.offers.set(id, (this.offers.get(id) ?? 0) + 1);
    if (this.#running < this.#slots) return this.#run(id, response);
    if (this.#waiting.length >= this.#maxWaiting) {
      this.refusals += 1;
      const headers = { ...this.#headers(id), "X-Not-Run": "1" };
      response.writeHead(UNAVAILABLE, headers).end("full");
      return;
    }
    const start = () => this.#run(id, response);
    this.#waiting.push(start);
    response.once("close", () => {
      const index = this.#waiting.indexOf(start);
      if (index >= 0) this.#waiting.splice(index, 1);
    });
  }

  #run(id: string, response: ServerResponse): void {
    this.#running += 1;
    const startedAt = performance.now();
    const release = () => {
      clearTimeout(timer);
      this.#running -= 1;
      this.#waiting.shift()?.();
    };
    const timer = setTimeout(() => {
      response.off("close", release);
      this.completed += 1;
      this.workedMs += performance.now() - startedAt;
      release();
      response.writeHead(OK, this.#headers(id)).end("done");
    }, this.workMs);
    response.once("close", release);
  }

  #headers(id: string): Record<string, string> {
    const load = [this.#running, this.#waiting.length, this.#slots];
    return { "X-Id": id, "X-Seal": "s", "X-Load": load.join() };
  }
}

/** The results of a run. */
export class RigReport {
  readonly results: readonly RigResult[];
  /**
   * Time within which a request is in target: its target, and the delay of the
   * process, which grows when the machine is busy with other work.
   */
  readonly targetMs: number;
  /** Mean delay of the process, in ms. */
  readonly lateMs: number;
  /** Requests that the slots can serve in the measured time. */
  readonly capacity: number;
  /** Offers that runners refused in the measured time. */
  readonly refusedOffers: number;
  /** Processor time of the run, with its warm-up. */
  readonly processor: ProcessorTime;

  constructor(results: readonly RigResult[], options: {
    readonly targetMs: number;
    readonly lateMs: number;
    readonly capacity: number;
    readonly refusedOffers: number;
    readonly processor: ProcessorTime;
  }) {
    this.results = results;
    this.targetMs = options.targetMs + PASSES * options.lateMs;
    this.lateMs = options.lateMs;
    this.capacity = options.capacity;
    this.refusedOffers = options.refusedOffers;
    this.processor = options.processor;
  }

  /** Counts the requests of a workspace, or of all. */
  counts(workspace?: string): RigCounts {
    const results = this.results.filter((result) =>
      workspace === undefined || result.workspace === workspace
    );
    const served = results.filter(({ status }) => status === OK);
    return {
      sent: results.length,
      served: served.length,
      servedInTarget:
        served.filter(({ latencyMs }) => latencyMs <= this.targetMs).length,
      refused: results.filter(({ status }) => status === UNAVAILABLE).length,
    };
  }

  /** Requests served in their target, as a share of what the slots can serve. */
  get servedShare(): number {
    return this.counts().servedInTarget / this.capacity;
  }

  /** The counts in one line, for the output of tests. */
  describe(): string {
    const names = new Set(this.results.map(({ workspace }) => workspace));
    const lines = [...names].map((name) =>
      `${name} ${JSON.stringify(this.counts(name))}`
    );
    return `${this.servedShare.toFixed(3)} of ${this.capacity.toFixed(0)}, ` +
      `${this.refusedOffers} offers refused, ` +
      `timers ${this.lateMs.toFixed(1)} ms late, ` +
      `${describeProcessorTime(this.processor)}; ${lines.join("; ")}`;
  }
}

type RunnerTotals = Pick<SmallRunner, "workedMs" | "completed" | "refusals">;

function sumOf(
  totals: readonly RunnerTotals[],
  field: keyof RunnerTotals,
): number {
  return totals.reduce((sum, runner) => sum + runner[field], 0);
}

/** Measures by how many ms timers are late; the result ends it with the mean. */
function measureLateness(): () => number {
  let ticks = 0;
  let lateMs = 0;
  let before = performance.now();
  const timer = setInterval(() => {
    const now = performance.now();
    lateMs += Math.max(0, now - before - TICK_MS);
    ticks += 1;
    before = now;
  }, TICK_MS);
  return () => {
    clearInterval(timer);
    return lateMs / Math.max(1, ticks);
  };
}

/** Linked routers, their runners, and callers in workspaces. */
export class PlainRig {
  readonly routers: Router[] = [];
  readonly runners: SmallRunner[] = [];
  readonly #options: RigOptions;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #random: () => number;
  readonly #stopped = new Set<number>();
  #sent = 0;

  private constructor(context: CleanupContext, options: RigOptions) {
    this.#options = options;
    const generator = xoroshiro128plus(options.seed);
    this.#random = () => uniformFloat64(generator);
    context.after(() => this.#agent.destroy());
  }

  /** Starts runners and routers, and waits until all routers know each other. */
  static async start(
    context: CleanupContext,
    options: RigOptions,
  ): Promise<PlainRig> {
    const rig = new PlainRig(context, options);
    const { slots = 2, maxWaiting = 2, workMs = 86 } = options;
    for (let index = 0; index < (options.runners ?? 4); index++) {
      rig.runners.push(
        await SmallRunner.start(context, {
          id: `r-${index}`,
          failureDomain: `d-${index % FAILURE_DOMAINS}`,
          slots,
          maxWaiting,
          workMs: workMs * (options.workFactors?.[index] ?? 1),
        }),
      );
    }
    for (let index = 0; index < options.daemons; index++) {
      await rig.#addRouter(context, index);
    }
    const share = Math.floor(
      CONNECTION_SHARE * MAX_CONNECTIONS / options.daemons,
    );
    const service = rig.#configuration.services[0]!;
    await waitUntil(() =>
      rig.routers.every((router) => router.connectionShare(service) <= share)
    );
    return rig;
  }

  /** Stops a daemon at once; callers no longer send to it. */
  stopDaemon(index: number): void {
    this.#stopped.add(index);
    this.routers[index]!.stop();
  }

  /** Milliseconds from a request to its response within which it is in target. */
  get targetMs(): number {
    return this.#options.targetMs ?? 500;
  }

  /** Time in ms that a caller has in all. */
  get deadlineMs(): number {
    return this.#options.deadlineMs ?? 3_000;
  }

  /**
   * Sends requests at the workspaces' rates, and reports what became of those
   * that were sent after the warm-up.
   */
  async run(times: {
    readonly warmUpMs: number;
    readonly measuredMs: number;
  }): Promise<RigReport> {
    const { warmUpMs, measuredMs } = times;
    const processorTime = measureProcessorTime();
    const startedAt = performance.now();
    const sending = this.#options.workspaces.map((workspace) =>
      this.#send(workspace, { startedAt, untilMs: warmUpMs + measuredMs })
    );
    await pause(warmUpMs);
    const before = this.#totals();
    const lateness = measureLateness();
    await pause(measuredMs);
    const after = this.#totals();
    const lateMs = lateness();
    const processor = processorTime();
    const results = (await Promise.all(sending)).flat();
    return new RigReport(
      results.filter(({ sentMs }) => sentMs >= warmUpMs),
      {
        targetMs: this.targetMs,
        lateMs,
        capacity: this.#capacity({ before, after, measuredMs, lateMs }),
        refusedOffers: sumOf(after, "refusals") - sumOf(before, "refusals"),
        processor,
      },
    );
  }

  /**
   * Requests that the slots can serve: by the time that runners worked on each,
   * and the delay of the process, which on a busy machine is late to work on a
   * response and on the next request.
   */
  #capacity(measured: {
    readonly before: readonly RunnerTotals[];
    readonly after: readonly RunnerTotals[];
    readonly measuredMs: number;
    readonly lateMs: number;
  }): number {
    const { before, after, measuredMs, lateMs } = measured;
    return this.runners.reduce((sum, { runner, workMs }, index) => {
      const worked = after[index]!.workedMs - before[index]!.workedMs;
      const count = after[index]!.completed - before[index]!.completed;
      const meanMs = count === 0 ? workMs : worked / count;
      return sum + runner.slots * measuredMs / (meanMs + lateMs);
    }, 0);
  }

  #totals(): readonly RunnerTotals[] {
    return this.runners.map(({ workedMs, completed, refusals }) => ({
      workedMs,
      completed,
      refusals,
    }));
  }

  get #configuration() {
    const { routes = {}, workspaces } = this.#options;
    return testConfiguration(
      [routes].flat().map((route) =>
        testRoute({
          targetMs: this.targetMs,
          timeoutMs: this.deadlineMs,
          patienceMs: this.deadlineMs,
          ...route,
        })
      ),
      {
        services: [{
          name: SERVICE,
          maxConnections: MAX_CONNECTIONS,
          engine: undefined,
        }],
        workspaces: workspaces.map(({ name, tier }) => ({
          name,
          keys: [name],
          tier,
        })),
      },
    );
  }

  async #addRouter(context: CleanupContext, index: number): Promise<void> {
    const { scheduling = "adaptive", log } = this.#options;
    const router = await startRouter(context, {
      configurations: new SettableFeed([this.#configuration]),
      runners: new SettableFeed(this.runners.map(({ runner }) => runner)),
      log: log?.(index) ?? SILENT_LOG,
      settings: {
        name: `host-${index}`,
        failureDomain: `d-${index % FAILURE_DOMAINS}`,
        peers: { host: LOCALHOST, port: await unusedPort() },
        seeds: this.routers.slice(0, SEEDS).map(({ peersPort }) =>
          `${LOCALHOST}:${peersPort}`
        ),
        scheduling: { scheduling, pressure: false },
      },
    });
    this.routers.push(router);
    await waitUntil(() => router.ready);
  }

  async #send(workspace: RigWorkspace, times: {
    readonly startedAt: number;
    readonly untilMs: number;
  }): Promise<readonly RigResult[]> {
    const { startedAt, untilMs } = times;
    const results: Promise<RigResult>[] = [];
    let dueMs = 0;
    for (;;) {
      dueMs -= Math.log(1 - this.#random()) * MS_PER_SECOND / workspace.perS;
      if (dueMs >= untilMs) return await Promise.all(results);
      const waitMs = startedAt + dueMs - performance.now();
      if (waitMs > 1) await pause(waitMs);
      results.push(this.#request(workspace, startedAt));
    }
  }

  /** Sends one request, and again after a refusal if the callers do so. */
  async #request(
    workspace: RigWorkspace,
    startedAt: number,
  ): Promise<RigResult> {
    const sentAt = performance.now();
    const daemon = this.#daemon();
    const ids = [this.#nextId()];
    let { status, retryAfterMs } = await this.#try(workspace, {
      id: ids[0]!,
      body: ids[0]!,
      daemon,
      deadlineMs: this.deadlineMs,
    });
    const { retry = "never" } = workspace;
    if (status === UNAVAILABLE && retry !== "never") {
      if (retry === "after-delay") await pause(retryAfterMs);
      const deadlineMs = sentAt + this.deadlineMs - performance.now();
      if (deadlineMs > 0) {
        ids.push(this.#nextId());
        ({ status } = await this.#try(workspace, {
          id: ids[1]!,
          body: ids[0]!,
          daemon: this.#daemon(daemon),
          deadlineMs,
        }));
      }
    }
    return {
      workspace: workspace.name,
      sentMs: sentAt - startedAt,
      latencyMs: performance.now() - sentAt,
      status,
      ids,
    };
  }

  #nextId(): string {
    this.#sent += 1;
    return `try-${this.#sent}`;
  }

  /** Returns the index of a random daemon other than the given one. */
  #daemon(other = -1): number {
    const count = this.routers.length;
    let index = Math.floor(this.#random() * count);
    while (index === other || this.#stopped.has(index)) {
      index = (index + 1) % count;
    }
    return index;
  }

  async #try(workspace: RigWorkspace, options: {
    readonly id: string;
    /** The same for both tries of a request, by which daemons recognize it. */
    readonly body: string;
    readonly daemon: number;
    readonly deadlineMs: number;
  }): Promise<{ readonly status: number; readonly retryAfterMs: number }> {
    const { id, body, daemon, deadlineMs } = options;
    const outgoing = request({
      host: LOCALHOST,
      port: this.routers[daemon]!.callersPort,
      method: "POST",
      path: workspace.path ?? "/",
      headers: {
        host: "test",
        "x-id": id,
        "x-key": workspace.name,
        "x-deadline": Math.max(1, Math.floor(deadlineMs)),
      },
      agent: this.#agent,
    });
    outgoing.end(`work ${workspace.name} ${body}`);
    try {
      const [incoming] = await once(outgoing, "response") as [IncomingMessage];
      incoming.resume();
      await once(incoming, "end");
      const delay = Number(incoming.headers["retry-after"] ?? 0);
      return {
        status: incoming.statusCode!,
        retryAfterMs: delay * MS_PER_SECOND,
      };
    } catch {
      return { status: 0, retryAfterMs: 0 };
    }
  }
}
