/**
 * The other daemons that this one has links to.
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
import type { LinkOpening, PeerNetwork } from "./peer_network.ts";

/** First pause before an address is dialled again, in ms; doubled each time. */
const FIRST_PAUSE_MS = 150;
const LONGEST_PAUSE_MS = 2_000;
/** Dials in a row without answer after which a sought address is given up. */
const MAX_SEEKS = 5;
/** Dials in a row without answer after which an address counts as unreachable. */
const UNREACHABLE_DIALS = 2;
/**
 * Links that a daemon has at most. A relay needs some thirty; beyond them, and
 * with room for a start of all, the descriptors are for callers and runners.
 */
const MAX_LINKS = 500;

/** Daemons of another version that are remembered, so that each is logged once. */
const MAX_FOREIGN = 1_000;

/** A daemon whose link is up. */
export interface Peer extends Contact {
  readonly link: Link;
  /** Whether this daemon dialled it. */
  readonly dialled: boolean;
}

/** Told of peers and their messages. */
export interface PeerListener {
  /** Names the daemons that a new peer is told of. */
  contactsFor(
    peer: Pick<Contact, "failureDomain"> | undefined,
  ): readonly Contact[];
  joined(peer: Peer, known: readonly Contact[]): void;
  left(peer: Peer): void;
  received(peer: Peer, message: PeerMessage): void;
  /** Nobody answers at an address, some times in a row. */
  unreachable(address: string): void;
}

interface Target {
  /** Dials in a row without answer. */
  dials: number;
  /** Whether a dial is on its way. */
  dialling: boolean;
  timer: NodeJS.Timeout | undefined;
}

/**
 * Keeps one link to each daemon that it is asked to, and takes links of others.
 *
 * Both sides may dial at once. Of two links between the same two lives of
 * daemons, the one that the lower address dialled stays; a new life of a
 * daemon replaces the link of the one before.
 */
export class Peers {
  readonly #own: Contact;
  readonly #network: PeerNetwork;
  readonly #listener: PeerListener;
  readonly #log: EventLog;
  readonly #peers = new Map<string, Peer>();
  readonly #byAddress = new Map<string, Peer>();
  readonly #targets = new Map<string, Target>();
  /** Addresses to keep a link to. */
  #wanted: ReadonlySet<string> = new Set();
  /** Addresses to dial until someone answers there. */
  readonly #sought = new Set<string>();
  /** Addresses of daemons of another version; one log line each. */
  readonly #foreign = new Set<string>();
  #stopped = false;

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

  /** The peer of that name, while its link is up. */
  get(name: string): Peer | undefined {
    return this.#peers.get(name);
  }

  /** How many links are up. */
  get count(): number {
    return this.#peers.size;
  }

  /** The port that it listens on. */
  get port(): number {
    return this.#network.port;
  }

