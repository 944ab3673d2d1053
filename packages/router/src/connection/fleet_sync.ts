/**
 * Keeps a daemon in sync with the fleet and the store.
 *
 * @module
 */
import type { DataAges } from "../process/data_ages.ts";
import { Registration } from "../process/daemon_registry.ts";
import type { DaemonRegistry } from "../process/daemon_registry.ts";
import { ranksBefore } from "../process/contact.ts";
import type { Contact } from "../process/contact.ts";
import type { EventLog } from "../process/event_log.ts";
import type { Feed } from "../process/feed.ts";
import type { FleetView } from "../process/fleet_view.ts";
import { pause } from "../process/pause.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { ListenAddress } from "../process/settings.ts";
import { StartGate } from "../process/start_gate.ts";
import { createConfirmed } from "../process/store_confirmations.ts";
import type { Confirmed } from "../process/store_confirmations.ts";
import { epochOf } from "../process/store_revision.ts";
import type { VersionStore } from "../process/version_record.ts";
import type {
  PossibleOrigin,
  VersionConfirmation,
} from "../process/confirmed_versions.ts";
import { isWatcher } from "../process/watch_plan.ts";
import type { Configuration } from "../version/configuration.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { Peers } from "./peers.ts";
import type { Peer } from "./peers.ts";
import { StateExchange } from "./state_exchange.ts";
import type { SharedState } from "./state_exchange.ts";
import { StoreFollowers } from "./store_followers.ts";
import { VersionSync } from "./version_sync.ts";

/**
 * Number of daemons that read the store at their start on behalf of the others.
 */
const INITIAL_READERS = 2;

/**
 * Maximum time in ms for sending the last usage counts; the process exits 300 ms
 * before it is killed.
 */
const LEAVE_MS = 200;
/** Interval in ms between two checks whether they have been sent. */
const LEAVE_CHECK_MS = 5;

/** The contents of the platform's store. */
export interface SharedStore {
  readonly configurations: Feed<Configuration>;
  readonly runners: Feed<Runner>;
  readonly daemons: DaemonRegistry;
  readonly versions: VersionStore;
}

/** Options of a {@linkcode FleetSync}. */
export interface FleetSyncOptions {
  readonly own: Contact;
  readonly store: SharedStore;
  readonly network: PeerNetwork;
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "dependency">;
  /** Fleet size from which loads go through relays (see link_plan.ts). */
  readonly relaysFrom: number;
  /**
   * Average bytes per second sent to one neighbour where loads go through
   * relays.
   */
  readonly controlBytesPerS: number;
  /** Time in ms for which streams may be resumed. */
  readonly retentionMs: () => number;
  /** In [0, 1). */
  readonly random: () => number;
}

/**
 * Synchronizes configurations, runners and their loads with neighbours and the
 * store.
 *
 * A daemon starts as follows. It opens its ports as soon as they are free, and dials
 * the addresses in its settings. It waits a moment for a neighbour to offer newer data, then reads
 * the store. Later some daemons register in the store, where others discover
 * them, and some watch the store for all.
 */
export class FleetSync {
  readonly #own: Contact;
  readonly #state: Omit<SharedState, "confirmed">;
  readonly #confirmed: Confirmed;
  readonly #gate = new StartGate();
  readonly #peers: Peers;
  readonly #exchange: StateExchange;
  readonly #followers: StoreFollowers;
  readonly #versions: VersionSync;
  readonly #registration: Registration;
  /** Addresses in the settings at which other daemons may be reached. */
  #seeds: readonly string[] = [];

