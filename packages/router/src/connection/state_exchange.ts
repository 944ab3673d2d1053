/**
 * What daemons tell each other: versions, and the load they put on runners.
 *
 * @module
 */
import { contactOf } from "../process/contact.ts";
import type { Contact } from "../process/contact.ts";
import { ContactBook } from "../process/contact_book.ts";
import type { ContactUpdates } from "../process/contact_book.ts";
import type { EventLog } from "../process/event_log.ts";
import { knownToAll, toldTo } from "../process/known_daemons.ts";
import type { FleetView } from "../process/fleet_view.ts";
import { MembershipCounts } from "./membership_counts.ts";
import { UpdateBroadcaster } from "./update_broadcaster.ts";
import { Overlay } from "./overlay.ts";
import type { Role } from "./overlay.ts";
import { SILENCE_MS } from "./peer_link.ts";
import type { MemberCounts, PeerMessage, StateUpdate } from "./peer_message.ts";
import type { Peer, PeerListener, Peers } from "./peers.ts";
import { BroadcastTimer } from "./broadcast_timer.ts";
import { broadcastIntervalMs, propagationMs } from "./broadcast_interval.ts";
import type { IntervalInputs } from "./broadcast_interval.ts";
import { watches } from "../process/watch_plan.ts";
import { applyUpdate } from "./apply_update.ts";
import type { SharedLeaderState, SharedRunnerState } from "./apply_update.ts";
import { VersionExchange } from "./version_exchange.ts";
import type { VersionedState } from "./version_exchange.ts";

/** Longest time without a state, so that silence tells a lost peer. */
const HEARTBEAT_MS = 400;
/**
 * Milliseconds between two looks while nothing changes here: half a heartbeat,
 * so that none is more than half of one late.
 */
const REST_MS = HEARTBEAT_MS / 2;
/** The same as {@linkcode HEARTBEAT_MS} on links that carry versions only. */
const SPARE_HEARTBEAT_MS = 4_000;
/** Silence after which such a link is closed, in ms: two heartbeats and a half. */
const SPARE_SILENCE_MS = 10_000;
/**
 * Contacts that a daemon keeps: eight of each of six failure domains, enough to
 * choose relays from, and all of a fleet in which everybody tells everybody.
 */
const MAX_CONTACTS = 48;

/** What is shared, and who takes what peers give. */
export interface SharedState
  extends VersionedState, SharedRunnerState, SharedLeaderState {}

/** Whom a daemon shares with. */
export interface StateExchangeOptions {
  readonly own: Contact;
  readonly peers: () => Peers;
  readonly log: EventLog;
  /** Daemons from which on loads go through relays. */
  readonly relaysFrom: number;
  /** Bytes a second that one neighbour is told, on average, through relays. */
  readonly controlBytesPerS: number;
  /** Called when a peer has something newer, which it is asked for. */
  readonly offered: () => void;
}

/**
 * Tells peers what changed, and takes what they tell.
 *
 * Every daemon chooses runners by itself; without this it sees only its own
 * part of their load, and several choose the same runner at the same time.
 * Versions ride on every state, so a change that one daemon knows reaches the
 * others also while the store turns them away.
 *
 * In a small fleet each daemon tells all others what it has at each runner. In
 * a large one it tells its neighbours in a tree the sum of what it has and what
 * its other neighbours told it, so that what it sends and hears follows the
 * number of runners and not that of daemons.
 */
export class StateExchange implements PeerListener {
  readonly #own: Contact;
  readonly #known: SharedState;
  readonly #peers: () => Peers;
  readonly #book: ContactBook;
  readonly #counts = new MembershipCounts();
  readonly #overlay: Overlay;
  readonly #versions: VersionExchange;
  readonly #broadcaster: UpdateBroadcaster;
  readonly #timer = new BroadcastTimer({
    intervalMs: () => broadcastIntervalMs(this.#moment),
    restMs: REST_MS,
  }, () => this.#tick());
  #sentAt = -Infinity;
  #sentSpareAt = -Infinity;
  #countsChanged = false;

