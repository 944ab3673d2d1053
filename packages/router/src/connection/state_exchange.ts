/**
 * Exchanges versions and the state of runners with other daemons.
 *
 * @module
 */
import { contactOf } from "../process/contact.ts";
import type { Contact } from "../process/contact.ts";
import { ContactBook } from "../process/contact_book.ts";
import type { ContactUpdates } from "../process/contact_book.ts";
import type { EventLog } from "../process/event_log.ts";
import {
  contactsForAll,
  contactsForNewPeer,
} from "../process/contact_selection.ts";
import type { FleetView } from "../process/fleet_view.ts";
import { MembershipCounts } from "./membership_counts.ts";
import { UpdateBroadcaster } from "./update_broadcaster.ts";
import { Overlay } from "./overlay.ts";
import type { Role } from "./overlay.ts";
import { IDLE_TIMEOUT_MS } from "./peer_link.ts";
import type { MemberCounts, PeerMessage, StateUpdate } from "./peer_message.ts";
import type { Peer, PeerListener, Peers } from "./peers.ts";
import { BroadcastTimer } from "./broadcast_timer.ts";
import { broadcastIntervalMs, propagationMs } from "./broadcast_interval.ts";
import type { IntervalInputs } from "./broadcast_interval.ts";
import { applyUpdate } from "./apply_update.ts";
import type { SharedLeaderState, SharedRunnerState } from "./apply_update.ts";
import { VersionExchange } from "./version_exchange.ts";
import type { VersionedState } from "./version_exchange.ts";

/** Maximum ms between two updates, so that a silent peer can be detected. */
const HEARTBEAT_MS = 400;
/**
 * Timer interval while nothing changes: half a heartbeat, so that a heartbeat is
 * late by half of its interval at most.
 */
const IDLE_MS = HEARTBEAT_MS / 2;
/**
 * Age of the store's last confirmation from which a daemon takes its data for stale,
 * in ms. Six watchers whose watches end at random are confirmed more often in most
 * seconds; a change is in force everywhere within 5 s while any daemon is served.
 */
const MAX_AGE_MS = 4_000;
/** Time in which a confirmation passes all relays, in ms: four heartbeats. */
const MAX_RELAYING_MS = 4 * HEARTBEAT_MS;
/**
 * Time without received bytes after which a neighbour does not count as a watcher, in
 * ms: three heartbeats. A change must be in force within 2 s of its
 * acknowledgement, sooner than the link of a lost host closes.
 */
const SILENT_MS = 3 * HEARTBEAT_MS;
/** Heartbeat interval on links that carry versions only. */
const SPARE_HEARTBEAT_MS = 4_000;
/** Idle time-out of links that carry versions only: two and a half heartbeats. */
const SPARE_IDLE_TIMEOUT_MS = 10_000;
/**
 * Contacts that a daemon keeps: eight of each of six failure domains, enough to
 * choose relays from, and all of a fleet without relays.
 */
const MAX_CONTACTS = 48;

/** All state that daemons exchange. */
export interface SharedState
  extends VersionedState, SharedRunnerState, SharedLeaderState {}

/** The peers to exchange state with, and the bounds on it. */
export interface StateExchangeOptions {
  readonly own: Contact;
  readonly peers: () => Peers;
  readonly log: EventLog;
  /** Fleet size from which loads go through relays. */
  readonly relaysFrom: number;
  /**
   * Average bytes per second sent to one neighbour where loads go through
   * relays.
   */
  readonly controlBytesPerS: number;
  /** Whether the last calls of this daemon to the store have failed. */
  readonly storeLost: () => boolean;
  /** Called when newer data is requested from a peer. */
  readonly onNewerVersion: () => void;
}

/**
 * Sends state updates to peers and applies the updates of peers.
 *
 * Every daemon chooses runners by itself. If it knew only its own part of their
 * load, several daemons would choose the same runner at the same time. Each update
 * includes the sender's versions, so that a change also reaches daemons whose
 * calls the store rejects.
 *
 * Neighbours are the peers with which a daemon exchanges loads. In a small fleet
 * these are all others, and each daemon sends them its own load at each runner. In
 * a large one they are the peers with a role in the overlay: a parent, children or
 * heads. Each of them gets the sum of the daemon's own load and the loads received
 * from its other neighbours, so that traffic grows with the number of runners and
 * not with that of daemons.
 */