  open(address: ListenAddress): Promise<void> {
    return this.#network.open(
      address,
      (opening) => this.#join(opening, undefined),
    );
  }

  /** Dials addresses, of whomever they are, until someone answers there. */
  discover(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address === this.#own.address) continue;
      this.#sought.add(address);
      this.#dialSoon(address);
    }
  }

  /** Keeps links to these addresses from now on, and dials no others again. */
  maintainLinks(addresses: ReadonlySet<string>): void {
    this.#wanted = addresses;
    for (const address of this.#targets.keys()) this.#dropUnneeded(address);
    for (const address of addresses) this.#dialSoon(address);
  }

  /** Closes all links. */
  stop(): void {
    this.#stopped = true;
    this.#network.close();
    for (const { timer } of this.#targets.values()) clearTimeout(timer);
    for (const { link } of this.#peers.values()) link.close();
  }

  #isNeeded(address: string): boolean {
    return this.#wanted.has(address) || this.#sought.has(address);
  }

  #dropUnneeded(address: string): void {
    const target = this.#targets.get(address);
    if (target === undefined || this.#isNeeded(address)) return;
    clearTimeout(target.timer);
    target.timer = undefined;
    if (!target.dialling) this.#targets.delete(address);
  }

  /** Dials at once, unless a link, a dial or a pause is there already. */
  #dialSoon(address: string): void {
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
      opened: (opening) => {
        target.dialling = false;
        this.#join(opening, address);
      },
      failed: () => {
        target.dialling = false;
        this.#unanswered(address, target);
      },
    });
  }

  #unanswered(address: string, target: Target): void {
    if (this.#stopped) return;
    target.dials += 1;
    if (target.dials >= MAX_SEEKS) this.#sought.delete(address);
    if (target.dials >= UNREACHABLE_DIALS) this.#listener.unreachable(address);
    this.#redial(address, target);
  }

  #redial(address: string, target: Target): void {
    this.#dropUnneeded(address);
    const idle = this.#stopped || !this.#targets.has(address);
    if (idle || target.timer !== undefined || this.#byAddress.has(address)) {
      return;
    }
    const pause = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** Math.min(target.dials, 8),
    );
    target.timer = setTimeout(() => {
      target.timer = undefined;
      const needed = this.#isNeeded(address) && !this.#byAddress.has(address);
      if (needed && !target.dialling) this.#dial(address, target);
    }, pause * (0.5 + Math.random()));
  }

  #join(opening: LinkOpening, dialledAddress: string | undefined): void {
    let peer: Peer | undefined;
    const link = opening({
      onMessage: (message) => {
        if (message.kind === "hello") {
          peer = this.#greeted(message, link, dialledAddress !== undefined);
          return;
        }
        if (peer !== undefined) this.#listener.received(peer, message);
      },
      onFault: (reason) => {
        this.#log.event("peer_message_bad", { name: peer?.name, reason });
      },
      onClose: () => {
        if (peer !== undefined) this.#lost(peer);
        this.#closed(dialledAddress ?? peer?.address, peer !== undefined);
      },
    });
    // The other side speaks first where it dialled, and is told what it can use.
    if (dialledAddress !== undefined) link.send(this.#hello(undefined));
  }

  #closed(address: string | undefined, greeted: boolean): void {
    if (address === undefined || this.#byAddress.has(address)) return;
    const target = this.#targets.get(address);
    if (target === undefined) {
      if (this.#wanted.has(address)) this.#dialSoon(address);
      return;
    }
    if (greeted) this.#redial(address, target);
    else this.#unanswered(address, target);
  }

  #hello(to: Contact | undefined): Hello {
    const known = this.#listener.contactsFor(to);
    return { kind: "hello", protocol: PROTOCOL_VERSION, ...this.#own, known };
  }

  #greeted(hello: Hello, link: Link, dialled: boolean): Peer | undefined {
    if (!this.#isWelcome(hello)) {
      link.close();
      return undefined;
    }
    const contact = contactOf(hello);
    const { name, incarnation, address } = contact;
    const peer = { ...contact, link, dialled };
    if (!dialled) link.send(this.#hello(contact));
    const before = this.#peers.get(name);
    if (before !== undefined && before.incarnation === incarnation) {
      const dialler = dialled ? this.#own.address : address;
      const other = dialled ? address : this.#own.address;
      if (dialler > other) {
        link.close();
        return undefined;
      }
    }
    if (before !== undefined) this.#replace(before);
    this.#peers.set(name, peer);
    this.#byAddress.set(address, peer);
    this.#answered(address);
    this.#listener.joined(peer, hello.known);
    this.#log.event("peer_joined", { name, address, peers: this.#peers.size });
    return peer;
  }

  #answered(address: string): void {
    this.#sought.delete(address);
    const target = this.#targets.get(address);
    if (target === undefined) return;
    target.dials = 0;
    this.#dropUnneeded(address);
  }

  #isWelcome({ name, protocol, address }: Hello): boolean {
    if (name === this.#own.name) return false;
    if (protocol === PROTOCOL_VERSION) return this.#peers.size < MAX_LINKS;
    if (!this.#foreign.has(address)) {
      if (this.#foreign.size >= MAX_FOREIGN) this.#foreign.clear();
      this.#foreign.add(address);
      this.#log.event("peer_version_other", { name, address, protocol });
    }
    return false;
  }

  #replace(before: Peer): void {
    this.#forget(before);
    this.#listener.left(before);
    before.link.close();
  }

  #forget(peer: Peer): void {
    this.#peers.delete(peer.name);
    if (this.#byAddress.get(peer.address) === peer) {
      this.#byAddress.delete(peer.address);
    }
  }

  #lost(peer: Peer): void {
    if (this.#peers.get(peer.name) !== peer) return;
    this.#forget(peer);
    this.#listener.left(peer);
    this.#log.event("peer_lost", {
      name: peer.name,
      address: peer.address,
      peers: this.#peers.size,
    });
  }
}
