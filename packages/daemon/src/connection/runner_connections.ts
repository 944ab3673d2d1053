/**
 * Connections to runners: keep-alive and a connection limit per runner.
 *
 * @module
 */
import { ClientAgent } from "@umbermast/coordination/client_socket";
import * as http from "node:http";
import type { Runner } from "../process/runner.ts";

/** Limits of the connections to each runner. */
export interface ConnectionLimits {
  /** Maximum number of open connections to one runner. */
  readonly perRunner: number;
  /** Maximum number of idle connections kept to one runner. */
  readonly idlePerRunner: number;
  /**
   * Milliseconds after which an idle connection is closed. Shorter than the
   * keep-alive time-out of common servers, so that the client closes first.
   */
  readonly idleMs: number;
}

/** A request to a runner. */
export interface RunnerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly {
    readonly name: string;
    readonly value: string;
  }[];
  readonly body: Uint8Array;
  /** Whether to open a new connection instead of reusing an idle one. */
  readonly fresh: boolean;
}

/** Default limits. */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  perRunner: 512,
  idlePerRunner: 32,
  idleMs: 4_000,
};

/** Reuses or opens a connection for each request to a runner. */
export class RunnerConnections {
  readonly #limits: ConnectionLimits;
  readonly #agents = new Map<string, http.Agent>();
  readonly #oneShot = new ClientAgent({ keepAlive: false });

  constructor(limits: ConnectionLimits = DEFAULT_CONNECTION_LIMITS) {
    this.#limits = limits;
  }

  /** Starts a request and sends its whole body. The caller handles its events. */
  send(runner: Runner, request: RunnerRequest): http.ClientRequest {
    const outgoing = http.request({
      host: runner.address,
      port: runner.port,
      method: request.method,
      path: request.path,
      agent: request.fresh ? this.#oneShot : this.#agentOf(runner),
    });
    for (const header of request.headers) {
      outgoing.appendHeader(header.name, header.value);
    }
    outgoing.setHeader("content-length", request.body.byteLength);
    outgoing.end(request.body);
    return outgoing;
  }

  /**
   * Closes the idle connections to a runner. An intermediary that has lost the
   * state of one connection has often lost that of others too: requests sent on
   * them would hang until their time-outs, one after the other.
   */
  dropIdle(runner: Runner): void {
    const agent = this.#agents.get(keyOf(runner));
    if (agent === undefined) return;
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** Removes runners that are not listed; their open streams continue. */
  retain(runners: readonly Runner[]): void {
    const kept = new Set(runners.map(keyOf));
    for (const [key, agent] of this.#agents) {
      if (kept.has(key)) continue;
      this.#agents.delete(key);
      closeWhenIdle(agent);
    }
  }

  /** Closes every connection, including those in use. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
    this.#oneShot.destroy();
  }

  #agentOf(runner: Runner): http.Agent {
    const key = keyOf(runner);
    const known = this.#agents.get(key);
    if (known !== undefined) return known;
    const agent = new ClientAgent({
      keepAlive: true,
      maxSockets: this.#limits.perRunner,
      maxFreeSockets: this.#limits.idlePerRunner,
      scheduling: "lifo",
      timeout: this.#limits.idleMs,
    });
    this.#agents.set(key, agent);
    return agent;
  }
}

/** Keeps a replaced host from inheriting the connections to its former address. */
function keyOf(runner: Runner): string {
  return `${runner.name}/${runner.incarnation}/${runner.address}:${runner.port}`;
}

function closeWhenIdle(agent: http.Agent): void {
  agent.maxFreeSockets = 0;
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
