/**
 * Links to other daemons: dialling, accepting and the handshake.
 *
 * @module
 */
import { contactOf } from "../process/contact.ts";
import type { Contact } from "../process/contact.ts";
import type { EventLog } from "../process/event_log.ts";
import type { ListenAddress } from "../process/settings.ts";
import type { Link } from "./peer_link.ts";
import { PROTOCOL_VERSION } from "./peer_message.ts";
import type { Hello, PeerMessage } from "./peer_message.ts";
import type { LinkFactory, PeerNetwork } from "./peer_network.ts";

/** First delay before an address is dialled again; doubled with each failure. */
const MIN_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 2_000;
/**
 * Consecutive failed dials after which a candidate, the address of an unknown
 * daemon, is dropped.
 */
const MAX_CANDIDATE_DIALS = 5;
/** Consecutive failed dials after which an address is reported as unreachable. */
const UNREACHABLE_DIALS = 2;
/**
 * Maximum number of links of a daemon. A relay, which forwards the updates of other
 * daemons, needs some thirty, and more while all daemons
 * start at once; the other file descriptors are for callers and runners.
 */
const MAX_LINKS = 500;

/**
 * Maximum number of addresses kept of daemons of another version, each of which is
 * logged once.
 */
const MAX_MISMATCHED = 1_000;
/**
 * Minimum ms between two lines about invalid entries, which may be in each update
 * of a peer.
 */
const INVALID_LOG_MS = 60_000;

/** A daemon whose link is up. */
export interface Peer extends Contact {
  readonly link: Link;
  /** Whether this daemon dialled it. */
  readonly dialled: boolean;
}

/** Receives peers and their messages. */
export interface PeerListener {
  /** Contacts to send to a new peer. */
  contactsFor(
    peer: Pick<Contact, "failureDomain"> | undefined,
  ): readonly Contact[];
  /** Called when a link is up, with the contacts in the peer's hello. */
  joined(peer: Peer, contacts: readonly Contact[]): void;
  /** Called when a link is down. */
  left(peer: Peer): void;
  received(peer: Peer, message: PeerMessage): void;
  /** Called when several consecutive dials of an address have failed. */
  unreachable(address: string): void;
}

interface Target {
  /** Consecutive failed dials. */
  dials: number;
  /** Whether a dial is in progress. */
  dialling: boolean;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Maintains one link to each requested daemon, and accepts links from others.
 *
 * Both sides may dial at once. Of two links between the same incarnations of two
 * daemons, the one dialled from the lower address is kept. A link of a new
 * incarnation of a daemon replaces that of the previous one.
 */
export class Peers {
  readonly #own: Contact;
  readonly #network: PeerNetwork;
  readonly #listener: PeerListener;
  readonly #log: EventLog;
  readonly #peers = new Map<string, Peer>();
  readonly #byAddress = new Map<string, Peer>();
  readonly #targets = new Map<string, Target>();
  /** Addresses to maintain links to. */
  #maintained: ReadonlySet<string> = new Set();
  /** Addresses to dial until a daemon responds or the dials fail too often. */
  readonly #candidates = new Set<string>();
  /** Addresses of daemons of another version that have been logged. */
  readonly #mismatched = new Set<string>();
  #stopped = false;
  /** When an invalid entry of a message was logged last. */
  #invalidLoggedAt = -Infinity;

  constructor(own: Contact, options: {
    readonly network: PeerNetwork;
    readonly listener: PeerListener;
    readonly log: EventLog;
  }) {
    this.#own = own;
    this.#network = options.network;
    this.#listener = options.listener;
    this.#log = options.log;
  }

  /** Peers whose links are up. */
  get connected(): readonly Peer[] {
    return [...this.#peers.values()];
  }

  /** The peer with a name, if its link is up. */
  get(name: string): Peer | undefined {
    return this.#peers.get(name);
  }

  /** Number of links that are up. */
  get count(): number {
    return this.#peers.size;
  }

  /** The port on which links are accepted; 0 before they are. */
  get port(): number {
    return this.#network.port;
  }

  open(address: ListenAddress): Promise<void> {
    return this.#network.open(
      address,
      (createLink) => this.#openLink(createLink, undefined),
    );
  }

  /** Dials the addresses of unknown daemons until they respond or are dropped. */
  discover(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address === this.#own.address) continue;
      this.#candidates.add(address);
      this.#dialIfIdle(address);
    }
  }

  /** Maintains links to these addresses from now on, and redials no others. */
  maintainLinks(addresses: ReadonlySet<string>): void {
    this.#maintained = addresses;
    for (const address of this.#targets.keys()) this.#dropUnneeded(address);
    for (const address of addresses) this.#dialIfIdle(address);
  }

  /** Closes all links. */
  stop(): void {
    this.#stopDialling();
    for (const { link } of this.#peers.values()) link.close();
  }

  /** Closes all links once the peers have received what was sent on them. */
  leave(): void {
    this.#stopDialling();
    for (const { link } of this.#peers.values()) link.end();
  }

  #stopDialling(): void {
    this.#stopped = true;
    this.#network.close();
    for (const { timer } of this.#targets.values()) clearTimeout(timer);
  }

  #isNeeded(address: string): boolean {
    return this.#maintained.has(address) || this.#candidates.has(address);
  }

  #dropUnneeded(address: string): void {
    const target = this.#targets.get(address);
    if (target === undefined || this.#isNeeded(address)) return;
    clearTimeout(target.timer);
    target.timer = undefined;
    if (!target.dialling) this.#targets.delete(address);
  }

  /** Dials an address unless it has a link, a dial in progress or a backoff. */
  #dialIfIdle(address: string): void {
    if (this.#stopped || address === this.#own.address) return;
    if (this.#byAddress.has(address)) return;
    const target = this.#targets.get(address) ??
      { dials: 0, dialling: false, timer: undefined };
    this.#targets.set(address, target);
    if (target.dialling || target.timer !== undefined) return;
    this.#dial(address, target);
  }

  #dial(address: string, target: Target): void {
    target.dialling = true;
    this.#network.dial(address, {
      opened: (createLink) => {
        target.dialling = false;
        this.#openLink(createLink, address);
      },
      failed: () => {
        target.dialling = false;
        this.#dialFailed(address, target);
      },
    });
  }

