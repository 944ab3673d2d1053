/**
 * Starts a whole deployment in processes of its own: platform, runners, daemons.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Table } from "@umbermast/table";
import {
  type Child,
  type LoggedChild,
  startLogged,
  startStandIn,
} from "./child.ts";
import {
  type Deployment,
  type DeploymentName,
  findDeployment,
  initialTable,
  keyOf,
} from "./deployment.ts";
import { FaultProxy } from "./fault_proxy.ts";
import type { ListedHost } from "./host_list.ts";
import { fetchJson, type JsonAnswer } from "./json_client.ts";

/** What to start. */
export interface StackOptions {
  /** Daemons to start; 3 by default. */
  readonly daemons?: number;
  /** Model runners to start; 8 by default. */
  readonly runners?: number;
  /** Plain runners to start; 3 by default. */
  readonly plainRunners?: number;
  /** The co-operative by default. */
  readonly deployment?: DeploymentName;
  /** Seed of the keys and of the engines' chance; 1 by default. */
  readonly seed?: number;
  /** `umbermast` by default. */
  readonly scheduler?: "umbermast" | "fifo" | "random";
  /** Settings laid over each daemon's own. */
  readonly daemonSettings?: object;
  /** Settings laid over each engine's own. */
  readonly engineConfig?: object;
  /** Settings laid over each plain runner's own. */
  readonly plainConfig?: object;
  /** Settings laid over the platform's own. */
  readonly platformConfig?: object;
  /** Changes the table before it is stored. */
  readonly table?: (table: Table) => Table;
  /** Links that get a fault proxy each. */
  readonly proxies?: {
    /** Between the daemons and each runner. */
    readonly runners?: boolean;
    /** Between each daemon and the platform. */
    readonly platform?: boolean;
    /** Between the callers and each daemon. */
    readonly callers?: boolean;
  };
}

/** A daemon of the stack. */
export interface StackDaemon {
  readonly name: string;
  /** Base URL for callers. */
  readonly url: string;
  readonly operatorUrl: string;
  readonly pid: number;
  readonly logFile: string;
  readonly child: LoggedChild;
  /** Between callers and this daemon, when asked for. */
  readonly callerProxy?: FaultProxy;
  /** Between this daemon and the platform, when asked for. */
  readonly platformProxy?: FaultProxy;
}

/** A runner of the stack. */
export interface StackRunner {
  readonly name: string;
  /** Base URL of the runner itself, also when it is behind a proxy. */
  readonly url: string;
  readonly service: string;
  readonly pid: number;
  readonly host: ListedHost;
  readonly child: Child;
  /** Between the daemons and this runner, when asked for. */
  readonly proxy?: FaultProxy;
}

/** A running deployment. */
export interface Stack {
  readonly deployment: Deployment;
  readonly daemons: readonly StackDaemon[];
  readonly runners: readonly StackRunner[];
  readonly platform: { readonly url: string; readonly pid: number };
  /** Key of each workspace. */
  readonly keys: Readonly<Record<string, string>>;
  readonly operatorToken: string;
  readonly table: Table;
  /** File that holds the initial table as JSON. */
  readonly tableFile: string;
  /** Folder of the daemons' logs and settings. */
  readonly logs: string;
  /** Starts one more daemon, or one in place of another under the same name. */
  startDaemon(name: string): Promise<StackDaemon>;
  /** Lists a host on the platform, or takes it off when `host` is undefined. */
  setHost(
    name: string,
    host: ListedHost | undefined,
    options?: { readonly lagMs?: number },
  ): Promise<void>;
  /** Orders a fault at a stand-in, given its URL. */
  control(url: string, fault: object): Promise<void>;
  /** Ends everything that was started. */
  close(): Promise<void>;
}

const ADDRESS = "127.0.0.1";
const DAEMON = fileURLToPath(
  new URL("../../../../daemon/dist/src/umbermastd.js", import.meta.url),
);
const LISTENING =
  /event=listening callers="?([\d.]+:\d+)"? operators="?([\d.]+:\d+)"? peers="?([\d.]+:\d+)"?/;
const DEFAULT_DAEMONS = 3;
const DEFAULT_RUNNERS = 8;
const DEFAULT_PLAIN_RUNNERS = 3;
const SLOTS_PER_RUNNER = 16;
const DAEMON_GRACE_MS = 5000;
const STAND_IN_GRACE_MS = 1000;
const READY_LIMIT_MS = 30_000;
const POLL_MS = 25;
const TOKEN_BYTES = 16;
const HTTP_OK = 200;

/**
 * Starts a deployment and waits until every daemon is ready. What was started
 * is ended again when it fails half way.
 *
 * @example
 * ```ts
 * const stack = await startStack({ daemons: 2, runners: 2 });
 * try {
 *   await fetch(`${stack.daemons[0].url}/v1/models`);
 * } finally {
 *   await stack.close();
 * }
 * ```
 */
