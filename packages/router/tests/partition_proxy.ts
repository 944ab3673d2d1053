/**
 * A proxy on the path between one router and one runner.
 *
 * @module
 */
import { connectClient } from "@umbermast/coordination/client_socket";
import { once } from "node:events";
import { createServer, Socket } from "node:net";
import type { AddressInfo, Server } from "node:net";
import type { CleanupContext } from "./fixtures.ts";

const LOCALHOST = "127.0.0.1";

/** How a partition shows on the connections of a path. */
export type Partition =
  /** Open connections carry nothing, and new ones are never accepted. */
  | "hang"
  /** Open connections and new ones carry nothing. */
  | "swallow"
  /** Open connections and new ones are reset. */
  | "reset"
  /** Open connections are reset, and new ones refused. */
  | "refuse"
  /** Open connections live on, and new ones are refused. */
  | "refuse-new";

function connectTo(port: number): Socket {
  return connectClient({ port, host: LOCALHOST });
}

/**
 * Forwards connections to a runner until the path is partitioned. A partition that
 * hangs swallows opening packets, too: {@linkcode connect} never connects.
 */
export class PartitionProxy {
  readonly #target: number;
  readonly #server: Server;
  readonly #pairs = new Set<readonly [Socket, Socket]>();
  #partition: Partition | undefined;
  #port = 0;

  private constructor(target: number) {
    this.#target = target;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts a proxy before a local port. */
  static async start(
    context: CleanupContext,
    target: number,
  ): Promise<PartitionProxy> {
    const proxy = new PartitionProxy(target);
    await proxy.#listen(0);
    proxy.#port = (proxy.#server.address() as AddressInfo).port;
    context.after(() => {
      proxy.#reset();
      proxy.#server.close();
    });
    return proxy;
  }

  /** Starts to open a connection by way of the proxy. */
  connect(): Socket {
    if (this.#partition !== "hang") return connectTo(this.#port);
    return Object.assign(new Socket(), { connecting: true });
  }

  /** Partitions the path from now on. */
  partition(partition: Partition): void {
    this.#partition = partition;
    if (partition === "refuse" || partition === "refuse-new") {
      this.#server.close();
    }
    if (partition === "reset" || partition === "refuse") this.#reset();
    if (partition !== "hang" && partition !== "swallow") return;
    for (const [socket, other] of this.#pairs) {
      socket.unpipe(other).pause();
      other.unpipe(socket).pause();
    }
  }

  /** Ends the partition; what hung goes on. */
  async heal(): Promise<void> {
    const before = this.#partition;
    this.#partition = undefined;
    if (!this.#server.listening) await this.#listen(this.#port);
    if (before !== "hang" && before !== "swallow") return;
    for (const [socket, other] of this.#pairs) {
      socket.pipe(other).pipe(socket);
    }
  }

  #accept(socket: Socket): void {
    socket.on("error", () => {});
    if (this.#partition === "reset") return void socket.resetAndDestroy();
    const other = connectTo(this.#target);
    other.on("error", () => {});
    const pair = [socket, other] as const;
    this.#pairs.add(pair);
    for (const [one, opposite] of [pair, [other, socket] as const]) {
      one.once("close", (broken: boolean) => {
        this.#pairs.delete(pair);
        // Node never closes a connection that is reset while it is being ended.
        if (broken && !opposite.writableEnded) opposite.resetAndDestroy();
        else opposite.destroy();
      });
    }
    if (this.#partition === undefined) socket.pipe(other).pipe(socket);
  }

  #reset(): void {
    for (const [socket, other] of this.#pairs) {
      socket.resetAndDestroy();
      other.resetAndDestroy();
    }
  }

  async #listen(port: number): Promise<void> {
    this.#server.listen(port, LOCALHOST);
    await once(this.#server, "listening");
  }
}