  constructor(known: SharedState, options: StateExchangeOptions) {
    const { own, peers, log, relaysFrom, controlBytesPerS } = options;
    this.#own = own;
    this.#known = known;
    this.#peers = peers;
    this.#book = new ContactBook(own, Math.max(MAX_CONTACTS, 2 * relaysFrom));
    this.#overlay = new Overlay({
      own,
      book: this.#book,
      log,
      relaysFrom,
      get peers() {
        return peers();
      },
      members: () => this.#counts.recent(performance.now()),
      roleChanged: (peer, before) => this.#roleChanged(peer, before),
    });
    this.#versions = new VersionExchange(known, options.offered);
    this.#broadcaster = new UpdateBroadcaster({
      loads: known.loads,
      prefixes: known.prefixes,
      crashes: known.crashes,
      limits: known.limits,
      time: known.time,
      usage: known.usage,
      lease: known.lease,
      book: this.#book,
      contactsFor: (peer) => this.knownFor(peer),
      counts: this.#counts,
      overlay: this.#overlay,
      peers,
      versions: () => this.#versions.own,
      controlBytesPerS,
    });
  }

  start(): void {
    this.#known.loads.onChange(() => this.wake());
    this.#known.prefixes.onUpdate(() => this.wake());
    this.#known.crashes.onUpdate(() => this.wake());
    this.#known.limits.onUpdate(() => this.wake());
    this.#known.directory.onChange(() => this.wake());
    this.#timer.start();
  }

  stop(): void {
    this.#timer.stop();
  }

  /** Daemons of the fleet: the most that were heard of lately. */
  get fleetSize(): number {
    const { fleet } = this.#counts.recent(performance.now());
    return Math.max(fleet, this.#book.size + 1);
  }

  /** Whether all daemons are heard of that there were lately. */
  get seesWholeFleet(): boolean {
    const { fleet } = this.#counts.sumBy(() => true);
    return fleet >= this.#counts.recent(performance.now()).fleet;
  }

  /** Steady milliseconds at which a peer gave something last. */
  get givenAt(): number {
    return this.#versions.givenAt;
  }

  /** Daemons that are taken to live, as far as known, without this one. */
  get reachable(): readonly Contact[] {
    if (!this.#overlay.relayed) return this.#peers().alive;
    return this.#overlay.present(performance.now());
  }

  /**
   * Daemons among which what is scarce is divided: all of a small fleet, and of a
   * large one the first of each failure domain, which all others know.
   */
  get sharers(): FleetView {
    const { name: own } = this.#own;
    const { fleetSize } = this;
    const all = [this.#own, ...this.reachable];
    const known = this.#overlay.relayed ? knownToAll(all) : all;
    return { own, fleetSize, names: known.map(({ name }) => name) };
  }

  /**
   * Whether this daemon hears of all others what a leader has to know: every one
   * of a small fleet, the heads of a large one.
   */
  get isCentral(): boolean {
    if (this.#overlay.relayed) return this.#overlay.isHead;
    return watches(this.#own, [this.#own, ...this.reachable]);
  }

  /** Daemons that are known by address, without this one. */
  known(): readonly Contact[] {
    return this.#book.all();
  }

  /** Daemons that a peer is told of when a link is up: all of a small fleet. */
  knownFor(
    peer: Pick<Contact, "failureDomain"> | undefined,
  ): readonly Contact[] {
    const known = this.#book.all();
    return this.#overlay.relayed ? toldTo(peer?.failureDomain, known) : known;
  }

  /** Tells soon what has changed. */
  wake(): void {
    this.#timer.wake();
  }

  joined(peer: Peer, known: readonly Contact[]): void {
    this.#book.addReachable(contactOf(peer));
    for (const each of known) this.#book.add(each, performance.now());
    this.#overlay.joined(peer);
    this.#allowSilence();
    peer.link.send(this.#broadcaster.snapshotFor(peer));
    this.wake();
  }

  left(peer: Peer): void {
    this.#overlay.left(peer);
    this.#forget(peer);
    this.wake();
  }

  unreachable(address: string): void {
    this.#overlay.unreachable(address);
    this.wake();
  }

  received(peer: Peer, message: PeerMessage): void {
    switch (message.kind) {
      case "hello":
        return;
      case "subscribe":
        this.#overlay.subscribed(peer, message.scope);
        return this.wake();
      case "unneeded":
        return this.#overlay.unneeded(peer);
      case "state":
        return this.#takeState(peer, message);
      case "want":
        return this.#versions.give(peer, message);
      case "give":
        return this.#versions.take(peer, message);
    }
  }

  #takeState(peer: Peer, state: StateUpdate): void {
    this.#takeContacts(state);
    const role = this.#overlay.role(peer.name);
    const { relayed } = this.#overlay;
    if (role !== undefined || !relayed) {
      this.#takeMembers(peer, state.members);
      const told = applyUpdate(this.#known, peer.name, state);
      if (this.#broadcaster.relay(peer, told)) this.wake();
    }
    const mayGiveParts = !relayed || role === "parent" || role === "head";
    this.#versions.compare(peer, state, { mayGiveParts });
  }

  #takeContacts({ contacts, gone }: ContactUpdates): void {
    const now = performance.now();
    let changed = false;
    for (const each of contacts) changed = this.#book.add(each, now) || changed;
    for (const each of gone) {
      // What others cannot reach may well be reached from here.
      const linked = this.#peers().of(each.name);
      if (linked?.incarnation === each.incarnation) continue;
      changed = this.#book.remove(each, now) || changed;
    }
    if (!changed) return;
    this.#overlay.changed();
    this.wake();
  }

  #takeMembers(peer: Peer, { fleet, domain }: MemberCounts): void {
    const near = peer.failureDomain === this.#own.failureDomain;
    const told = { fleet, domain: near ? domain : 0 };
    if (!this.#counts.toldBy(peer.name, told)) return;
    this.#overlay.changed();
    if (!this.#overlay.relayed) return;
    this.#countsChanged = true;
    this.wake();
  }

  #roleChanged(peer: Peer, before: Role | undefined): void {
    this.#forget(peer, before);
    this.#allowSilence();
    const up = this.#peers().of(peer.name) === peer;
    if (up) peer.link.send(this.#broadcaster.snapshotFor(peer));
    this.wake();
  }

  /** Forgets what a neighbour told, and has others forget it. */
  #forget(peer: Peer, role?: Role): void {
    const changed = this.#known.loads.removeNeighbour(peer.name);
    this.#known.time.forget(peer.name);
    this.#counts.forget(peer.name);
    this.#countsChanged ||= this.#overlay.relayed;
    this.#broadcaster.retract(changed, role);
  }

  /** Milliseconds in which all daemons know of a request that waits here. */
  get propagationMs(): number {
    return propagationMs(this.#moment);
  }

  get #moment(): IntervalInputs {
    return {
      peers: this.#peers().count,
      relayed: this.#overlay.relayed,
      domainSize: this.#counts.recent(performance.now()).domain,
      newer: this.#versions.news,
      waits: this.#broadcaster.urgent || this.#known.loads.hasWaiting,
    };
  }

  #tick(): void {
    const now = performance.now();
    this.#overlay.settle(now);
    this.#broadcaster.collect();
    const due = this.#countsChanged || !this.#broadcaster.empty ||
      now - this.#sentAt >= HEARTBEAT_MS;
    if (due) {
      this.#sentAt = now;
      this.#countsChanged = false;
      this.#broadcaster.broadcast(now);
    }
    this.#tellVersions(now);
    if (!this.#broadcaster.empty) this.wake();
  }

  /**
   * Tells peers which versions there are: those that may lack them, and now and
   * then those that are told nothing else.
   */
  #tellVersions(now: number): void {
    const { configuration, runners } = this.#versions.news;
    const newer = configuration || runners;
    const due = now - this.#sentSpareAt >= SPARE_HEARTBEAT_MS;
    if (!newer && !due) return;
    this.#versions.markTold();
    if (due) this.#sentSpareAt = now;
    const told = this.#peers().alive.filter((peer) =>
      (due && this.#overlay.isSpare(peer)) ||
      (newer && this.#versions.isLackedBy(peer))
    );
    for (const peer of told) {
      peer.link.send(this.#broadcaster.versionsFor(peer));
    }
  }

  #allowSilence(): void {
    for (const peer of this.#peers().alive) {
      const silence = this.#overlay.isSpare(peer)
        ? SPARE_SILENCE_MS
        : SILENCE_MS;
      peer.link.allowSilence(silence);
    }
  }
}
