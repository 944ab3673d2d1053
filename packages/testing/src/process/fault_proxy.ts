/**
 * A TCP proxy that shows faults of the network between two ends.
 *
 * @module
 */
import { createServer, type Server } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { DatagramRelay, type Place } from "./datagram_relay.ts";
import { Link, type LinkFaults } from "./link.ts";

/** Which answers a fault strikes. */
export interface Struck {
  readonly count?: number;
  /** Only answers whose first bytes hold this text, such as a header's name. */
  readonly match?: string;
}

/** How a partition shows on connections. */
export type PartitionKind = "hang" | "reset" | "refuse-new";

/** Faults of a proxy. Each holds until `none`, or for `seconds`. */
export type ProxyFault =
  /** Each chunk is `delayMs` late in both directions, and each datagram. */
  | {
    readonly fault: "delay";
    readonly delayMs: number;
    readonly seconds?: number;
  }
  /** Open connections are cut, and new ones and datagrams while it holds. */
  | { readonly fault: "cut"; readonly seconds?: number }
  /**
   * Open connections swallow everything for good; new ones work, after `seconds`
   * if given. `direction` names the only way that is swallowed, `up` being towards
   * the target.
   */
  | {
    readonly fault: "silent";
    readonly direction?: "up" | "down";
    readonly seconds?: number;
  }
  /**
   * Connections from some addresses are partitioned; an empty list ends that.
   * `hang`: they carry nothing; `reset`: they are cut; `refuse-new`: open ones live
   * on, and new ones are cut.
   */
  | {
    readonly fault: "partition";
    readonly sources: readonly string[];
    readonly how: PartitionKind;
  }
  /** The next `count` answers (1) are lost, and their connections cut. */
  | { readonly fault: "lose-reply" } & Struck
  /** The next `count` answers (1) are held back whole for `holdMs`. */
  | { readonly fault: "reorder"; readonly holdMs: number } & Struck
  /** Ends all but silence of open ones, and lets go of what was late or held back. */
  | { readonly fault: "none" };

const ADDRESS = "127.0.0.1";
const MS_PER_SECOND = 1000;
const PORT_ATTEMPTS = 10;

/**
 * A proxy before one address.
 *
 * @example
 * ```ts
 * const proxy = await FaultProxy.start({ address: "127.0.0.1", port: 8080 });
 * proxy.order({ fault: "silent" });
 * await proxy.close();
 * ```
 */
