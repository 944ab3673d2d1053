/**
 * Composes how a daemon reaches the runners: directly, or by way of peers.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { MessageReceiver } from "./connection/accepted_peer.ts";
import { RunnerConnections } from "./connection/runner_connections.ts";
import type { RunnerNetwork } from "./connection/runner_network.ts";
import { connectTo, respondsToProbe } from "./connection/runner_probe.ts";
import { TunnelPeers } from "./connection/tunnel_peers.ts";
import { TunnelServer } from "./connection/tunnel_server.ts";
import type { Contact } from "./process/contact.ts";
import type { EventLog } from "./process/event_log.ts";
import type { RequestMetrics } from "./process/metrics.ts";
import type { Runner } from "./process/runner.ts";
import { RunnerPaths } from "./process/runner_paths.ts";
import type { PeerVerdict } from "./process/runner_paths.ts";
import { RunnerReachability } from "./process/runner_reachability.ts";

/** Time-out in ms for the response to a probe of a runner. */
const PROBE_TIMEOUT_MS = 500;
/**
 * Time in ms for which a response of any runner shows that paths are usable. Streams
 * send an event every 30 to 250 ms.
 */
const PROOF_OF_PATH_MS = 300;

/** The parts of the router that reaching runners depends on. */
export interface RunnerAccessContext {
  readonly network: RunnerNetwork;
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "tunnelOpened" | "observeLostPaths">;
  readonly failureDomain: string;
  /** Other daemons that are presumed alive. */
  peers(): readonly Contact[];
  /** Returns the listed runner with an id. */
  runner(id: string): Runner | undefined;
  /** Whether this daemon takes no more requests, as it is about to exit. */
  isClosed(): boolean;
  /** Returns the path of the health check of a runner. */
  healthPath(runner: Runner): string;
  /** Whether the runner's restrictions allow a probe now; counts it if so. */
  mayQuery(runner: Runner): boolean;
  /** Called when a runner is known not to be to blame for its failures. */
  cleared(runner: Runner): void;
  now(): number;
  /** In [0, 1). */
  random(): number;
}

/** Connections to runners, the paths that they take, and tunnels of peers. */
export class RunnerAccess {
  readonly reachability: RunnerReachability;
  readonly paths: RunnerPaths;
  readonly connections: RunnerConnections;
  readonly tunnels: TunnelPeers;
  readonly #context: RunnerAccessContext;
  readonly #server: TunnelServer;

  constructor(context: RunnerAccessContext) {
    const { network, log, metrics } = context;
    this.#context = context;
    this.reachability = new RunnerReachability(log);
    this.tunnels = new TunnelPeers(context);
    this.connections = new RunnerConnections(network, this.tunnels);
    this.paths = new RunnerPaths({
      reachability: this.reachability,
      log,
      askPeers: (runner, withinMs) => this.tunnels.check(runner, withinMs),
      respondsDirectly: (runner) => this.#respondsDirectly(runner),
      pathLost: (runner) => {
        this.connections.dropIdle(runner);
        context.cleared(runner);
      },
      pathRegained: (runner) => this.connections.closeTunnels(runner),
      now: () => context.now(),
      random: () => context.random(),
    });
    metrics.observeLostPaths(() => this.paths.lost);
    this.#server = new TunnelServer({
      network,
      log,
      metrics,
      runner: (id) => context.runner(id),
      isClosed: () => context.isClosed(),
      reachability: this.reachability,
      unanswered: (runner, sentAt) =>
        this.paths.checkUnanswered(runner, sentAt),
      isUnreachable: (runner) => this.paths.pathTo(runner) === "tunnel",
      recordUnreached: ({ id }, reason) =>
        this.reachability.recordFailure(id, { reason, now: context.now() }),
      check: (runner, withinMs) => this.#checkForPeer(runner, withinMs),
    });
  }

  /** Number of tunnels that are served for peers. */
  get servedTunnels(): number {
    return this.#server.tunnels;
  }

  /** Serves a peer that does not reach a runner. */
  acceptTunnel(socket: Socket): MessageReceiver {
    return this.#server.accept(socket);
  }

  /** Lets peers finish what they have sent; see {@linkcode TunnelServer.leave}. */
  leave(): void {
    this.#server.leave();
  }

  /** Closes all tunnels of peers at once. */
  destroy(): void {
    this.#server.destroy();
  }

  /** Forgets the runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    this.connections.retain(ids);
    this.paths.retain(ids);
    this.reachability.retain(ids);
  }

  async #respondsDirectly(runner: Runner): Promise<boolean> {
    if (!this.#context.mayQuery(runner)) return false;
    return await respondsToProbe(runner, {
      network: this.#context.network,
      path: this.#context.healthPath(runner),
      timeoutMs: PROBE_TIMEOUT_MS,
    });
  }

  /** Finds out for a peer whether this daemon reaches a runner. */
  async #checkForPeer(
    runner: Runner,
    withinMs: number,
  ): Promise<PeerVerdict> {
    const since = this.#context.now() - withinMs;
    if (this.reachability.respondedAt(runner.id) > since) return "reached";
    if (this.paths.pathTo(runner) === "tunnel") return "unknown";
    const result = await connectTo(this.#context.network, runner);
    if (result === "accepted") return "reached";
    const silentMs = this.#context.now() - this.reachability.lastResponseAt;
    if (silentMs > PROOF_OF_PATH_MS) return "unknown";
    return result === "refused" ? "refused" : "unreached";
  }
}
