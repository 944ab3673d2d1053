/**
 * Serves peers that do not reach a runner which this daemon reaches.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { EventLog } from "../process/event_log.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { PeerVerdict } from "../process/runner_paths.ts";
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
  /** Returns the listed runner with an id. */
  runner(id: string): Runner | undefined;
  /** Whether this daemon takes no more requests, as it is about to exit. */
  isClosed(): boolean;
  /** Whether this daemon itself does not reach a runner, or any. */
  isUnreachable(runner: Runner): boolean;
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
  readonly #channels = new Set<TunnelChannel>();
  #leaving = false;

  constructor(context: TunnelServerContext) {
    this.#context = context;
  }

  /** Number of tunnels that are served. */
  get tunnels(): number {
    return this.#channels.size;
  }

  /** Serves a channel on an accepted connection. */
  accept(socket: Socket): void {
    const timer = setTimeout(() => channel.close(), FIRST_MESSAGE_MS);
    const channel: TunnelChannel = new TunnelChannel(socket, {
      onMessage: (message) => {
        clearTimeout(timer);
        this.#begin(channel, message);
      },
      onLost: () => clearTimeout(timer),
    });
  }

  /**
   * Lets peers finish what they have sent, and use no tunnel for a further request.
   * New tunnels are served until the daemon takes no more requests: it may be the
   * only one that reaches the runners.
   */
  leave(): void {
    this.#leaving = true;
    for (const channel of this.#channels) channel.send({ kind: "leaving" });
  }

  /** Closes all channels at once. */
  destroy(): void {
    for (const channel of this.#channels) channel.close();
    this.#channels.clear();
  }

  #begin(channel: TunnelChannel, message: TunnelMessage): void {
    switch (message.kind) {
      case "check":
        return void this.#check(channel, message);
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
      this.#tunnel(channel, runner, socket);
    });
  }

  #rejection(runner: Runner | undefined): string | undefined {
    if (this.#context.isClosed()) return "leaving";
    if (this.#channels.size >= MAX_TUNNELS) return "too many connections";
    if (runner === undefined) return "unknown runner";
    return this.#context.isUnreachable(runner) ? "unreachable" : undefined;
  }

  #reject(channel: TunnelChannel, runner: string, reason: string): void {
    this.#context.log.event("tunnel_rejected", { runner, reason });
    channel.send({ kind: "rejected", reason });
    channel.end();
  }

  #tunnel(channel: TunnelChannel, runner: Runner, socket: Socket): void {
    this.#channels.add(channel);
    this.#context.metrics.tunnelOpened(runner.service, "served");
    const finish = () => this.#channels.delete(channel);
    channel.listen({
      onMessage: (message) => this.#forward(channel, socket, message),
      onLost: () => {
        finish();
        socket.destroy();
      },
    });
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => {
      if (channel.send({ kind: "data", bytes })) return;
      socket.pause();
      channel.onceDrained(() => socket.resume());
    });
    socket.once("end", () => channel.send({ kind: "end" }));
    socket.once("error", (error) => {
      channel.send({ kind: "broken", reason: error.message });
    });
    socket.once("close", () => {
      finish();
      channel.end();
    });
    channel.send({ kind: "connected" });
    if (this.#leaving) channel.send({ kind: "leaving" });
  }

  #forward(
    channel: TunnelChannel,
    socket: Socket,
    message: TunnelMessage,
  ): void {
    if (message.kind === "end") return void socket.end();
    if (message.kind !== "data") return void socket.destroy();
    if (socket.write(message.bytes)) return;
    channel.pause();
    socket.once("drain", () => channel.resume());
  }
}
