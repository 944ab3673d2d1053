/**
 * Opens and accepts links between daemons.
 *
 * @module
 */
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { ListenAddress } from "../process/settings.ts";
import { PeerLink } from "./peer_link.ts";
import type { Link, LinkEvents } from "./peer_link.ts";

/**
 * Time-out in ms for opening a link. The first packet of a dial to a host without power
 * is lost, so only another dial finds out that the host has power again.
 */
const CONNECT_TIMEOUT_MS = 250;

/** Creates the link on an open connection. */
export type LinkFactory = (events: LinkEvents) => Link;

/** Dials other daemons and accepts their links. */
export interface PeerNetwork {
  /** The port on which links are accepted. */
  readonly port: number;
  /** Accepts links from now on. */
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

/** Links over TCP. */
export class TcpPeerNetwork implements PeerNetwork {
  #server: Server | undefined;

  get port(): number {
    return (this.#server?.address() as AddressInfo).port;
  }

  open(
    address: ListenAddress,
    accepted: (createLink: LinkFactory) => void,
  ): Promise<void> {
    const server = createServer((socket) => accepted(linkFactoryFor(socket)));
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(address.port, address.host, resolve);
    });
  }

  dial(address: string, outcome: {
    opened(createLink: LinkFactory): void;
    failed(): void;
  }): void {
    const [host = "", port = ""] = address.split(":");
    const socket = connect({ host, port: Number(port) });
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
    this.#server?.close();
  }
}

function linkFactoryFor(socket: Socket): LinkFactory {
  return (events) => new PeerLink(socket, events);
}
