/**
 * A running deployment, and what it is made of.
 *
 * @module
 */
import type { Table } from "@umbermast/table";
import type { Child, LoggedChild } from "./child.ts";
import type { Deployment, DeploymentName } from "./deployment.ts";
import type { FaultProxy } from "./fault_proxy.ts";
import type { ListedHost } from "./host_list.ts";

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
  /** Aborted while the stack starts: what was started is ended again. */
  readonly signal?: AbortSignal;
  /** Keep the folder of logs and settings after the end; false by default. */
  readonly keepLogs?: boolean;
  /** Called with the pid of each process that is started. */
  readonly started?: (pid: number) => void;
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
    /** Before each daemon, for what other daemons send it. Needs 127.0.0.2. */
    readonly peers?: boolean;
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
  /** Before this daemon, for what other daemons send it, when asked for. */
  readonly peerProxy?: FaultProxy;
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
  /** Lists a host on the platform, in place of another of the same name. */
  setHost(
    host: ListedHost,
    options?: { readonly lagMs?: number },
  ): Promise<void>;
  /** Takes a host off the platform's list. */
  removeHost(
    name: string,
    options?: { readonly lagMs?: number },
  ): Promise<void>;
  /** Orders a fault at a stand-in, given its URL. */
  control(url: string, fault: object): Promise<void>;
  /** Ends everything that was started. */
  close(): Promise<void>;
}
