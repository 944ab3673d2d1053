/**
 * Keep-alive connections to runners.
 *
 * @module
 */
import { Agent } from "node:http";
import type { AgentOptions, ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Runner } from "../process/runner.ts";
import type { RunnerAddress, RunnerNetwork } from "./runner_network.ts";

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
  return Number(seconds) * MS_PER_SECOND * IDLE_SHARE;
}

/** An agent whose idle time-outs stay below the runner's. */
class RunnerAgent extends Agent {
  readonly #network: RunnerNetwork;
  readonly #runner: RunnerAddress;

  constructor(
    network: RunnerNetwork,
    runner: RunnerAddress,
    options: AgentOptions,
  ) {
    super(options);
    this.#network = network;
    this.#runner = runner;
  }

  // Called by Node when a request needs a new connection.
  override createConnection(): Socket {
    return this.#network.connect(this.#runner);
  }

  // Called by Node when a connection becomes idle; false closes it.
  override keepSocketAlive(socket: Socket): boolean {
    const idleMs = idleMsOf(socket as KeptSocket);
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, MS_PER_SECOND);
    socket.setTimeout(idleMs);
    return true;
  }

  // Called by Node when an idle connection gets a request.
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    super.reuseSocket(socket, request);
    socket.setTimeout(0);
  }
}

/** One agent for each incarnation of a runner. */
export class RunnerConnections {
  readonly #network: RunnerNetwork;
  readonly #agents = new Map<string, Agent>();

  constructor(network: RunnerNetwork) {
    this.#network = network;
  }

  /**
   * The agent for a runner; incarnations share no connections.
   *
   * @param maxConnections this daemon's share of the connections that the runner
   * accepts. Beyond its limit the runner resets connections, and requests with
   * them.
   */
  agent(runner: Runner, maxConnections: number): Agent {
    const existing = this.#agents.get(runner.id);
    if (existing !== undefined) {
      existing.maxSockets = maxConnections;
      return existing;
    }
    const agent = new RunnerAgent(this.#network, runner, {
      keepAlive: true,
      // Reuses the connection that has been idle longest: a duplicate response
      // to an earlier request has had the most time to arrive there and be
      // detected.
      scheduling: "fifo",
      maxSockets: maxConnections,
    });
    this.#agents.set(runner.id, agent);
    return agent;
  }

  /**
   * Closes the idle connections to a runner. A device on the network path that
   * lost the state of one connection has often lost that of the others, too.
   */
  dropIdle(runner: Runner): void {
    const agent = this.#agents.get(runner.id);
    if (agent === undefined) return;
    closeIdle(agent);
  }

  /** Closes the idle connections of runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, agent] of this.#agents) {
      if (ids.has(id)) continue;
      this.#agents.delete(id);
      agent.maxFreeSockets = 0;
      closeIdle(agent);
    }
  }
}

function closeIdle(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
