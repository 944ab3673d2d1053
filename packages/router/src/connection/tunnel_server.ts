/**
 * Serves peers that do not reach a runner which this daemon reaches.
 *
 * @module
 */
import type { Socket } from "node:net";
import { inBackground } from "../process/background.ts";
import type { EventLog } from "../process/event_log.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { PeerVerdict } from "../process/runner_paths.ts";
import type { RunnerReachability } from "../process/runner_reachability.ts";
import { ServedTunnel } from "./served_tunnel.ts";
import { TunnelChannel } from "./tunnel_channel.ts";
import type { TunnelMessage } from "./tunnel_message.ts";
import type { RunnerNetwork } from "./runner_network.ts";

/** Time in ms in which the first message of a channel must arrive. */
const FIRST_MESSAGE_MS = 1_000;
/** Time-out in ms for opening a connection to a runner. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Maximum number of tunnels that are served. With two descriptors each they
 * leave most of those that a host has to its own callers and runners.
 */
const MAX_TUNNELS = 500;

/** What the server uses of the daemon. */
export interface TunnelServerContext {
  readonly network: RunnerNetwork;
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "tunnelOpened">;
  readonly reachability: Pick<
    RunnerReachability,
    "recordSent" | "recordResponse"
  >;
  /** Returns the listed runner with an id. */
  runner(id: string): Runner | undefined;
  /** Whether this daemon takes no more requests, as it is about to exit. */
  isClosed(): boolean;
  /** Whether this daemon itself does not reach a runner, or any. */
  isUnreachable(runner: Runner): boolean;
  /**
   * Records that a runner did not respond to what a peer had sent.
   *
   * @param sentAt monotonic ms.
   */
  unanswered(runner: Runner, sentAt: number): void;
  /** Records that a connection to a runner could not be opened. */
  recordUnreached(runner: Runner, reason: string): void;
  /** Returns whether this daemon reaches a runner, or did so within some time. */
  check(runner: Runner, withinMs: number): Promise<PeerVerdict>;
}

/**
 * Accepts tunnel channels. It connects to listed runners only, and directly, so that
 * no connection goes round in a circle of peers.
 */
export class TunnelServer {
  readonly #context: TunnelServerContext;
  readonly #tunnels = new Set<ServedTunnel>();
  #leaving = false;

  constructor(context: TunnelServerContext) {
    this.#context = context;
  }

  /** Number of tunnels that are served. */
  get tunnels(): number {
    return this.#tunnels.size;
  }

  /** Serves a channel on an accepted connection. */
  accept(socket: Socket): TunnelChannel {
    const timer = setTimeout(() => channel.close(), FIRST_MESSAGE_MS);
    const channel: TunnelChannel = new TunnelChannel(socket, {
      onMessage: (message) => {
        clearTimeout(timer);
        this.#begin(channel, message);
      },
      onLost: () => clearTimeout(timer),
    });
    return channel;
  }

  /**
   * Lets peers finish what they have sent, and use no tunnel for a further request.
   * New tunnels are served until the daemon takes no more requests: it may be the
   * only one that reaches the runners.
   */
  leave(): void {
    this.#leaving = true;
    for (const tunnel of this.#tunnels) tunnel.leave();
  }

  /** Closes all channels at once. */
  destroy(): void {
    for (const tunnel of this.#tunnels) tunnel.close();
  }

  #begin(channel: TunnelChannel, message: TunnelMessage): void {
    switch (message.kind) {
      case "check":
        return inBackground(this.#check(channel, message), {
          name: "path_check",
          log: this.#context.log,
        });
      case "connect":
        return this.#connect(channel, message.runner);
      default:
        return channel.close();
    }
  }

  async #check(
    channel: TunnelChannel,
    { runner: id, withinMs }: Extract<TunnelMessage, { kind: "check" }>,
  ): Promise<void> {
    const runner = this.#context.runner(id);
    const verdict = runner === undefined
      ? "unknown"
      : await this.#context.check(runner, withinMs);
    channel.send({ kind: "checked", verdict });
    channel.end();
  }

  #connect(channel: TunnelChannel, id: string): void {
    const runner = this.#context.runner(id);
    const reason = this.#rejection(runner);
    if (reason !== undefined || runner === undefined) {
      return this.#reject(channel, id, reason ?? "unknown runner");
    }
    const socket = this.#context.network.connect(runner);
    const timer = setTimeout(
      () => socket.destroy(new Error("connect timeout")),
      CONNECT_TIMEOUT_MS,
    );
    const failed = (error: Error) => {
      clearTimeout(timer);
      this.#context.recordUnreached(runner, error.message);
      this.#reject(channel, id, error.message);
    };
    channel.listen({
      onMessage: () => channel.close(),
      onLost: () => {
        clearTimeout(timer);
        socket.destroy();
      },
    });
    socket.once("error", failed);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", failed);
      this.#serve(channel, runner, socket);
    });
  }

  #rejection(runner: Runner | undefined): string | undefined {
    if (this.#context.isClosed()) return "leaving";
    if (this.#tunnels.size >= MAX_TUNNELS) return "too many connections";
    if (runner === undefined) return "unknown runner";
    return this.#context.isUnreachable(runner) ? "unreachable" : undefined;
  }

  #reject(channel: TunnelChannel, runner: string, reason: string): void {
    this.#context.log.event("tunnel_rejected", { runner, reason });
    channel.send({ kind: "rejected", reason });
    channel.end();
  }

  #serve(channel: TunnelChannel, runner: Runner, socket: Socket): void {
    const { metrics, reachability } = this.#context;
    metrics.tunnelOpened(runner.service, "served");
    const tunnel: ServedTunnel = new ServedTunnel(channel, socket, {
      sent: () => reachability.recordSent(performance.now()),
      responded: () =>
        reachability.recordResponse(runner.id, performance.now()),
      unanswered: (sentAt) => this.#context.unanswered(runner, sentAt),
      ended: () => this.#tunnels.delete(tunnel),
    });
    this.#tunnels.add(tunnel);
    if (this.#leaving) tunnel.leave();
  }
}