  constructor(
    state: Omit<SharedState, "confirmed">,
    options: FleetSyncOptions,
  ) {
    const { own, store, network, log, metrics } = options;
    this.#own = own;
    this.#state = state;
    const confirmed = createConfirmed(own.incarnation, performance.now());
    this.#confirmed = confirmed;
    this.#exchange = new StateExchange({ ...state, confirmed }, {
      own,
      log,
      peers: () => this.#peers,
      relaysFrom: options.relaysFrom,
      controlBytesPerS: options.controlBytesPerS,
      storeLost: () => this.#followers.storeLost,
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
    this.#versions = new VersionSync({
      ...store,
      directory: state.directory,
      configuration: () => state.configuration(),
      log,
      retentionMs: options.retentionMs,
      agesMs: () => {
        const { configurationMs, runnersMs } = this.ages;
        return [configurationMs, runnersMs];
      },
      fleetSize: () => this.fleetSize,
      isWatcher: () => isWatcher(own, [own, ...this.reachable]),
      isAlone: () => this.#peers.count === 0,
    });
    this.#followers = new StoreFollowers({
      own,
      log,
      metrics,
      directory: state.directory,
      confirmed,
      maxAgeMs: () => this.#exchange.maxAgeMs,
      linkedDaemons: () => this.#exchange.linkedDaemons,
      nextTick: () => this.#exchange.nextTick(),
      storeStatusChanged: () => this.#exchange.sendStoreStatus(),
      peers: () => this.reachable,
      unableToWatch: () => this.#exchange.unableToWatch,
      random: options.random,
      configured: () => state.configuration() !== undefined,
      lastResponseAt: () => this.#exchange.lastResponseAt,
      applyConfiguration: (configuration) =>
        state.applyConfiguration(configuration, "store"),
    }, {
      configurations: this.#versions.configurations,
      runners: this.#versions.runners,
    });
    this.#registration = new Registration(this.#versions.daemons, {
      own,
      log,
      context: {
        shouldRegister: () => this.#shouldRegister(),
        isAlone: () => this.#peers.count === 0,
        isKnown: (address) =>
          this.#exchange.contacts().some((contact) =>
            contact.address === address
          ),
        storeEpoch: () => epochOf(state.directory.revision),
        addressesFound: (addresses) =>
          this.#peers.discover([...this.#seeds, ...addresses]),
      },
    });
    state.directory.onChange(() => this.#openGateIfComplete());
  }

  /** The port on which links of other daemons are accepted; 0 before they are. */
  get port(): number {
    return this.#peers.port;
  }

  /** Number of daemons in the fleet: the largest recent count. */
  get fleetSize(): number {
    return this.#exchange.fleetSize;
  }

  /** Milliseconds until all daemons have received a change of this one. */
  get propagationMs(): number {
    return this.#exchange.propagationMs;
  }

  /** The daemons among which tasks and budgets of the fleet are divided. */
  get view(): FleetView {
    return this.#exchange.view;
  }

  /**
   * Whether this daemon may lead: it receives the updates that a leader needs. In a
   * small fleet, where all do, it also watches the store, or does so in place of
   * those that no longer get through.
   */
  get mayLead(): boolean {
    const alone = this.#peers.count === 0 && this.fleetSize > 1;
    if (alone || !this.#exchange.receivesFleetUpdates) return false;
    return this.#exchange.relayed ||
      isWatcher(this.#own, [this.#own, ...this.reachable]) ||
      this.#followers.replacesWatchers;
  }

  /** Whether loads go through relays. */
  get relayed(): boolean {
    return this.#exchange.relayed;
  }

  /** Number of daemons that neighbours account for, including this one. */
  get linkedDaemons(): number {
    return this.#exchange.linkedDaemons;
  }

  /** Share of the daemons recently in the fleet whose loads are received. */
  get heardShare(): number {
    return this.#exchange.heardShare;
  }

  /** Schedules sending a change of the leader's lease. */
  leaseChanged(): void {
    this.#exchange.wake();
  }

  /**
   * Milliseconds since the store last confirmed the list of runners, to this daemon
   * or to another; before that, since the start.
   */
  get runnersAgeMs(): number {
    return this.#confirmed.runners.ageMs(performance.now());
  }

  /** Returns the only version of a route's service; see {@linkcode VersionSync}. */
  confirmVersion(
    origin: PossibleOrigin,
    maxMs: number,
  ): Promise<VersionConfirmation> {
    return this.#versions.confirm(origin, maxMs);
  }

  /** How long ago the store and peers confirmed the data of this daemon. */
  get ages(): DataAges {
    const now = performance.now();
    const { heardAt } = this.#exchange;
    return {
      configurationMs: this.#confirmed.configuration.ageMs(now),
      runnersMs: this.#confirmed.runners.ageMs(now),
      heardMs: heardAt === -Infinity ? undefined : now - heardAt,
      behindMs: this.#exchange.behindMs,
      peers: this.#peers.count,
    };
  }

  /** Accepts links of other daemons as soon as the address is free. */
  open(address: ListenAddress): Promise<void> {
    return this.#peers.open(address);
  }

  /** @param seeds addresses at which other daemons may be reached. */
  start(seeds: readonly string[]): void {
    this.discover(seeds);
    this.#exchange.start();
    // A seed reads the store without delay, because others dial it first.
    if (seeds.includes(this.#own.address)) this.#gate.open();
    this.#followers.start(this.#gate.wait(() => !this.#readsForOthers()));
    this.#registration.start();
    this.#versions.start();
  }

  /** Replaces the seeds and dials them. */
  discover(seeds: readonly string[]): void {
    this.#seeds = seeds;
    this.#peers.discover(seeds);
  }

  /** Handles a change of the current configuration. */
  configurationChanged(): void {
    this.#versions.observe();
    this.#exchange.wake();
    this.#openGateIfComplete();
  }

  /** Stops at once. */
  stop(): void {
    this.#gate.open();
    this.#followers.stop();
    this.#exchange.stop();
    this.#peers.stop();
    this.#registration.stop();
    this.#versions.stop();
  }

  /**
   * Sends the last usage counts, and closes the links once they have arrived. Does
   * nothing where usage is not reported.
   */
  async leave(): Promise<void> {
    if (this.#state.usage === undefined) return;
    const end = performance.now() + LEAVE_MS;
    const waitUntil = async (condition: () => boolean) => {
      while (!condition() && performance.now() < end) {
        await pause(LEAVE_CHECK_MS);
      }
    };
    // The relay of this daemon may have just left, too.
    await waitUntil(() => this.#exchange.reachesLeader || this.fleetSize === 1);
    this.#exchange.sendLastUsage();
    this.#peers.leave();
    await waitUntil(() => this.#peers.count === 0);
  }

  /** Removes this daemon's registration from the store. */
  deregister(): Promise<void> {
    return this.#registration.deregister();
  }

  /** Other daemons that are presumed alive. */
  get reachable(): readonly Contact[] {
    return this.#exchange.reachable;
  }

  /**
   * Whether this daemon reads the store although a neighbour may deliver the
   * same data. It ranks itself among all contacts, because it has few of its
   * own failure domain while all daemons start.
   */
  #readsForOthers(): boolean {
    const contacts = this.#exchange.contacts();
    const before = contacts.filter((contact) =>
      ranksBefore(contact, this.#own)
    );
    return this.#peers.count === 0 || before.length < INITIAL_READERS;
  }

  /** Whether to register: others discover the daemons that watch the store. */
  #shouldRegister(): boolean {
    return this.#peers.count === 0 ||
      isWatcher(this.#own, [this.#own, ...this.reachable]);
  }

  #left(peer: Peer): void {
    this.#exchange.left(peer);
    if (this.#peers.count > 0) return;
    // Without peers, only the watches of this daemon detect changes.
    this.#followers.restartWatches();
  }

  /** Opens the gate once this daemon has a configuration and the runners. */
  #openGateIfComplete(): void {
    if (this.#state.configuration() === undefined) return;
    if (this.#state.directory.revision > 0) this.#gate.open();
  }
}
