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
import { RelayChannel } from "./relay_channel.ts";
import type { RelayMessage } from "./relay_message.ts";
import type { RunnerNetwork } from "./runner_network.ts";

/** Time in ms in which the first message of a channel must arrive. */
const FIRST_MESSAGE_MS = 1_000;
/** Time-out in ms for opening a connection to a runner. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Maximum number of connections that are relayed. With two descriptors each they
 * leave most of those that a host has to its own callers and runners.
 */
const MAX_RELAYED = 500;

/** What the server uses of the daemon. */
export interface RelayServerContext {
  readonly network: RunnerNetwork;
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "relayed">;
  /** Returns the listed runner with an id. */
  runner(id: string): Runner | undefined;
  /** Whether this daemon itself does not reach a runner, or any. */
  isUnreachable(runner: Runner): boolean;
  /** Records that a connection to a runner could not be opened. */
  recordUnreached(runner: Runner, reason: string): void;
  /** Returns whether this daemon reaches a runner, or did so within some time. */
  check(runner: Runner, withinMs: number): Promise<PeerVerdict>;
}

/**
 * Accepts relay channels. It connects to listed runners only, and directly, so that
 * no connection goes round in a circle of peers.
 */
export class RelayServer {
  readonly #context: RelayServerContext;
  readonly #channels = new Set<RelayChannel>();
  #leaving = false;

  constructor(context: RelayServerContext) {
    this.#context = context;
  }

  /** Number of connections that are relayed. */
  get relayed(): number {
    return this.#channels.size;
  }

  /** Serves a channel on an accepted connection. */
  accept(socket: Socket): void {
    const timer = setTimeout(() => channel.close(), FIRST_MESSAGE_MS);
    const channel: RelayChannel = new RelayChannel(socket, {
      onMessage: (message) => {
        clearTimeout(timer);
        this.#begin(channel, message);
      },
      onLost: () => clearTimeout(timer),
    });
  }

  /** Accepts no more connections, and lets peers finish what they have sent. */
  leave(): void {
    this.#leaving = true;
    for (const channel of this.#channels) channel.send({ kind: "leaving" });
  }

  /** Closes all channels at once. */
  destroy(): void {
    this.#leaving = true;
    for (const channel of this.#channels) channel.close();
    this.#channels.clear();
  }

  #begin(channel: RelayChannel, message: RelayMessage): void {
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
    channel: RelayChannel,
    { runner: id, withinMs }: Extract<RelayMessage, { kind: "check" }>,
  ): Promise<void> {
    const runner = this.#context.runner(id);
    const verdict = runner === undefined
      ? "unknown"
      : await this.#context.check(runner, withinMs);
    channel.send({ kind: "checked", verdict });
    channel.end();
  }

  #connect(channel: RelayChannel, id: string): void {
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
      this.#relay(channel, runner, socket);
    });
  }

  #rejection(runner: Runner | undefined): string | undefined {
    if (this.#leaving) return "leaving";
    if (this.#channels.size >= MAX_RELAYED) return "too many connections";
    if (runner === undefined) return "unknown runner";
    return this.#context.isUnreachable(runner) ? "unreachable" : undefined;
  }

  #reject(channel: RelayChannel, runner: string, reason: string): void {
    this.#context.log.event("relay_rejected", { runner, reason });
    channel.send({ kind: "rejected", reason });
    channel.end();
  }

  #relay(channel: RelayChannel, runner: Runner, socket: Socket): void {
    this.#channels.add(channel);
    this.#context.metrics.relayed(runner.service, "served");
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
    channel: RelayChannel,
    socket: Socket,
    message: RelayMessage,
  ): void {
    if (message.kind === "end") return void socket.end();
    if (message.kind !== "data") return void socket.destroy();
    if (socket.write(message.bytes)) return;
    channel.pause();
    socket.once("drain", () => channel.resume());
  }
}