export async function startStack(options: StackOptions = {}): Promise<Stack> {
  const launcher = new Launcher(options);
  try {
    return await launcher.start();
  } catch (error) {
    await launcher.close();
    throw error;
  }
}

class Launcher {
  readonly #options: StackOptions;
  readonly #deployment: Deployment;
  readonly #seed: number;
  readonly #table: Table;
  readonly #operatorToken = randomBytes(TOKEN_BYTES).toString("hex");
  readonly #peerKey = randomBytes(TOKEN_BYTES).toString("hex");
  readonly #standIns: Child[] = [];
  readonly #daemons: Child[] = [];
  readonly #proxies: FaultProxy[] = [];
  #platformUrl = "";
  #logs = "";
  #started = 0;

  constructor(options: StackOptions) {
    this.#options = options;
    this.#deployment = findDeployment(options.deployment ?? "cooperative");
    this.#seed = options.seed ?? 1;
    const table = initialTable(this.#deployment, {
      seed: this.#seed,
      checksFencing: true,
      slotsPerRunner: SLOTS_PER_RUNNER,
    });
    this.#table = options.table?.(table) ?? table;
  }

  async start(): Promise<Stack> {
    this.#logs = await mkdtemp(join(tmpdir(), "umbermast-stack-"));
    const platform = await startStandIn("platform", {
      ...this.#options.platformConfig,
    });
    this.#standIns.push(platform);
    this.#platformUrl = platform.url;
    const [runners, tableFile] = await Promise.all([
      this.#startRunners(),
      this.#storeTable(),
    ]);
    const count = this.#options.daemons ?? DEFAULT_DAEMONS;
    const names = Array.from({ length: count }, (_, at) => `entry-${at + 1}`);
    const daemons = await settled(names.map((name) => this.#startDaemon(name)));
    await Promise.all(daemons.map((daemon) => this.#ready(daemon)));
    const keys = this.#deployment.senders.map(({ workspace }) =>
      [workspace, keyOf(workspace, this.#seed)] as const
    );
    return {
      deployment: this.#deployment,
      daemons,
      runners,
      platform: { url: platform.url, pid: platform.pid },
      keys: Object.fromEntries(keys),
      operatorToken: this.#operatorToken,
      table: this.#table,
      tableFile,
      logs: this.#logs,
      startDaemon: async (name) => {
        const daemon = await this.#startDaemon(name);
        await this.#ready(daemon);
        return daemon;
      },
      setHost: (name, host, given) => this.#setHost(name, host, given),
      control,
      close: () => this.close(),
    };
  }

  /** Ends the daemons first, so that they finish what they have in flight. */
  async close(): Promise<void> {
    await Promise.all(
      this.#daemons.map((child) => child.stop(DAEMON_GRACE_MS)),
    );
    await Promise.all([
      ...this.#standIns.map((child) => child.stop(STAND_IN_GRACE_MS)),
      ...this.#proxies.map((proxy) => proxy.close()),
    ]);
  }

  async #storeTable(): Promise<string> {
    const tableFile = join(this.#logs, "table.json");
    await writeFile(tableFile, JSON.stringify(this.#table, null, 2));
    const value = {
      table: this.#table,
      editId: "initial",
      editor: "stack",
      at: Date.now(),
    };
    const answer = await fetchJson(`${this.#platformUrl}/objects/tables/main`, {
      method: "PUT",
      headers: { "if-version": "0" },
      body: value,
    });
    expectOk(answer, "store the table");
    return tableFile;
  }

  #startRunners(): Promise<readonly StackRunner[]> {
    const { modelService, plainService, model } = this.#deployment;
    const models = this.#options.runners ?? DEFAULT_RUNNERS;
    const plains = this.#options.plainRunners ?? DEFAULT_PLAIN_RUNNERS;
    const starts: Promise<StackRunner>[] = [];
    for (let at = 0; at < models; at++) {
      const name = `${modelService}-${at + 1}`;
      const config = {
        name,
        models: [model],
        seed: `${this.#seed}`,
        ...this.#options.engineConfig,
      };
      starts.push(this.#startRunner("engine", { name, at, config }));
    }
    for (let at = 0; at < plains; at++) {
      const name = `${plainService}-${at + 1}`;
      const config = {
        name,
        service: plainService,
        ...this.#options.plainConfig,
      };
      starts.push(this.#startRunner("plain", { name, at, config }));
    }
    return settled(starts);
  }

  async #startRunner(
    kind: "engine" | "plain",
    options: {
      readonly name: string;
      readonly at: number;
      readonly config: object;
    },
  ): Promise<StackRunner> {
    const { name, at } = options;
    const child = await startStandIn(kind, options.config);
    this.#standIns.push(child);
    const proxy = this.#options.proxies?.runners
      ? await this.#proxy(child.url)
      : undefined;
    const service = kind === "engine"
      ? this.#deployment.modelService
      : this.#deployment.plainService;
    const host: ListedHost = {
      name,
      role: "runner",
      service,
      ...this.#place(at),
      port: proxy?.port ?? Number(new URL(child.url).port),
    };
    await this.#setHost(name, host);
    const { url, pid } = child;
    const runner = { name, url, service, pid, host, child };
    return proxy === undefined ? runner : { ...runner, proxy };
  }

  async #startDaemon(name: string): Promise<StackDaemon> {
    const at = this.#started++;
    const platformProxy = this.#options.proxies?.platform
      ? await this.#proxy(this.#platformUrl)
      : undefined;
    const settingsFile = join(this.#logs, `${name}-${at}.json`);
    const logFile = join(this.#logs, `${name}-${at}.log`);
    await writeFile(
      settingsFile,
      JSON.stringify(this.#settings(name, { at, platformProxy }), null, 2),
    );
    const child = startLogged([DAEMON, "--settings", settingsFile], {
      logFile,
    });
    this.#daemons.push(child);
    const [, callers = "", operators = "", peers = ""] = await child.logged(
      LISTENING,
    );
    await this.#setHost(name, {
      name,
      role: "entry",
      ...this.#place(at),
      port: Number(peers.split(":")[1]),
      incarnation: at + 1,
    });
    const callerProxy = this.#options.proxies?.callers
      ? await this.#proxy(`http://${callers}`)
      : undefined;
    return {
      name,
      url: callerProxy?.url ?? `http://${callers}`,
      operatorUrl: `http://${operators}`,
      pid: child.pid,
      logFile,
      child,
      ...(callerProxy === undefined ? {} : { callerProxy }),
      ...(platformProxy === undefined ? {} : { platformProxy }),
    };
  }

  #settings(
    name: string,
    options: {
      readonly at: number;
      readonly platformProxy: FaultProxy | undefined;
    },
  ): object {
    const { region, failureDomain } = this.#place(options.at);
    const { daemonSettings, scheduler } = this.#options;
    return {
      name,
      region,
      failureDomain,
      listen: { address: ADDRESS, port: 0 },
      operators: { address: ADDRESS, port: 0, token: this.#operatorToken },
      peers: { address: ADDRESS, port: 0, key: this.#peerKey },
      platform: { url: options.platformProxy?.url ?? this.#platformUrl },
      scheduler: scheduler ?? "umbermast",
      ...daemonSettings,
    };
  }

  #place(at: number) {
    const { failureDomains, region } = this.#deployment;
    return {
      address: ADDRESS,
      region,
      failureDomain: failureDomains[at % failureDomains.length] ?? "",
      state: "live",
      incarnation: 1,
    } as const;
  }

  async #proxy(targetUrl: string): Promise<FaultProxy> {
    const port = Number(new URL(targetUrl).port);
    const proxy = await FaultProxy.start({ address: ADDRESS, port });
    this.#proxies.push(proxy);
    return proxy;
  }

  async #setHost(
    name: string,
    host: ListedHost | undefined,
    options: { readonly lagMs?: number } = {},
  ): Promise<void> {
    const place = `${this.#platformUrl}/hosts/${encodeURIComponent(name)}`;
    const answer = await fetchJson(`${place}?lag=${options.lagMs ?? 0}`, {
      method: host === undefined ? "DELETE" : "PUT",
      body: host,
    });
    expectOk(answer, `list the host "${name}"`);
  }

  async #ready(daemon: StackDaemon): Promise<void> {
    const until = Date.now() + READY_LIMIT_MS;
    while (Date.now() < until) {
      const answer = await fetchJson(`${daemon.operatorUrl}/readyz`, {
        headers: { authorization: `Bearer ${this.#operatorToken}` },
      }).catch(() => undefined);
      if (answer?.status === HTTP_OK) return;
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    throw new Error(
      `Cannot start "${daemon.name}": not ready; see ${this.#logs}`,
    );
  }
}

async function control(url: string, fault: object): Promise<void> {
  const answer = await fetchJson(`${url}/control`, {
    method: "POST",
    body: fault,
  });
  expectOk(answer, "order a fault");
}

function expectOk(answer: JsonAnswer, action: string): void {
  if (answer.status === HTTP_OK) return;
  const body = JSON.stringify(answer.body);
  throw new Error(`Cannot ${action}: status ${answer.status}, ${body}`);
}

/** Waits for all, also when one fails, so that none is left starting. */
async function settled<T>(
  starts: readonly Promise<T>[],
): Promise<readonly T[]> {
  await Promise.allSettled(starts);
  return await Promise.all(starts);
}
