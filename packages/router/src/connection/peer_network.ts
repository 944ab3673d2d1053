/**
 * Opens and accepts links between daemons.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:net";
import type { Socket } from "node:net";
import type { ConnectionLimits } from "../process/connection_limits.ts";
import type { EventLog } from "../process/event_log.ts";
import type { ListenAddress } from "../process/settings.ts";
import { AcceptedPeer } from "./accepted_peer.ts";
import type { MessageReceiver } from "./accepted_peer.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { EvictionLog } from "./eviction_log.ts";
import { Listening } from "./listening.ts";
import { openSocketTo } from "./open_socket.ts";
import { PeerLink } from "./peer_link.ts";
import type { Link, LinkEvents } from "./peer_link.ts";
import { TUNNEL_PREFACE } from "./tunnel_channel.ts";

/**
 * Time-out in ms for opening a link. The first packet of a dial to a host without power
 * is lost, so only another dial finds out that the host has power again.
 */
const CONNECT_TIMEOUT_MS = 250;

/** Creates the link on an open connection. */
export type LinkFactory = (events: LinkEvents) => Link;

/** Dials other daemons and accepts their links. */
export interface PeerNetwork {
  /** The port on which links are accepted; 0 before they are. */
  readonly port: number;
  /** Accepts links as soon as the address is free. */
  open(
    address: ListenAddress,
    accepted: (createLink: LinkFactory) => void,
  ): Promise<void>;
  /** Dials an address; calls exactly one of the two callbacks, asynchronously. */
  dial(address: string, outcome: {
    opened(createLink: LinkFactory): void;
    failed(): void;
  }): void;
  /** Stops accepting links. */
  close(): void;
}

/**
 * Time in ms in which an accepted connection must show whether it is a link or a
 * tunnel channel.
 */
const PREFACE_TIMEOUT_MS = 2_500;

/** Links over TCP; the port also accepts tunnel channels. */
export class TcpPeerNetwork implements PeerNetwork {
  readonly #acceptTunnel: (socket: Socket) => MessageReceiver;
  readonly #pool: ConnectionPool;
  readonly #log: EventLog;
  #listening: Listening | undefined;

  constructor(options: {
    /** Takes over a connection that is a tunnel channel. */
    readonly acceptTunnel: (socket: Socket) => MessageReceiver;
    /** Limits of the connections that are accepted. */
    readonly limits: ConnectionLimits;
    readonly log: EventLog;
  }) {
    const { acceptTunnel, limits, log } = options;
    this.#acceptTunnel = acceptTunnel;
    this.#log = log;
    const evictions = new EvictionLog(log, "peers");
    this.#pool = new ConnectionPool(limits, (reason) => evictions.add(reason));
  }

  get port(): number {
    return this.#listening?.port ?? 0;
  }

  open(
    address: ListenAddress,
    accepted: (createLink: LinkFactory) => void,
  ): Promise<void> {
    const server = createServer((socket) => {
      const peer = new AcceptedPeer(socket, this.#pool);
      readPreface(socket, {
        link: () =>
          accepted((events) => {
            const link = new PeerLink(socket, events);
            peer.watch(link);
            return link;
          }),
        tunnel: () => peer.watch(this.#acceptTunnel(socket)),
      });
    });
    const log = this.#log;
    this.#listening = new Listening(server, { name: "peers", log });
    return this.#listening.open(address);
  }

  dial(address: string, outcome: {
    opened(createLink: LinkFactory): void;
    failed(): void;
  }): void {
    const socket = openSocketTo(address);
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    const failed = () => {
      clearTimeout(timer);
      outcome.failed();
    };
    socket.once("close", failed);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("close", failed);
      outcome.opened(linkFactoryFor(socket));
    });
    // Errors are handled by the "close" event.
    socket.on("error", () => {});
  }

  close(): void {
    this.#listening?.close();
  }
}

/** Reads the first bytes of a connection, which show what it is. */
function readPreface(socket: Socket, handlers: {
  readonly link: () => void;
  readonly tunnel: () => void;
}): void {
  let received = Buffer.alloc(0);
  const discard = () => socket.destroy();
  socket.setTimeout(PREFACE_TIMEOUT_MS, discard);
  socket.on("error", discard);
  socket.on("data", function receive(chunk: Buffer) {
    received = Buffer.concat([received, chunk]);
    if (received.length < TUNNEL_PREFACE.length) return;
    socket.off("data", receive).pause();
    socket.off("error", discard).off("timeout", discard).setTimeout(0);
    const preface = received.subarray(0, TUNNEL_PREFACE.length);
    const isTunnel = preface.equals(TUNNEL_PREFACE);
    if (isTunnel) handlers.tunnel();
    else handlers.link();
    const rest = isTunnel ? received.subarray(TUNNEL_PREFACE.length) : received;
    if (rest.length > 0) socket.unshift(rest);
    socket.resume();
  });
}

function linkFactoryFor(socket: Socket): LinkFactory {
  return (events) => new PeerLink(socket, events);
}
