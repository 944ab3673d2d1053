/**
 * Keep-alive connections to runners.
 *
 * @module
 */
import { Agent } from "node:http";
import type { AgentOptions, ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Runner } from "../process/runner.ts";
import type { Path } from "../process/runner_paths.ts";
import { arrivalsHandled } from "../process/arrivals.ts";
import { timerDelay } from "../process/timer_delay.ts";
import type { Tunnel } from "./tunnel_channel.ts";
import { TunnelSocket } from "./tunnel_socket.ts";
import type { RunnerNetwork } from "./runner_network.ts";

/** Idle time-out of connections to a runner that does not state one. */
const DEFAULT_IDLE_MS = 1_500;
/**
 * Share of the runner's own idle time-out for which a connection is kept. Data
 * that is sent while the runner closes the connection is lost, and with it a
 * request that must not be repeated. The margin covers network delay and a late
 * timer.
 */
const IDLE_SHARE = 0.6;
const MS_PER_SECOND = 1_000;
const TIMEOUT_HINT = /timeout=(\d+)/i;

interface KeptSocket extends Socket {
  /** Whether a tunnel takes no further requests. */
  readonly leaving?: boolean;
  /**
   * Where Node's agent keeps the request and its response until they are done.
   */
  readonly _httpMessage?: {
    readonly res?: { readonly headers: Record<string, unknown> };
  };
}

function idleMsOf(socket: KeptSocket): number {
  const hint = socket._httpMessage?.res?.headers["keep-alive"];
  if (typeof hint !== "string") return DEFAULT_IDLE_MS;
  const seconds = TIMEOUT_HINT.exec(hint)?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_MS;
  return timerDelay(Number(seconds) * MS_PER_SECOND * IDLE_SHARE);
}

/** Closes an idle connection on which something arrives: it is no response. */
function closeUnsolicited(this: Duplex): void {
  this.destroy();
}

/** Opens a connection to a runner, directly or by way of a peer. */
type Dial = () => Duplex;

/** An agent whose idle time-outs stay below the runner's. */
class RunnerAgent extends Agent {
  readonly #dial: Dial;

  constructor(dial: Dial, options: AgentOptions) {
    super(options);
    this.#dial = dial;
  }

  // Called by Node when a request needs a new connection.
  override createConnection(): Duplex {
    return this.#dial();
  }

  // Called by Node when a connection becomes idle; false closes it.
  override keepSocketAlive(socket: Duplex): boolean {
    const kept = socket as KeptSocket;
    const idleMs = idleMsOf(kept);
    if (idleMs <= 0 || kept.leaving === true) return false;
    kept.setKeepAlive(true, MS_PER_SECOND);
    kept.setTimeout(idleMs);
    kept.on("data", closeUnsolicited);
    return true;
  }

  // Called by Node when an idle connection gets a request.
  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    super.reuseSocket(socket, request);
    socket.off("data", closeUnsolicited);
    (socket as KeptSocket).setTimeout(0);
  }
}

/** Opens connections to runners by way of peers. */
export interface TunnelDialer {
  connect(runner: Runner): Promise<Tunnel>;
  /** Records that something has arrived from a runner by way of a peer. */
  recordResponse(peer: string): void;
  /** Records that a peer is shutting down. */
  recordLeaving(peer: string): void;
}

/** The direct connections to a runner that are open. */
interface OpenConnections {
  readonly sockets: Set<Duplex>;
  /** Monotonic ms since which at least one has been open at any time. */
  readonly since: number;
  /** Called when one of them has ended. */
  readonly onEnd: Set<() => void>;
}

/** Whether the end of a connection would be seen. */
function isRead(socket: Duplex): boolean {
  return socket.readableFlowing === true;
}

