/**
 * Starts a whole deployment in processes of its own: platform, runners, daemons.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Table } from "@umbermast/table";
import { type Child, settled, startLogged, startStandIn } from "./child.ts";
import {
  DAEMON,
  daemonSettings,
  LISTENING,
  PEER_ADDRESS,
  readListening,
  waitReady,
} from "./daemon_program.ts";
import {
  type Deployment,
  findDeployment,
  initialTable,
  keyOf,
} from "./deployment.ts";
import { FaultProxy } from "./fault_proxy.ts";
import type { ListedHost } from "./host_list.ts";
import {
  orderFault,
  putTable,
  removeHost,
  setHost,
} from "./platform_client.ts";
import type {
  Stack,
  StackDaemon,
  StackOptions,
  StackRunner,
} from "./stack_handle.ts";

const ADDRESS = "127.0.0.1";
const DEFAULT_DAEMONS = 3;
const DEFAULT_RUNNERS = 8;
const DEFAULT_PLAIN_RUNNERS = 3;
const SLOTS_PER_RUNNER = 16;
const DAEMON_GRACE_MS = 5000;
const STAND_IN_GRACE_MS = 1000;
const TOKEN_BYTES = 16;

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
    this.#options.started?.(platform.pid);
    this.#platformUrl = platform.url;
    this.#options.signal?.throwIfAborted();
    const [runners, tableFile] = await Promise.all([
      this.#startRunners(),
      this.#storeTable(),
    ]);
    this.#options.signal?.throwIfAborted();
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
      setHost: (host, given) => setHost(platform.url, host, given),
      removeHost: (name, given) => removeHost(platform.url, name, given),
      control: orderFault,
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
    if (this.#options.keepLogs || this.#logs === "") return;
    await rm(this.#logs, { recursive: true, force: true });
  }

  async #storeTable(): Promise<string> {
    const tableFile = join(this.#logs, "table.json");
    await writeFile(tableFile, JSON.stringify(this.#table, null, 2));
    await putTable(this.#platformUrl, this.#table);
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
    this.#options.started?.(child.pid);
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
    await setHost(this.#platformUrl, host);
    const { url, pid } = child;
    const runner = { name, url, service, pid, host, child };
    return proxy === undefined ? runner : { ...runner, proxy };
  }

  async #startDaemon(name: string): Promise<StackDaemon> {
    const at = this.#started++;
    const platformProxy = this.#options.proxies?.platform
      ? await this.#proxy(this.#platformUrl)
      : undefined;
    const peerProxy = this.#options.proxies?.peers
      ? this.#adopt(await FaultProxy.startBefore(PEER_ADDRESS))
      : undefined;
    const settingsFile = join(this.#logs, `${name}-${at}.json`);
    const logFile = join(this.#logs, `${name}-${at}.log`);
    const settings = daemonSettings({
      name,
      ...this.#place(at),
      operatorToken: this.#operatorToken,
      peerKey: this.#peerKey,
      ...(peerProxy === undefined ? {} : { peersBehind: peerProxy.port }),
      platformUrl: platformProxy?.url ?? this.#platformUrl,
      scheduler: this.#options.scheduler ?? "umbermast",
    });
    const all = { ...settings, ...this.#options.daemonSettings };
    await writeFile(settingsFile, JSON.stringify(all, null, 2));
    const child = startLogged([DAEMON, "--settings", settingsFile], {
      logFile,
    });
    this.#daemons.push(child);
    this.#options.started?.(child.pid);
    const { callers, operators, peers } = readListening(
      await child.logged(LISTENING),
    );
    await setHost(this.#platformUrl, {
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
      ...(peerProxy === undefined ? {} : { peerProxy }),
      ...(platformProxy === undefined ? {} : { platformProxy }),
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

  #ready(daemon: StackDaemon): Promise<void> {
    return waitReady(daemon.operatorUrl, {
      token: this.#operatorToken,
      signal: this.#options.signal,
    });
  }

  async #proxy(targetUrl: string): Promise<FaultProxy> {
    const port = Number(new URL(targetUrl).port);
    return this.#adopt(await FaultProxy.start({ address: ADDRESS, port }));
  }

  #adopt(proxy: FaultProxy): FaultProxy {
    this.#proxies.push(proxy);
    return proxy;
  }
}
