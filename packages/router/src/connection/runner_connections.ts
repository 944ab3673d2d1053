/**
 * Connections to runners, kept for further requests.
 *
 * @module
 */
import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Runner } from "../process/runner.ts";

/** Milliseconds that an idle connection is kept when the runner names none. */
const DEFAULT_IDLE_MS = 1_500;
/**
 * Share of the runner's own idle timeout for which a connection is kept. What
 * is sent while the runner closes is lost, and a request that may not be
 * repeated with it; the rest covers the way and a late timer.
 */
const IDLE_SHARE = 0.6;
const MS_PER_SECOND = 1_000;
const TIMEOUT_HINT = /timeout=(\d+)/i;

interface KeptSocket extends Socket {
  /** Node's agent keeps the answer's request here until it is done. */
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

/** Node's agent, with idle timeouts that stay below the runner's. */
class RunnerAgent extends Agent {
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

/** One agent for each life of a runner. */
export class RunnerConnections {
  readonly #agents = new Map<string, Agent>();

  /**
   * The agent for a runner; a new life of it shares no connection.
   *
   * @param maxConnections this daemon's part of what the runner accepts; beyond
   * it the runner resets connections, and requests with them.
   */
  agent(runner: Runner, maxConnections: number): Agent {
    const known = this.#agents.get(runner.id);
    if (known !== undefined) {
      known.maxSockets = maxConnections;
      return known;
    }
    const agent = new RunnerAgent({
      keepAlive: true,
      // The connection that rested longest: a second answer to an earlier
      // request has had the most time to arrive there and be found.
      scheduling: "fifo",
      maxSockets: maxConnections,
    });
    this.#agents.set(runner.id, agent);
    return agent;
  }

  /**
   * Closes the idle connections to a runner. Something on the way that lost
   * track of one connection has often lost the others too.
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
