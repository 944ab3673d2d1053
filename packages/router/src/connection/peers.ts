/**
 * The other daemons, each on one link.
 *
 * @module
 */
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { EventLog } from "../process/event_log.ts";
import type { ListenAddress } from "../process/settings.ts";
import { encodeMessage, PeerLink } from "./peer_link.ts";
import type { Hello, PeerMessage } from "./peer_message.ts";

/** Milliseconds to open a link. */
const CONNECT_TIMEOUT_MS = 500;
/** First pause before an address is dialled again, in ms; doubled each time. */
const FIRST_PAUSE_MS = 150;
const LONGEST_PAUSE_MS = 2_000;
/**
 * Dials in a row after which an address is forgotten: about two minutes. A
 * daemon that comes back dials by itself.
 */
const MAX_DIALS = 60;

/** A daemon whose link is up. */
export interface Peer {
  readonly name: string;
  readonly incarnation: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly linkMbps: number;
  readonly link: PeerLink;
  /** Whether this daemon dialled it. */
  readonly dialled: boolean;
}

/** Told of peers and their messages. */
export interface PeerListener {
  joined(peer: Peer): void;
  left(peer: Peer): void;
  received(peer: Peer, message: PeerMessage): void;
}

interface Target {
  dials: number;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Keeps one link to every daemon whose address is known. Any one contact is
 * enough: each side's first message names the others that it knows.
 *
 * Both sides may dial at once. Of two links between the same two lives of
 * daemons, the one that the lower address dialled stays; a new life of a
 * daemon replaces the link of the one before.
 */
export class Peers {
  readonly #own: () => Hello;
  readonly #listener: PeerListener;
  readonly #log: EventLog;
  readonly #peers = new Map<string, Peer>();
  readonly #targets = new Map<string, Target>();
  readonly #server: Server;
  #stopped = false;

  constructor(
    own: () => Omit<Hello, "kind" | "known">,
    options: { readonly listener: PeerListener; readonly log: EventLog },
  ) {
    this.#own = () => ({
      kind: "hello",
      known: [...this.#targets.keys()],
      ...own(),
    });
    this.#listener = options.listener;
    this.#log = options.log;
    this.#server = createServer((socket) => this.#join(socket, false));
  }

  /** Peers whose links are up. */
  get alive(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** Whether the link to a daemon is up. */
  has(name: string): boolean {
    return this.#peers.has(name);
  }

  /** How many links are up. */
  get count(): number {
    return this.#peers.size;
  }

  /** How many daemons are known, whether they answer or not, and this one. */
  get fleetSize(): number {
    return this.#targets.size + 1;
  }

  /** The port that it listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  open(address: ListenAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(address.port, address.host, resolve);
    });
  }

  /** Learns of addresses and dials those that are new. */
  learn(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address === this.#own().address || this.#targets.has(address)) {
        continue;
      }
      this.#targets.set(address, { dials: 0, timer: undefined });
      this.#dial(address);
    }
  }

  /** Sends a message to all peers. */
  broadcast(message: PeerMessage): void {
    if (this.#peers.size === 0) return;
    const frame = encodeMessage(message);
    for (const { link } of this.#peers.values()) link.sendEncoded(frame);
  }

  /** Closes all links. */
  stop(): void {
    this.#stopped = true;
    this.#server.close();
    for (const { timer } of this.#targets.values()) clearTimeout(timer);
    for (const { link } of this.#peers.values()) link.close();
  }

  #dial(address: string): void {
    const [host = "", port = ""] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      this.#join(socket, true, address);
    });
    socket.once("error", () => socket.destroy());
    socket.once("close", () => {
      clearTimeout(timer);
      this.#redial(address);
    });
  }

  #redial(address: string): void {
    const target = this.#targets.get(address);
    if (target === undefined || this.#stopped) return;
    if (target.timer !== undefined || this.#linked(address)) return;
    target.dials += 1;
    if (target.dials > MAX_DIALS) {
      this.#targets.delete(address);
      this.#log.event("peer_forgotten", { address });
      return;
    }
    const pause = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** Math.min(target.dials, 8),
    );
    target.timer = setTimeout(() => {
      target.timer = undefined;
      if (!this.#linked(address)) this.#dial(address);
    }, pause * (0.5 + Math.random()));
  }

  #linked(address: string): boolean {
    return [...this.#peers.values()].some((peer) => peer.address === address);
  }

  #join(socket: Socket, dialled: boolean, dialledAddress?: string): void {
    let peer: Peer | undefined;
    const link = new PeerLink(socket, {
      onMessage: (message) => {
        if (message.kind === "hello") {
          peer = this.#greeted(message, link, dialled);
          return;
        }
        if (peer !== undefined) this.#listener.received(peer, message);
      },
      onFault: (reason) => {
        this.#log.event("peer_message_bad", { name: peer?.name, reason });
      },
      onClose: () => {
        if (peer !== undefined) this.#lost(peer);
        const address = dialledAddress ?? peer?.address;
        if (address !== undefined) this.#redial(address);
      },
    });
    link.send(this.#own());
  }

  #greeted(hello: Hello, link: PeerLink, dialled: boolean): Peer | undefined {
    const { name, incarnation, address, failureDomain, linkMbps } = hello;
    const own = this.#own();
    if (name === own.name) {
      link.close();
      return undefined;
    }
    const peer = {
      name,
      incarnation,
      address,
      failureDomain,
      linkMbps,
      link,
      dialled,
    };
    const before = this.#peers.get(name);
    if (before !== undefined && before.incarnation === incarnation) {
      const dialler = dialled ? own.address : address;
      const other = dialled ? address : own.address;
      if (dialler > other) {
        link.close();
        return undefined;
      }
    }
    if (before !== undefined) this.#replace(before);
    this.#peers.set(name, peer);
    const target = this.#targets.get(address) ?? { dials: 0, timer: undefined };
    target.dials = 0;
    this.#targets.set(address, target);
    this.#listener.joined(peer);
    this.#log.event("peer_joined", { name, address, peers: this.#peers.size });
    this.learn(hello.known);
    return peer;
  }

  #replace(before: Peer): void {
    this.#peers.delete(before.name);
    this.#listener.left(before);
    before.link.close();
  }

  #lost(peer: Peer): void {
    if (this.#peers.get(peer.name) !== peer) return;
    this.#peers.delete(peer.name);
    this.#listener.left(peer);
    this.#log.event("peer_lost", {
      name: peer.name,
      address: peer.address,
      peers: this.#peers.size,
    });
  }
}