/** One agent for each incarnation of a runner and each kind of path to it. */
export class RunnerConnections {
  readonly #network: RunnerNetwork;
  readonly #tunnels: TunnelDialer;
  readonly #agents: Readonly<Record<Path, Map<string, Agent>>> = {
    direct: new Map(),
    tunnel: new Map(),
  };

  readonly #open = new Map<string, OpenConnections>();

  constructor(network: RunnerNetwork, tunnels: TunnelDialer) {
    this.#network = network;
    this.#tunnels = tunnels;
  }

  /**
   * The agent for a runner; incarnations share no connections.
   *
   * @param options.maxConnections this daemon's share of the connections that the
   * runner accepts. Beyond its limit the runner resets connections, and requests
   * with them.
   */
  agent(
    runner: Runner,
    options: { readonly path: Path; readonly maxConnections: number },
  ): Agent {
    const { path, maxConnections } = options;
    const existing = this.#agents[path].get(runner.id);
    if (existing !== undefined) {
      existing.maxSockets = maxConnections;
      return existing;
    }
    const agent: Agent = new RunnerAgent(
      path === "direct"
        ? () => this.#dialDirect(runner)
        : () => this.#dialTunnel(runner, () => agent),
      {
        keepAlive: true,
        // Reuses the connection that has been idle longest: a duplicate response
        // to an earlier request has had the most time to arrive there and be
        // detected.
        scheduling: "fifo",
        maxSockets: maxConnections,
      },
    );
    this.#agents[path].set(runner.id, agent);
    return agent;
  }

  /**
   * Returns the monotonic ms since which there has always been a direct connection to
   * a runner; undefined if there is none. All of them lead to the same process, whose
   * end closes its connections.
   */
  connectedSince({ id }: Runner): number | undefined {
    return this.#open.get(id)?.since;
  }

  /**
   * Returns whether all direct connections to a runner that are open now stay open for
   * a time in ms, and there are any. Those that are not being read do not count.
   */
  async stayOpen({ id }: Runner, ms: number): Promise<boolean> {
    const open = this.#open.get(id);
    const watched = [...open?.sockets ?? []].filter(isRead);
    if (open === undefined || watched.length === 0) return false;
    await new Promise<void>((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        open.onEnd.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, ms);
      open.onEnd.add(settle);
    });
    await arrivalsHandled();
    return watched.every((socket) =>
      open.sockets.has(socket) && isRead(socket)
    );
  }

  /**
   * Closes the idle connections to a runner. A device on the network path that
   * lost the state of one connection has often lost that of the others, too.
   */
  dropIdle(runner: Runner): void {
    for (const agents of Object.values(this.#agents)) {
      const agent = agents.get(runner.id);
      if (agent !== undefined) closeIdle(agent);
    }
  }

  /** Uses the tunnels to a runner for no further requests. */
  closeTunnels(runner: Runner): void {
    this.#remove(this.#agents.tunnel, runner.id);
  }

  /** Closes the idle connections of runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const agents of Object.values(this.#agents)) {
      for (const id of agents.keys()) {
        if (!ids.has(id)) this.#remove(agents, id);
      }
    }
  }

  #remove(agents: Map<string, Agent>, id: string): void {
    const agent = agents.get(id);
    if (agent === undefined) return;
    agents.delete(id);
    agent.maxFreeSockets = 0;
    closeIdle(agent);
  }

  #dialDirect(runner: Runner): Duplex {
    const { id } = runner;
    const socket = this.#network.connect(runner);
    socket.once("connect", () => {
      const open = this.#open.get(id) ?? {
        sockets: new Set<Duplex>(),
        since: performance.now(),
        onEnd: new Set<() => void>(),
      };
      open.sockets.add(socket);
      this.#open.set(id, open);
      const end = () => {
        if (!open.sockets.delete(socket)) return;
        if (open.sockets.size === 0) this.#open.delete(id);
        for (const listener of [...open.onEnd]) listener();
      };
      socket.once("end", end);
      socket.once("close", end);
    });
    return socket;
  }

  #dialTunnel(runner: Runner, agent: () => Agent): TunnelSocket {
    const socket: TunnelSocket = new TunnelSocket(
      () => this.#tunnels.connect(runner),
      {
        onLeaving: (peer) => {
          this.#tunnels.recordLeaving(peer);
          if (isIdle(agent(), socket)) socket.destroy();
        },
        onResponse: (peer) => this.#tunnels.recordResponse(peer),
      },
    );
    return socket;
  }
}

function isIdle(agent: Agent, socket: Duplex): boolean {
  return Object.values(agent.freeSockets).some((free) =>
    free?.includes(socket as Socket)
  );
}

function closeIdle(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