export class StateExchange implements PeerListener {
  readonly #own: Contact;
  readonly #state: SharedState;
  readonly #peers: () => Peers;
  readonly #book: ContactBook;
  readonly #counts = new MembershipCounts();
  readonly #overlay: Overlay;
  readonly #versions: VersionExchange;
  readonly #broadcaster: UpdateBroadcaster;
  readonly #timer = new BroadcastTimer({
    intervalMs: () => broadcastIntervalMs(this.#intervalInputs),
    idleMs: IDLE_MS,
    onDelay: (ms) => this.#state.paces.recordDelay(ms, performance.now()),
  }, () => this.#tick());
  /** Peers whose calls to the store fail. */
  readonly #withoutStore = new WeakSet<Peer>();
  #tickWaiters: (() => void)[] = [];
  #sentAt = -Infinity;
  #sentSpareAt = -Infinity;
  #countsChanged = false;
  /** Whether peers wait for the status of the store. */
  #storeStatusUnsent = false;

  constructor(shared: SharedState, options: StateExchangeOptions) {
    const { own, peers, log, relaysFrom, controlBytesPerS } = options;
    this.#own = own;
    this.#state = shared;
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
      members: () => this.#counts.recentMax(performance.now()),
      roleChanged: (peer, before) => this.#roleChanged(peer, before),
    });
    this.#versions = new VersionExchange(shared, options);
    this.#broadcaster = new UpdateBroadcaster({
      loads: shared.loads,
      prefixes: shared.prefixes,
      crashes: shared.crashes,
      limits: shared.limits,
      draining: shared.draining,
      paces: shared.paces,
      places: shared.places,
      origins: shared.origins,
      shares: shared.shares,
      time: shared.time,
      usage: shared.usage,
      lease: shared.lease,
      book: this.#book,
      contactsFor: (peer) => this.contactsFor(peer),
      counts: this.#counts,
      overlay: this.#overlay,
      peers,
      versions: () => this.#versions.own,
      confirmed: shared.confirmed,
      storeLost: options.storeLost,
      controlBytesPerS,
    });
  }

  start(): void {
    this.#state.loads.onChange(() => this.wake());
    this.#state.prefixes.onUpdate(() => this.wake());
    this.#state.crashes.onUpdate(() => this.wake());
    this.#state.limits.onUpdate(() => this.wake());
    this.#state.draining.onChange(() => this.wake());
    this.#state.places.onUpdate(() => this.wake());
    this.#state.origins.onUpdate(() => this.wake());
    this.#state.directory.onChange(() => this.wake());
    this.#timer.start();
  }

  stop(): void {
    this.#timer.stop();
  }

  /** Resolves at the next time at which this daemon may send, within 200 ms. */
  nextTick(): Promise<void> {
    return new Promise((resolve) => this.#tickWaiters.push(resolve));
  }

  /** Number of daemons in the fleet: the largest recent count. */
  get fleetSize(): number {
    const { fleet } = this.#counts.recentMax(performance.now());
    return Math.max(fleet, this.#book.size + 1);
  }

  /** Number of daemons that neighbours account for, including this one. */
  get linkedDaemons(): number {
    return this.#counts.sumFrom(() => true).fleet;
  }

  /**
   * Share of the daemons that were recently in the fleet for which neighbours
   * account.
   */
  get heardShare(): number {
    const { fleet } = this.#counts.sumFrom(() => true);
    return fleet / this.#counts.recentMax(performance.now()).fleet;
  }

  /** Time of a peer's last response to a `FetchRequest`, in monotonic ms. */
  get lastResponseAt(): number {
    return this.#versions.lastResponseAt;
  }

  /** Time at which a peer last sent its versions, in monotonic ms. */
  get heardAt(): number {
    return this.#versions.heardAt;
  }

  /** See {@linkcode VersionExchange.behindMs}. */
  get behindMs(): number | undefined {
    return this.#versions.behindMs;
  }

  /** Other daemons that are presumed alive. */
  get reachable(): readonly Contact[] {
    if (!this.#overlay.relayed) return this.#peers().connected;
    return this.#overlay.reachable(performance.now());
  }

  /**
   * Names of the neighbours that cannot watch the store: nothing was heard of them
   * for three heartbeats, or they sent that their calls fail.
   */
  get unableToWatch(): ReadonlySet<string> {
    const before = performance.now() - SILENT_MS;
    const unable = this.#peers().connected.filter((peer) =>
      this.#withoutStore.has(peer) ||
      (peer.link.receivedAt < before && !this.#overlay.isSpare(peer))
    );
    return new Set(unable.map(({ name }) => name));
  }

  /**
   * The daemons among which scarce resources are divided: all of a small fleet; in
   * a large one the first ones by rank of each failure domain, whose contacts all
   * daemons have.
   */
  get view(): FleetView {
    const { name: own } = this.#own;
    const { fleetSize } = this;
    const all = [this.#own, ...this.reachable];
    const shared = this.#overlay.relayed ? contactsForAll(all) : all;
    return { own, fleetSize, names: shared.map(({ name }) => name) };
  }

  /** Whether loads go through relays. */
  get relayed(): boolean {
    return this.#overlay.relayed;
  }

  /**
   * Whether this daemon receives the updates of all others. In a large fleet only the
   * heads receive them; in a small one all daemons do.
   */
  get receivesFleetUpdates(): boolean {
    return !this.#overlay.relayed || this.#overlay.isHead;
  }

  /**
   * Age from which data that the store has confirmed is stale, in ms. In a large
   * fleet confirmations pass relays, each of which holds them for up to a heartbeat.
   */
  get maxAgeMs(): number {
    const { relayed, isHead } = this.#overlay;
    return relayed && !isHead ? MAX_AGE_MS + MAX_RELAYING_MS : MAX_AGE_MS;
  }

  /** Contacts of all other daemons. */
  contacts(): readonly Contact[] {
    return this.#book.all();
  }

  /** Contacts to send to a peer whose link is up: in a small fleet, all. */
  contactsFor(
    peer: Pick<Contact, "failureDomain"> | undefined,
  ): readonly Contact[] {
    const contacts = this.#book.all();
    return this.#overlay.relayed
      ? contactsForNewPeer(peer?.failureDomain, contacts)
      : contacts;
  }

  /** Whether a daemon is linked that may lead, or that relays to one. */
  get reachesLeader(): boolean {
    return this.#broadcaster.reachesLeader;
  }

  /** Sends the last usage counts, and stops. */
  sendLastUsage(): void {
    this.stop();
    this.#state.usage?.leave();
    this.#broadcaster.collect();
    this.#broadcaster.broadcastUsage(performance.now());
  }

  /**
   * Schedules sending whether the store serves this daemon, and when it last
   * confirmed the data: other daemons may be about to read it.
   */
  sendStoreStatus(): void {
    this.#storeStatusUnsent = true;
    this.wake();
  }

  /** Schedules the sending of changes. */
  wake(): void {
    this.#timer.wake();
  }

  joined(peer: Peer, contacts: readonly Contact[]): void {
    this.#book.addReachable(contactOf(peer));
    for (const contact of contacts) this.#book.add(contact, performance.now());
    this.#overlay.joined(peer);
    this.#setIdleTimeouts();
    this.#sendSnapshot(peer);
    this.wake();
  }

  left(peer: Peer): void {
    this.#overlay.left(peer);
    this.#removeReports(peer);
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
        this.#overlay.handleSubscribe(peer, message.scope);
        return this.wake();
      case "unneeded":
        return this.#overlay.handleUnneeded(peer);
      case "state":
        return this.#applyUpdate(peer, message);
      case "want":
        return this.#versions.respond(peer, message);
      case "give":
        return this.#versions.applyResponse(peer, message);
    }
  }

  #applyUpdate(peer: Peer, update: StateUpdate): void {
    this.#applyContacts(update);
    const role = this.#overlay.role(peer.name);
    const { relayed } = this.#overlay;
    if (role !== undefined || !relayed) {
      if (update.members !== undefined) {
        this.#applyMembers(peer, update.members);
      }
      const received = applyUpdate(this.#state, peer.name, update);
      if (this.#broadcaster.relay(peer, received)) this.wake();
      const reordered = received.shares.length > 0 &&
        this.#state.loads.hasWaiting;
      if (reordered) this.wake();
    }
    this.#versions.recordConfirmed(update, update.confirmed);
    if (update.storeLost) this.#withoutStore.add(peer);
    else this.#withoutStore.delete(peer);
    const hasParts = !relayed || role === "parent" || role === "head";
    this.#versions.requestNewer(peer, update, { hasParts });
  }

  #applyContacts({ contacts, gone }: ContactUpdates): void {
    const now = performance.now();
    let changed = false;
    for (const contact of contacts) {
      changed = this.#book.add(contact, now) || changed;
    }
    for (const contact of gone) {
      // A daemon that others cannot reach may still be linked to this one.
      const linked = this.#peers().get(contact.name);
      if (linked?.incarnation === contact.incarnation) continue;
      changed = this.#book.remove(contact, now) || changed;
    }
    if (!changed) return;
    this.#overlay.invalidate();
    this.wake();
  }

  #applyMembers(peer: Peer, { fleet, domain }: MemberCounts): void {
    const sameDomain = peer.failureDomain === this.#own.failureDomain;
    const counts = { fleet, domain: sameDomain ? domain : 0 };
    if (!this.#counts.setNeighbourCounts(peer.name, counts)) return;
    this.#overlay.invalidate();
    if (!this.#overlay.relayed) return;
    this.#countsChanged = true;
    this.wake();
  }

  #roleChanged(peer: Peer, before: Role | undefined): void {
    this.#removeReports(peer, before);
    this.#setIdleTimeouts();
    const up = this.#peers().get(peer.name) === peer;
    if (up) this.#sendSnapshot(peer);
    this.wake();
  }

  #sendSnapshot(peer: Peer): void {
    peer.link.send(this.#broadcaster.snapshotFor(peer));
    for (const update of this.#broadcaster.placesFor(peer)) {
      peer.link.send(update);
    }
  }

  /**
   * Removes the loads and counts that a neighbour reported, and schedules updates
   * by which other daemons remove them.
   */
  #removeReports(peer: Peer, role?: Role): void {
    const changed = this.#state.loads.removeNeighbour(peer.name);
    this.#state.shares.removeNeighbour(peer.name);
    this.#state.time.forget(peer.name);
    this.#state.paces.removeNeighbour(peer.name);
    this.#counts.removeNeighbour(peer.name);
    this.#countsChanged ||= this.#overlay.relayed;
    this.#broadcaster.retract(peer, changed, role);
  }

  /** Milliseconds until all daemons have received a change of this one. */
  get propagationMs(): number {
    return propagationMs(this.#intervalInputs);
  }

  get #intervalInputs(): IntervalInputs {
    return {
      peers: this.#peers().count,
      relayed: this.#overlay.relayed,
      domainSize: this.#counts.recentMax(performance.now()).domain,
      unsent: this.#versions.unsent,
      requestsWaiting: this.#broadcaster.urgent ||
        this.#state.loads.hasWaiting || this.#state.loads.hasUrgentChange,
    };
  }

  #tick(): void {
    const now = performance.now();
    this.#overlay.reconcile(now);
    this.#broadcaster.collect();
    const due = this.#countsChanged || this.#storeStatusUnsent ||
      !this.#broadcaster.empty || now - this.#sentAt >= HEARTBEAT_MS;
    if (due) {
      this.#sentAt = now;
      this.#countsChanged = false;
      this.#storeStatusUnsent = false;
      this.#broadcaster.broadcast(now);
    } else if (this.#broadcaster.usageDue) {
      this.#broadcaster.broadcastUsage(now);
    }
    this.#sendVersions(now);
    if (!this.#broadcaster.empty) this.wake();
    const waiters = this.#tickWaiters;
    this.#tickWaiters = [];
    for (const resolve of waiters) resolve();
  }

  /**
   * Sends versions to peers that may lack them, and as a heartbeat on links that
   * carry versions only.
   */
  #sendVersions(now: number): void {
    const { configuration, runners } = this.#versions.unsent;
    const newer = configuration || runners;
    const due = now - this.#sentSpareAt >= SPARE_HEARTBEAT_MS;
    if (!newer && !due) return;
    this.#versions.markSent();
    if (due) this.#sentSpareAt = now;
    const receivers = this.#peers().connected.filter((peer) =>
      (due && this.#overlay.isSpare(peer)) ||
      (newer && this.#versions.mayLack(peer))
    );
    for (const peer of receivers) {
      peer.link.send(this.#broadcaster.versionsFor(peer));
    }
  }

  #setIdleTimeouts(): void {
    for (const peer of this.#peers().connected) {
      const timeoutMs = this.#overlay.isSpare(peer)
        ? SPARE_IDLE_TIMEOUT_MS
        : IDLE_TIMEOUT_MS;
      peer.link.setIdleTimeout(timeoutMs);
    }
  }
}