export class FaultProxy {
  readonly port: number;
  readonly #server: Server;
  readonly #target: Place;
  /** Open connections, by the addresses from which they came. */
  readonly #links = new Map<Link, string | undefined>();
  #partition: {
    readonly sources: ReadonlySet<string>;
    readonly how: PartitionKind;
  } = NO_PARTITION;
  #delay = { ms: 0, until: 0 };
  #cutUntil = 0;
  #silence: { readonly direction?: "up" | "down"; readonly until: number } =
    NO_SILENCE;
  #lost = NONE_STRUCK;
  #held = { ...NONE_STRUCK, holdMs: 0 };
  #accepted = 0;

  #datagrams: DatagramRelay | undefined;

  /** @internal Use `FaultProxy.start`. */
  constructor(server: Server, target: (port: number) => Place) {
    this.#server = server;
    this.port = (server.address() as AddressInfo).port;
    this.#target = target(this.port);
    server.on("connection", (socket) => this.#accept(socket));
  }

  /** Listens on 127.0.0.1, on a port of the system's choice by default. */
  static async start(
    target: Place,
    options: { readonly port?: number } = {},
  ): Promise<FaultProxy> {
    const server = await listen(options.port ?? 0);
    return new FaultProxy(server, () => target);
  }

  /**
   * Listens for TCP and UDP on 127.0.0.1, on one port of the system's choice,
   * before the same port of another address of this machine.
   */
  static async startBefore(address: string): Promise<FaultProxy> {
    for (let attempt = 1;; attempt++) {
      const server = await listen(0);
      const proxy = new FaultProxy(server, (port) => ({ address, port }));
      try {
        await proxy.#relayDatagrams();
        return proxy;
      } catch (error) {
        // A port that is free for TCP may be taken for UDP; take another one.
        await proxy.close();
        if (attempt === PORT_ATTEMPTS) throw error;
      }
    }
  }

  /** Base URL, for HTTP behind the proxy. */
  get url(): string {
    return `http://${ADDRESS}:${this.port}`;
  }

  /** Connections that are open now. */
  get open(): number {
    return this.#links.size;
  }

  /** Connections accepted since the start. */
  get accepted(): number {
    return this.#accepted;
  }

  /** Starts or ends a fault. */
  order(order: ProxyFault): void {
    switch (order.fault) {
      case "delay":
        this.#delay = { ms: order.delayMs, until: until(order.seconds) };
        return;
      case "cut":
        this.#cutUntil = order.seconds === undefined ? 0 : until(order.seconds);
        for (const link of this.#links.keys()) link.cut();
        return;
      case "partition":
        return this.#startPartition(order);
      case "silent":
        for (const link of this.#links.keys()) link.silence(order.direction);
        this.#silence = order.seconds === undefined
          ? NO_SILENCE
          : { ...order, until: until(order.seconds) };
        return;
      case "lose-reply":
        this.#lost = strikeNext(order);
        return;
      case "reorder":
        this.#held = { ...strikeNext(order), holdMs: order.holdMs };
        return;
      case "none":
        this.#delay = { ms: 0, until: 0 };
        this.#cutUntil = 0;
        this.#silence = NO_SILENCE;
        this.#lost = NONE_STRUCK;
        this.#held = { ...NONE_STRUCK, holdMs: 0 };
        this.#partition = NO_PARTITION;
        for (const link of this.#links.keys()) link.release();
    }
  }

  /** Refuses connections, as the target does when its process has ended. */
  refuse(): void {
    this.#server.close();
  }

  /** Takes connections again, at the same port. */
  async accept(): Promise<void> {
    if (this.#server.listening) return;
    await listenOn(this.#server, this.port);
  }

  /** Ends the proxy and all its connections. */
  async close(): Promise<void> {
    for (const link of this.#links.keys()) link.cut();
    await this.#datagrams?.close();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #relayDatagrams(): Promise<void> {
    const place = { address: ADDRESS, port: this.port };
    this.#datagrams = await DatagramRelay.open(place, {
      target: this.#target,
      faults: {
        cut: () => Date.now() < this.#cutUntil,
        delayMs: () => this.#delayMs(),
      },
    });
  }

  #delayMs(): number {
    return Date.now() < this.#delay.until ? this.#delay.ms : 0;
  }

  #accept(caller: Socket): void {
    this.#accepted += 1;
    const { remoteAddress } = caller;
    const { how } = this.#partition;
    const partitioned = this.#isPartitioned(remoteAddress);
    if (Date.now() < this.#cutUntil || (partitioned && how !== "hang")) {
      caller.destroy();
      return;
    }
    const link = new Link(caller, this.#target, this.#faults());
    const { direction, until } = this.#silence;
    if (Date.now() < until) link.silence(direction);
    if (partitioned) link.silence();
    this.#links.set(link, remoteAddress);
    link.ended.then(() => this.#links.delete(link));
  }

  #startPartition(
    { sources, how }: Extract<ProxyFault, { fault: "partition" }>,
  ): void {
    this.#partition = { sources: new Set(sources), how };
    for (const [link, source] of this.#links) {
      if (how === "refuse-new" || !this.#isPartitioned(source)) continue;
      if (how === "hang") link.silence();
      else link.cut();
    }
  }

  #isPartitioned(source: string | undefined): boolean {
    return source !== undefined && this.#partition.sources.has(source);
  }

  #faults(): LinkFaults {
    return {
      delayMs: () => this.#delayMs(),
      losesReply: (start) => strikes(this.#lost, start),
      holdMs: (start) => strikes(this.#held, start) ? this.#held.holdMs : 0,
    };
  }
}

async function listen(port: number): Promise<Server> {
  const server = createServer({ allowHalfOpen: true });
  await listenOn(server, port);
  return server;
}

function listenOn(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ADDRESS, resolve);
  });
}

/** Answers still to be struck. */
interface ToStrike {
  left: number;
  readonly match: string;
}

const NONE_STRUCK: ToStrike = { left: 0, match: "" };
const NO_SILENCE = { until: 0 };
const NO_PARTITION = { sources: new Set<string>(), how: "hang" } as const;

function strikeNext(order: Struck): ToStrike {
  return { left: order.count ?? 1, match: order.match ?? "" };
}

/** Whether the answer that begins so is struck; counts it if it is. */
function strikes(answers: ToStrike, start: Buffer): boolean {
  if (answers.left <= 0 || !start.includes(answers.match)) return false;
  answers.left -= 1;
  return true;
}

function until(seconds: number | undefined): number {
  if (seconds === undefined) return Infinity;
  return Date.now() + seconds * MS_PER_SECOND;
}

const FAULTS = [
  "delay",
  "cut",
  "silent",
  "partition",
  "lose-reply",
  "reorder",
  "none",
];
const PARTITION_KINDS = ["hang", "reset", "refuse-new"];

/** Reads an order of `POST /control`; a text when it is not one. */
export function readProxyFault(value: unknown): ProxyFault | string {
  if (typeof value !== "object" || value === null) {
    return "/: expected an object";
  }
  const given = value as Record<string, unknown>;
  if (!FAULTS.includes(given.fault as string)) {
    return `/fault: expected one of ${FAULTS.join(", ")}`;
  }
  if (given.fault === "delay" && !(Number(given.delayMs) >= 0)) {
    return "/delayMs: expected a number of at least 0";
  }
  const isPartition = given.fault === "partition";
  if (isPartition && !Array.isArray(given.sources)) {
    return "/sources: expected a list of addresses";
  }
  if (isPartition && !PARTITION_KINDS.includes(given.how as string)) {
    return `/how: expected one of ${PARTITION_KINDS.join(", ")}`;
  }
  if (given.fault === "reorder" && !(Number(given.holdMs) >= 0)) {
    return "/holdMs: expected a number of at least 0";
  }
  return value as ProxyFault;
}
