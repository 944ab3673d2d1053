/**
 * All that a daemon has to do with other daemons and with the store.
 *
 * @module
 */
import { Registration } from "../process/daemon_registry.ts";
import type { DaemonRegistry } from "../process/daemon_registry.ts";
import { ranksBefore } from "../process/contact.ts";
import type { Contact } from "../process/contact.ts";
import type { EventLog } from "../process/event_log.ts";
import type { Feed } from "../process/feed.ts";
import type { FleetView } from "../process/fleet_view.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { ListenAddress } from "../process/settings.ts";
import { StartGate } from "../process/start_gate.ts";
import { isWatcher } from "../process/watch_plan.ts";
import type { Configuration } from "../version/configuration.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { Peers } from "./peers.ts";
import type { Peer } from "./peers.ts";
import { StateExchange } from "./state_exchange.ts";
import type { SharedState } from "./state_exchange.ts";
import { StoreFollowers } from "./store_followers.ts";

/** Daemons of all that are known which read the store at their start for others. */
const FIRST_READERS = 2;

/** What the platform's store holds. */
export interface SharedStore {
  readonly configurations: Feed<Configuration>;
  readonly runners: Feed<Runner>;
  readonly daemons: DaemonRegistry;
}

/** How a neighbourhood is made up. */
export interface FleetSyncOptions {
  readonly own: Contact;
  readonly store: SharedStore;
  readonly network: PeerNetwork;
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "dependency">;
  /** Daemons from which on loads go through relays. */
  readonly relaysFrom: number;
  /** Bytes a second that one neighbour is told, on average, through relays. */
  readonly controlBytesPerS: number;
  /** In [0, 1). */
  readonly random: () => number;
}

/**
 * Keeps a daemon's knowledge like that of the others: configurations, runners
 * and the load on them, from neighbours and from the store.
 *
 * From its start on: the ports are opened, the addresses in the settings are
 * dialled, a neighbour is given a moment to offer what it has, then the store is
 * read; after a while some daemons enter themselves there to be found, and some
 * watch it for all.
 */
export class FleetSync {
  readonly #own: Contact;
  readonly #known: SharedState;
  readonly #gate = new StartGate();
  readonly #peers: Peers;
  readonly #exchange: StateExchange;
  readonly #followers: StoreFollowers;
  readonly #registration: Registration;
  #seeds: readonly string[] = [];

  constructor(known: SharedState, options: FleetSyncOptions) {
    const { own, store, network, log, metrics } = options;
    this.#own = own;
    this.#known = known;
    this.#exchange = new StateExchange(known, {
      own,
      log,
      peers: () => this.#peers,
      relaysFrom: options.relaysFrom,
      controlBytesPerS: options.controlBytesPerS,
      onNewerVersion: () => this.#gate.recordOffer(),
    });
    this.#peers = new Peers(own, {
      network,
      log,
      listener: {
        contactsFor: (peer) => this.#exchange.contactsFor(peer),
        joined: (peer, contacts) => this.#exchange.joined(peer, contacts),
        left: (peer) => this.#left(peer),
        received: (peer, message) => this.#exchange.received(peer, message),
        unreachable: (address) => this.#exchange.unreachable(address),
      },
    });
    this.#followers = new StoreFollowers({
      own,
      log,
      metrics,
      directory: known.directory,
      peers: () => this.#reachable,
      random: options.random,
      configured: () => known.configuration() !== undefined,
      lastResponseAt: () => this.#exchange.lastResponseAt,
      adopt: (configuration) => known.adopt(configuration, "store"),
    }, store);
    this.#registration = new Registration(store.daemons, {
      own,
      log,
      host: {
        isContact: () => this.#isContact(),
        isAlone: () => this.#peers.count === 0,
        isKnown: (address) =>
          this.#exchange.contacts().some((each) => each.address === address),
        found: (addresses) =>
          this.#peers.discover([...this.#seeds, ...addresses]),
      },
    });
    known.directory.onChange(() => this.#openIfKnown());
  }

  /** The port that other daemons connect to. */
  get port(): number {
    return this.#peers.port;
  }

  /** Daemons of the fleet: the most that were heard of lately. */
  get fleetSize(): number {
    return this.#exchange.fleetSize;
  }

  /** Milliseconds in which all daemons know of a request that waits here. */
  get propagationMs(): number {
    return this.#exchange.propagationMs;
  }

  /** Daemons that divide what is to be done, or may be done, once for all. */
  get sharers(): FleetView {
    return this.#exchange.sharers;
  }

  /** Whether this daemon may lead: others tell it what a leader has to know. */
  get mayLead(): boolean {
    const alone = this.#peers.count === 0 && this.fleetSize > 1;
    return !alone && this.#exchange.receivesFleetUpdates;
  }

  /** Whether all daemons are heard of that there were lately. */
  get seesWholeFleet(): boolean {
    return this.#exchange.seesWholeFleet;
  }

  /** Others should hear of the leader's lease. */
  leaseChanged(): void {
    this.#exchange.wake();
  }

  /** Steady milliseconds at which the store last confirmed the runners. */
  get runnersConfirmedAt(): number {
    return this.#followers.runnersConfirmedAt;
  }

  /** Takes links of other daemons. */
  open(address: ListenAddress): Promise<void> {
    return this.#peers.open(address);
  }

  /** @param seeds addresses of daemons that may be there. */
  start(seeds: readonly string[]): void {
    this.discover(seeds);
    this.#exchange.start();
    // Others ask a seed first; it has something for them as soon as can be.
    if (seeds.includes(this.#own.address)) this.#gate.open();
    this.#followers.start(this.#gate.wait(() => !this.#readsForOthers()));
    this.#registration.start();
  }

  /** Dials further addresses of daemons that may be there. */
  discover(seeds: readonly string[]): void {
    this.#seeds = seeds;
    this.#peers.discover(seeds);
  }

  /** A configuration came in force. */
  configurationChanged(): void {
    this.#exchange.wake();
    this.#openIfKnown();
  }

  /** Ends at once. */
  stop(): void {
    this.#gate.open();
    this.#followers.stop();
    this.#exchange.stop();
    this.#peers.stop();
    this.#registration.stop();
  }

  /** Others need not look for this daemon any longer. */
  leave(): Promise<void> {
    return this.#registration.leave();
  }

  get #reachable(): readonly Contact[] {
    return this.#exchange.reachable;
  }

  /**
   * Whether this daemon reads the store though it may be given the same. While
   * all start, few others of its failure domain are known yet, so it is ranked
   * among all that are.
   */
  #readsForOthers(): boolean {
    const known = this.#exchange.contacts();
    const before = known.filter((each) => ranksBefore(each, this.#own));
    return this.#peers.count === 0 || before.length < FIRST_READERS;
  }

  /** The daemons that watch the store for their failure domain are found there. */
  #isContact(): boolean {
    return this.#peers.count === 0 ||
      isWatcher(this.#own, [this.#own, ...this.#reachable]);
  }

  #left(peer: Peer): void {
    this.#exchange.left(peer);
    if (this.#peers.count > 0) return;
    // Alone, the watches must find by themselves what peers would have told.
    this.#followers.restartWatches();
  }

  #openIfKnown(): void {
    if (this.#known.configuration() === undefined) return;
    if (this.#known.directory.revision > 0) this.#gate.open();
  }
}