  #dialFailed(address: string, target: Target): void {
    if (this.#stopped) return;
    target.dials += 1;
    if (target.dials >= MAX_CANDIDATE_DIALS) this.#candidates.delete(address);
    if (target.dials >= UNREACHABLE_DIALS) this.#listener.unreachable(address);
    this.#redial(address, target);
  }

  #redial(address: string, target: Target): void {
    this.#dropUnneeded(address);
    const unneeded = this.#stopped || !this.#targets.has(address);
    if (
      unneeded || target.timer !== undefined || this.#byAddress.has(address)
    ) {
      return;
    }
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** Math.min(target.dials, 8),
    );
    target.timer = setTimeout(() => {
      target.timer = undefined;
      const needed = this.#isNeeded(address) && !this.#byAddress.has(address);
      if (needed && !target.dialling) this.#dial(address, target);
    }, backoffMs * (0.5 + Math.random()));
  }

  #openLink(createLink: LinkFactory, dialledAddress: string | undefined): void {
    let peer: Peer | undefined;
    const link = createLink({
      onMessage: (message) => {
        if (message.kind === "hello") {
          peer = this.#handleHello(message, link, dialledAddress !== undefined);
          return;
        }
        if (peer !== undefined) this.#listener.received(peer, message);
      },
      onFault: (reason) => {
        this.#log.event("peer_message_invalid", { name: peer?.name, reason });
      },
      onInvalidEntry: (reason) => this.#logInvalidEntry(peer, reason),
      onClose: () => {
        if (peer !== undefined) this.#linkLost(peer);
        this.#linkClosed(dialledAddress ?? peer?.address, peer !== undefined);
      },
    });
    // The dialling side sends its hello first; the reply then includes the
    // contacts that are useful to it.
    if (dialledAddress !== undefined) link.send(this.#hello(undefined));
  }

  #logInvalidEntry(peer: Peer | undefined, reason: string): void {
    const now = performance.now();
    if (now - this.#invalidLoggedAt < INVALID_LOG_MS) return;
    this.#invalidLoggedAt = now;
    this.#log.event("peer_entry_invalid", { name: peer?.name, reason });
  }

  #linkClosed(address: string | undefined, connected: boolean): void {
    if (address === undefined || this.#byAddress.has(address)) return;
    const target = this.#targets.get(address);
    if (target === undefined) {
      if (this.#maintained.has(address)) this.#dialIfIdle(address);
      return;
    }
    if (connected) this.#redial(address, target);
    else this.#dialFailed(address, target);
  }

  #hello(peer: Contact | undefined): Hello {
    const known = this.#listener.contactsFor(peer);
    return { kind: "hello", protocol: PROTOCOL_VERSION, ...this.#own, known };
  }

  #handleHello(hello: Hello, link: Link, dialled: boolean): Peer | undefined {
    if (!this.#accepts(hello)) {
      link.close();
      return undefined;
    }
    const contact = contactOf(hello);
    const { name, incarnation, address } = contact;
    const peer = { ...contact, link, dialled };
    if (!dialled) link.send(this.#hello(contact));
    const existing = this.#peers.get(name);
    if (existing !== undefined && existing.incarnation === incarnation) {
      const dialler = dialled ? this.#own.address : address;
      const other = dialled ? address : this.#own.address;
      if (dialler > other) {
        link.close();
        return undefined;
      }
    }
    if (existing !== undefined) this.#replace(existing);
    this.#peers.set(name, peer);
    this.#byAddress.set(address, peer);
    this.#linked(address);
    this.#listener.joined(peer, hello.known);
    this.#log.event("peer_joined", { name, address, peers: this.#peers.size });
    return peer;
  }

  #linked(address: string): void {
    this.#candidates.delete(address);
    const target = this.#targets.get(address);
    if (target === undefined) return;
    target.dials = 0;
    this.#dropUnneeded(address);
  }

  #accepts({ name, protocol, address }: Hello): boolean {
    if (name === this.#own.name) return false;
    if (protocol === PROTOCOL_VERSION) return this.#peers.size < MAX_LINKS;
    if (!this.#mismatched.has(address)) {
      if (this.#mismatched.size >= MAX_MISMATCHED) this.#mismatched.clear();
      this.#mismatched.add(address);
      this.#log.event("peer_version_mismatch", { name, address, protocol });
    }
    return false;
  }

  #replace(existing: Peer): void {
    this.#remove(existing);
    this.#listener.left(existing);
    existing.link.close();
  }

  #remove(peer: Peer): void {
    this.#peers.delete(peer.name);
    if (this.#byAddress.get(peer.address) === peer) {
      this.#byAddress.delete(peer.address);
    }
  }

  #linkLost(peer: Peer): void {
    if (this.#peers.get(peer.name) !== peer) return;
    this.#remove(peer);
    this.#listener.left(peer);
    this.#log.event("peer_lost", {
      name: peer.name,
      address: peer.address,
      peers: this.#peers.size,
    });
  }
}
