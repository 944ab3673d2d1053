/**
 * Simulates a fleet: many daemons in one process, with a fake network and store.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { decodeItem } from "@umbermast/coordination/codec";
import { LENGTH_BYTES } from "@umbermast/coordination/frame_bytes";
import { FleetSync } from "../src/connection/fleet_sync.ts";
import type { SharedStore } from "../src/connection/fleet_sync.ts";
import { unpackMessage } from "../src/connection/peer_encoding.ts";
import { encodeMessage } from "../src/connection/peer_link.ts";
import type { Link, LinkEvents } from "../src/connection/peer_link.ts";
import type { PeerMessage } from "../src/connection/peer_message.ts";
import type {
  LinkFactory,
  PeerNetwork,
} from "../src/connection/peer_network.ts";
import type { Contact } from "../src/process/contact.ts";
import { CrashRecord } from "../src/process/crash_record.ts";
import { RunnerPaces } from "../src/process/runner_paces.ts";
import { DrainingRunners } from "../src/process/draining_runners.ts";
import { FeedError } from "../src/process/feed.ts";
import type { Changes, Feed, Listing } from "../src/process/feed.ts";
import { FleetTime } from "../src/process/fleet_time.ts";
import type { HostClocks } from "../src/process/fleet_time.ts";
import { Leader } from "../src/process/leader.ts";
import { LeaderLease } from "../src/process/leader_lease.ts";
import type { LeaderStore, UsageReport } from "../src/process/leader_record.ts";
import type {
  CallOutcome,
  Fence,
  PlatformApi,
  PlatformCall,
} from "../src/process/platform_api.ts";
import type { Fields } from "../src/process/log_line.ts";
import { PrefixIndex } from "../src/process/prefix_index.ts";
import { RETENTION_MS } from "../src/process/stream_origins.ts";
import type { StreamOrigins } from "../src/process/stream_origins.ts";
import { ReturnPlaces } from "../src/process/return_places.ts";
import type { Runner } from "../src/process/runner.ts";
import { RunnerDirectory } from "../src/process/runner_directory.ts";
import { RunnerLimits } from "../src/process/runner_limits.ts";
import { RunnerLoads } from "../src/process/runner_loads.ts";
import type { PlacedRequest } from "../src/process/runner_load.ts";
import { epochOf, storeRevision } from "../src/process/store_revision.ts";
import type { VersionRecord } from "../src/process/version_record.ts";
import { UsageMeter } from "../src/process/usage_meter.ts";
import { WorkspaceShares } from "../src/process/workspace_shares.ts";
import type { Configuration } from "../src/version/configuration.ts";
import type { TestContext } from "node:test";
import { FakeClock } from "./fake_clock.ts";
import {
  MemoryLeaderStore,
  MemoryVersionStore,
  publishedOrigins,
  testConfiguration,
} from "./fixtures.ts";

/** Network latency between daemons, one way, in ms. */
const LATENCY_MS = 1;
/** Time until opening a link to a host without power fails, in ms. */
const DIAL_TIMEOUT_MS = 250;
/** Response time of the store and of the platform's API, in ms. */
const RESPONSE_MS = 4;
/** Bytes that a link of 1 Mbit/s carries in a millisecond. */
const BYTES_PER_MBIT_MS = 125;
/** Time within which all daemons of a fleet start, in ms. */
const START_SPREAD_MS = 300;
/** Default number of runners in a fleet. */
const RUNNERS = 20;
/** A request as placed at a runner. */
const PLACED = { unreadTokens: 100, memoryTokens: 200, tight: false };

/** Messages, calls and bytes of a daemon since the counts were reset. */
export interface ActivityCounts {
  messages: number;
  bytes: number;
  received: number;
  dials: number;
  calls: number;
}

function zeroCounts(): ActivityCounts {
  return { messages: 0, bytes: 0, received: 0, dials: 0, calls: 0 };
}

/** One end of an in-memory link. */
export class FakeLink implements Link {
  readonly #from: Member;
  readonly #to: Member;
  #remote: FakeLink | undefined;
  #events: LinkEvents | undefined;
  #closed = false;
  #ending = false;
  #stalled = false;
  #silenceMs = 1_500;
  #receivedAt = performance.now();

  constructor(from: Member, to: Member) {
    this.#from = from;
    this.#to = to;
    this.#checkSilence();
  }

  static pair(one: Member, other: Member): readonly [FakeLink, FakeLink] {
    const local = new FakeLink(one, other);
    const remote = new FakeLink(other, one);
    local.#remote = remote;
    remote.#remote = local;
    one.links.add(local);
    other.links.add(remote);
    return [local, remote];
  }

  readonly opening: LinkFactory = (events) => {
    this.#events = events;
    return this;
  };

  send(message: PeerMessage): void {
    this.sendEncoded(encodeMessage(message));
  }

  sendEncoded(frame: Buffer): void {
    if (this.#closed || this.#ending) return;
    this.#from.counts.messages += 1;
    this.#from.counts.bytes += frame.length;
    if (!this.#reaches()) return;
    const sentMs = this.#from.timeToSend(frame.length);
    setTimeout(() => this.#remote!.#receive(frame), sentMs + LATENCY_MS);
  }

  get receivedAt(): number {
    return this.#receivedAt;
  }

  setIdleTimeout(millis: number): void {
    this.#silenceMs = millis;
  }

  end(): void {
    if (this.#closed || this.#ending) return;
    this.#ending = true;
    if (!this.#reaches()) return;
    const sentMs = this.#from.timeToSend(0);
    setTimeout(() => {
      this.#remote!.#end();
      setTimeout(() => this.#end(), LATENCY_MS);
    }, sentMs + LATENCY_MS);
  }

  close(): void {
    if (this.#closed) return;
    this.#end();
    if (!this.#reaches()) return;
    setTimeout(() => this.#remote!.#end(), LATENCY_MS);
  }

  /**
   * Whether data that is sent now arrives. After data was lost nothing arrives any
   * more, as TCP delivers in order and takes seconds to repeat.
   */
  #reaches(): boolean {
    this.#stalled ||= !this.#from.canReach(this.#to);
    return !this.#stalled;
  }

  #end(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#from.links.delete(this);
    if (this.#from.alive) this.#events?.onClose();
  }

  #receive(frame: Buffer): void {
    if (this.#closed || !this.#from.alive) return;
    this.#receivedAt = performance.now();
    this.#from.counts.received += frame.length;
    const item = decodeItem(frame.subarray(LENGTH_BYTES));
    this.#events?.onMessage(unpackMessage(item._unsafeUnwrap()));
  }

  #checkSilence(): void {
    setTimeout(() => {
      if (this.#closed) return;
      const silent = performance.now() - this.#receivedAt >= this.#silenceMs;
      if (silent && this.#from.alive) return this.close();
      this.#checkSilence();
    }, 250);
  }
}

/** The in-memory network, as one daemon uses it. */
class FakeNetwork implements PeerNetwork {
  readonly port = 0;
  readonly #member: Member;
  readonly #fleet: Fleet;

  constructor(member: Member, fleet: Fleet) {
    this.#member = member;
    this.#fleet = fleet;
  }

  open(_: unknown, accepted: (opening: LinkFactory) => void): Promise<void> {
    this.#member.accept = accepted;
    return Promise.resolve();
  }

  dial(address: string, outcome: {
    opened(opening: LinkFactory): void;
    failed(): void;
  }): void {
    const from = this.#member;
    from.counts.dials += 1;
    const to = this.#fleet.findByAddress(address);
    if (to === undefined || !from.canReach(to) || !to.canReach(from)) {
      setTimeout(() => from.alive && outcome.failed(), DIAL_TIMEOUT_MS);
      return;
    }
    setTimeout(() => {
      if (!from.alive) return;
      if (to.accept === undefined) return outcome.failed();
      const [local, remote] = FakeLink.pair(from, to);
      to.accept(remote.opening);
      outcome.opened(local.opening);
    }, 2 * LATENCY_MS);
  }

  close(): void {}
}

/** How the store treats the calls of a daemon's feeds. */
export type StoreAccess =
  | "served"
  /** Calls fail at once, and so do the watches that wait. */
  | "refused"
  /** Calls get no response. */
  | "silent";

/** Time after which a call without a response fails, beyond its wait, in ms. */
const CALL_TIMEOUT_MS = 700;

/** A feed of values that all daemons share and that tests replace. */
class FakeFeed<T> implements Feed<T> {
  readonly #member: () => Member;
  readonly #shared: SharedValues<T>;

  constructor(shared: SharedValues<T>, member: () => Member) {
    this.#shared = shared;
    this.#member = member;
  }

  async list(): Promise<Listing<T>> {
    await this.#call(0, () => sleep(RESPONSE_MS));
    return { revision: this.#shared.revision, values: this.#shared.values };
  }

  async watch(
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Changes<T>> {
    await this.#call(waitMs, async () => {
      await Promise.race([
        this.#shared.changedAfter(since),
        sleep(waitMs),
        aborted(signal),
      ]);
      await sleep(RESPONSE_MS);
    });
    if (signal.aborted) throw new FeedError("unavailable", "Request aborted");
    if (epochOf(this.#shared.revision) > epochOf(since)) {
      throw new FeedError("expired", "Store was restored");
    }
    const { revision, values } = this.#shared;
    if (revision <= since) return { revision, updated: [], removed: [] };
    return { revision, updated: values, removed: this.#shared.removed };
  }

  /** Calls the store, which treats the call as it treats the daemon. */
  async #call(waitMs: number, respond: () => Promise<void>): Promise<void> {
    const member = this.#member();
    member.counts.calls += 1;
    const refused = member.accessChanged().then(() => "changed" as const);
    if (member.storeAccess === "served") {
      const first = await Promise.race([respond(), refused]);
      if (first !== "changed" || member.storeAccess === "served") return;
    }
    const silent = member.storeAccess === "silent";
    await sleep(silent ? waitMs + CALL_TIMEOUT_MS : RESPONSE_MS);
    throw new FeedError("unavailable", `Call is ${member.storeAccess}`);
  }
}

class SharedValues<T> {
  revision = 1;
  values: readonly T[];
  readonly #nameOf: (value: T) => string;
  /** Names of all values so far. */
  readonly #names = new Set<string>();
  #watchers: (() => void)[] = [];

  constructor(values: readonly T[], nameOf: (value: T) => string) {
    this.#nameOf = nameOf;
    this.values = values;
    this.#recordNames();
  }

  /** Names of all values that were removed. */
  get removed(): readonly string[] {
    const names = new Set(this.values.map(this.#nameOf));
    return [...this.#names].filter((name) => !names.has(name));
  }

  replace(values: readonly T[]): void {
    this.values = values;
    this.#recordNames();
    this.revision += 1;
    for (const wake of this.#watchers.splice(0)) wake();
  }

  /** Goes back to earlier values, as a store that is restored from a backup. */
  restore(values: readonly T[]): void {
    const epoch = epochOf(this.revision) + 1;
    this.values = values;
    this.revision = storeRevision(epoch, 1);
    for (const wake of this.#watchers.splice(0)) wake();
  }

  #recordNames(): void {
    for (const value of this.values) this.#names.add(this.#nameOf(value));
  }

  changedAfter(revision: number): Promise<void> {
    if (this.revision > revision) return Promise.resolve();
    return new Promise((resolve) => this.#watchers.push(resolve));
  }
}

function sleep(millis: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, millis));
}

function aborted(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve())
  );
}

/** Length of a usage window, in ms. */
export const WINDOW_MS = 5_000;
/** Time after the end of a usage window by which its report is due, in ms. */
export const REPORT_DELAY_MS = 10_000;
const LEASE_MS = 3_000;

const FAKE_CLOCKS: HostClocks = {
  wall: () => performance.now(),
  monotonic: () => performance.now(),
};

/** A usage report that the platform's API received. */
export interface ReceivedReport {
  readonly at: number;
  readonly fence: Fence;
  readonly window: number;
  readonly counts: UsageReport["counts"];
}

/** The platform's API; accepts and records all usage reports. */
class RecordingApi implements PlatformApi {
  readonly arrivals: ReceivedReport[] = [];

  async reportUsage(
    { window, counts }: UsageReport,
    { fence }: PlatformCall,
  ): Promise<CallOutcome> {
    this.arrivals.push({ at: performance.now(), fence, window, counts });
    await sleep(RESPONSE_MS);
    return { kind: "accepted" };
  }

  orderRunners(): Promise<CallOutcome> {
    return Promise.resolve({ kind: "accepted" });
  }
}

/** The leader's store and the platform's API, shared by all daemons of a fleet. */
interface Leadership {
  readonly store: MemoryLeaderStore;
  readonly api: RecordingApi;
}

/** A daemon of a simulated fleet. */
export class Member {
  readonly contact: Contact;
  readonly loads = new RunnerLoads();
  readonly prefixes = new PrefixIndex();
  readonly crashes: CrashRecord;
  readonly limits: RunnerLimits;
  readonly time = new FleetTime(FAKE_CLOCKS);
  readonly usage: UsageMeter;
  readonly lease: LeaderLease;
  readonly leader: Leader;
  readonly draining: DrainingRunners;
  readonly paces: RunnerPaces;
  readonly places: ReturnPlaces;
  readonly origins: StreamOrigins;
  readonly shares: WorkspaceShares;
  readonly directory: RunnerDirectory;
  readonly links = new Set<FakeLink>();
  readonly events: { readonly name: string; readonly fields: Fields }[] = [];
  counts = zeroCounts();
  /** Whether peers are told where streams began before they ask. */
  publishesOrigins = true;
  configuration: Configuration | undefined;
  alive = false;
  /** Whether the daemon still serves requests. */
  serving = true;
  /** Whether calls of this host to the leader's store fail. */
  storeUnreachable = false;
  /** Names of daemons to which this one cannot send. */
  readonly blocked = new Set<string>();
  #storeAccess: StoreAccess = "served";
  #accessListeners: (() => void)[] = [];
  accept: ((opening: LinkFactory) => void) | undefined;
  readonly fleetSync: FleetSync;
  /** Bandwidth for sending, shared by all links, in Mbit/s. */
  readonly #sendMbps: number;
  #sendingUntil = 0;

  constructor(contact: Contact, fleet: Fleet, options: {
    readonly store: SharedStore;
    readonly sendMbps: number;
    readonly leadership: Leadership;
  }) {
    const { store, sendMbps, leadership } = options;
    this.contact = contact;
    this.#sendMbps = sendMbps;
    const log = {
      event: (name: string, fields: Fields) => {
        this.events.push({ name, fields });
      },
      decision() {},
    };
    this.crashes = new CrashRecord(log);
    this.limits = new RunnerLimits(log, () => this.fleetSync.view);
    this.draining = new DrainingRunners(log);
    this.places = new ReturnPlaces(log, Math.random);
    this.origins = publishedOrigins(() => this.publishesOrigins);
    this.shares = new WorkspaceShares({ log });
    this.directory = new RunnerDirectory(this.draining);
    const scheduling = {
      isAdaptive: () => true,
      observesEngines: () => true,
      recordStatedSpeed() {},
    };
    this.paces = new RunnerPaces(scheduling, log);
    this.directory.onChange(() =>
      this.paces.retain(this.directory.list.runners)
    );
    this.usage = new UsageMeter({
      incarnation: contact.incarnation,
      windowMs: WINDOW_MS,
      now: () => this.time.now(),
      log,
    });
    this.lease = new LeaderLease({
      store: this.#wrapStore(leadership.store),
      own: contact,
      leaseMs: LEASE_MS,
      clock: { now: FAKE_CLOCKS.wall, monotonic: FAKE_CLOCKS.monotonic },
      log,
    });
    this.leader = new Leader({
      name: contact.name,
      lease: this.lease,
      leaseMs: LEASE_MS,
      api: leadership.api,
      usage: {
        meter: this.usage,
        timing: { windowMs: WINDOW_MS, delayMs: REPORT_DELAY_MS },
        daemons: () => this.fleetSync.linkedDaemons,
        recentDaemons: () => this.fleetSync.fleetSize,
      },
      scalingPolicy: undefined,
      eligible: () => this.fleetSync.mayLead,
      leaseChanged: () => this.fleetSync.leaseChanged(),
      now: () => this.time.now(),
      monotonic: FAKE_CLOCKS.monotonic,
      random: Math.random,
      log,
      metrics: { term() {}, usageWindow() {}, platformCall() {} },
    });
    this.fleetSync = new FleetSync({
      loads: this.loads,
      prefixes: this.prefixes,
      crashes: this.crashes,
      limits: this.limits,
      draining: this.draining,
      paces: this.paces,
      places: this.places,
      origins: this.origins,
      shares: this.shares,
      time: this.time,
      usage: this.usage,
      lease: this.lease,
      directory: this.directory,
      configuration: () => this.configuration,
      applyConfiguration: (configuration) => this.#adopt(configuration),
    }, {
      own: contact,
      store,
      network: new FakeNetwork(this, fleet),
      log,
      metrics: { dependency() {} },
      relaysFrom: 25,
      retentionMs: () => RETENTION_MS,
      controlBytesPerS: 29_000,
      random: Math.random,
    });
  }

  /** Queues bytes for sending; returns the time until they are sent, in ms. */
  timeToSend(bytes: number): number {
    const now = performance.now();
    const spanMs = bytes / (this.#sendMbps * BYTES_PER_MBIT_MS);
    this.#sendingUntil = Math.max(now, this.#sendingUntil) + spanMs;
    return this.#sendingUntil - now;
  }

  /** Whether messages of this daemon arrive at another. */
  canReach(other: Member): boolean {
    return this.alive && other.alive &&
      !this.blocked.has(other.contact.name);
  }

  get ready(): boolean {
    return this.configuration !== undefined && this.directory.revision > 0;
  }

  /** How the store treats the feeds of this daemon; tests set it. */
  get storeAccess(): StoreAccess {
    return this.#storeAccess;
  }

  set storeAccess(access: StoreAccess) {
    if (access === this.#storeAccess) return;
    this.#storeAccess = access;
    const listeners = this.#accessListeners;
    this.#accessListeners = [];
    for (const listener of listeners) listener();
  }

  /** Resolves when {@linkcode storeAccess} is set next. */
  accessChanged(): Promise<void> {
    return new Promise((resolve) => this.#accessListeners.push(resolve));
  }

  start(seeds: readonly string[]): void {
    this.alive = true;
    void this.fleetSync.open({ host: "", port: 0 });
    this.fleetSync.start(seeds);
    void this.leader.run();
  }

  /**
   * Ends the daemon. Its links are closed, unless the host loses power.
   *
   * @param options `power`: whether the host loses power.
   */
  end(options: { readonly power?: boolean } = {}): void {
    const links = [...this.links];
    if (!options.power) { for (const link of links) link.close(); }
    this.alive = false;
    this.links.clear();
    this.accept = undefined;
    this.fleetSync.stop();
    this.leader.stop();
  }

  /**
   * Ends the daemon as SIGTERM does.
   *
   * @param graceMs time for which it goes on serving.
   */
  async terminate(graceMs: number): Promise<void> {
    void this.leader.stepDown();
    void this.fleetSync.deregister();
    await sleep(graceMs);
    this.serving = false;
    if (!this.alive) return;
    await this.fleetSync.leave();
    this.end();
  }

  /** Wraps the leader's store to count calls, and to fail them if it is unreachable. */
  #wrapStore(store: MemoryLeaderStore): LeaderStore {
    const beforeCall = async () => {
      this.counts.calls += 1;
      await sleep(RESPONSE_MS);
      if (!this.alive || this.storeUnreachable) {
        throw new FeedError("unavailable", "no response");
      }
    };
    return {
      read: async () => {
        await beforeCall();
        return store.read();
      },
      write: async (record, revision) => {
        await beforeCall();
        return store.write(record, revision);
      },
    };
  }

  /** Places a request at a runner. */
  place(runner: string): PlacedRequest {
    const placed = { ...PLACED };
    this.loads.of(runner).place(placed, performance.now());
    return placed;
  }

  /** Requests of all daemons at a runner, according to this daemon. */
  inFlightAt(runner: string): number {
    return this.loads.of(runner).total.inFlight;
  }

  #adopt(configuration: Configuration): void {
    if (configuration.version <= (this.configuration?.version ?? -1)) return;
    this.configuration = configuration;
    this.fleetSync.configurationChanged();
  }
}

/** Size and network of a fleet. */
export interface FleetShape {
  readonly daemons: number;
  readonly domains: number;
  readonly runners?: number;
  /** Bandwidth of each host, in Mbit/s; unlimited by default. */
  readonly sendMbps?: number;
}

/** A fleet whose daemons all have the same seed addresses. */
export class Fleet {
  readonly members: Member[] = [];
  readonly #clock: FakeClock;
  readonly #configurations = new SharedValues<Configuration>(
    [],
    () => "main",
  );
  readonly #runners: SharedValues<Runner>;
  readonly #registered = new Map<string, string>();
  readonly leadership: Leadership = {
    store: new MemoryLeaderStore(),
    api: new RecordingApi(),
  };
  readonly versions = new MemoryVersionStore();
  readonly #shape: FleetShape;
  #starts = 0;

  constructor(clock: FakeClock, shape: FleetShape) {
    this.#clock = clock;
    this.#shape = shape;
    const runners = createRunners(shape.runners ?? RUNNERS);
    this.#runners = new SharedValues(runners, ({ name }) => name);
    for (let index = 0; index < shape.daemons; index++) this.#add(index);
  }

  /** Finds the running daemon at an address. */
  findByAddress(address: string): Member | undefined {
    return this.members.find(({ alive, contact }) =>
      alive && contact.address === address
    );
  }

  get alive(): readonly Member[] {
    return this.members.filter(({ alive }) => alive);
  }

  /** The running daemons of a failure domain, by descending bandwidth. */
  inDomain(index: number): readonly Member[] {
    return this.alive
      .filter(({ contact }) => contact.failureDomain === `d-${index}`)
      .sort((one, other) =>
        other.contact.linkMbps - one.contact.linkMbps ||
        (one.contact.name < other.contact.name ? -1 : 1)
      );
  }

  /** The daemons inside a failure domain, and those outside it. */
  sides(domain: string): readonly [readonly Member[], readonly Member[]] {
    const isInside = ({ contact }: Member) => contact.failureDomain === domain;
    return [
      this.members.filter(isInside),
      this.members.filter((member) => !isInside(member)),
    ];
  }

  /** Partitions the network between a failure domain and all others. */
  partition(domain: string): void {
    const [inside, outside] = this.sides(domain);
    for (const [from, to] of [[inside, outside], [outside, inside]] as const) {
      for (const sender of from) {
        for (const { contact } of to) sender.blocked.add(contact.name);
      }
    }
  }

  /** Cuts daemons off from all others, and from each other. */
  isolate(isolated: readonly Member[]): void {
    const names = isolated.map(({ contact }) => contact.name);
    for (const { contact, blocked } of this.members) {
      const others = names.includes(contact.name)
        ? this.members.map((member) => member.contact.name)
        : names;
      for (const name of others) blocked.add(name);
    }
  }

  /** Ends all network partitions. */
  heal(): void {
    for (const { blocked } of this.members) blocked.clear();
  }

  /** Starts all daemons within 0.3 s, in random order. */
  async startAll(): Promise<void> {
    const seeds = this.members.slice(0, 3).map(({ contact }) =>
      contact.address
    );
    for (const member of this.members) {
      if (member.alive) continue;
      setTimeout(() => member.start(seeds), Math.random() * START_SPREAD_MS);
    }
    await this.#clock.advance(START_SPREAD_MS + 1);
  }

  /** Restarts a daemon that has ended, without any state. */
  restart(member: Member): Member {
    const index = this.members.indexOf(member);
    const restarted = this.#createMember(index);
    this.members[index] = restarted;
    restarted.start(
      this.members.slice(0, 3).map(({ contact }) => contact.address),
    );
    return restarted;
  }

  /** Cuts the power of all hosts at once, then starts all daemons again. */
  async restartAll(): Promise<void> {
    for (const member of this.alive) member.end({ power: true });
    for (let index = 0; index < this.members.length; index++) {
      this.members[index] = this.#createMember(index);
    }
    await this.#clock.advance(1_000);
    await this.startAll();
  }

  /** Replaces the runners in the store. */
  setRunners(runners: readonly Runner[]): void {
    this.#runners.replace(runners);
  }

  /** Restores the store to other runners than it has. */
  restoreRunners(runners: readonly Runner[]): void {
    this.#runners.restore(runners);
    this.#registered.clear();
  }

  /** Names of the daemons that are registered in the store. */
  get registeredNames(): readonly string[] {
    return [...this.#registered.keys()].sort();
  }

  get runners(): readonly Runner[] {
    return this.#runners.values;
  }

  resetCounts(): void {
    for (const member of this.members) member.counts = zeroCounts();
  }

  /** Stores a configuration with the given version. */
  configure(version: number): void {
    this.#configurations.replace([testConfiguration([], { version })]);
  }

  #add(index: number): void {
    this.members.push(this.#createMember(index));
  }

  #createMember(index: number): Member {
    this.#starts += 1;
    const domain = index % this.#shape.domains;
    const contact = {
      name: `host-${index}`,
      incarnation: `${this.#starts}`,
      address: `10.${domain}.${Math.floor(index / 200)}.${index % 200}:8229`,
      failureDomain: `d-${domain}`,
      linkMbps: 14 + (index * 37) % 127,
    };
    const countCall = () => {
      member.counts.calls += 1;
    };
    const store = {
      configurations: new FakeFeed(this.#configurations, () => member),
      runners: new FakeFeed(this.#runners, () => member),
      daemons: {
        register: async (name: string, address: string) => {
          countCall();
          await sleep(RESPONSE_MS);
          this.#registered.set(name, address);
          return epochOf(this.#runners.revision);
        },
        deregister: async (name: string) => {
          countCall();
          await sleep(RESPONSE_MS);
          this.#registered.delete(name);
        },
        addresses: async () => {
          countCall();
          await sleep(RESPONSE_MS);
          return [...this.#registered.values()];
        },
      },
      versions: {
        read: async () => {
          countCall();
          await sleep(RESPONSE_MS);
          return await this.versions.read();
        },
        write: async (record: VersionRecord, ifRevision: number) => {
          countCall();
          await sleep(RESPONSE_MS);
          return await this.versions.write(record, ifRevision);
        },
      },
    };
    const { sendMbps = Infinity } = this.#shape;
    const { leadership } = this;
    const parts = { store, sendMbps, leadership };
    const member: Member = new Member(contact, this, parts);
    return member;
  }
}

/** Creates runners with the names `r-0`, `r-1` and so on. */
function createRunners(count: number): readonly Runner[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `r-${index}`,
    name: `r-${index}`,
    service: "pool",
    startedAtMs: undefined,
    address: "10.9.0.1",
    port: 9_000 + index,
    failureDomain: `d-${index % 3}`,
    slots: 16,
    draining: false,
    warmUpMs: 0,
  }));
}

/** The sizes of current fleets, of large deployments and of planned fleets. */
export const SIZES: readonly FleetShape[] = [
  { daemons: 8, domains: 3 },
  { daemons: 72, domains: 3 },
  { daemons: 380, domains: 6 },
];

/** Time after a start until the set of links is stable, in ms. */
const SETTLED_MS = 8_000;

/** Starts a fleet and waits until its links are stable. */
export async function startSettledFleet(
  t: TestContext,
  shape: FleetShape,
  seed = 1,
): Promise<{ readonly clock: FakeClock; readonly fleet: Fleet }> {
  const clock = new FakeClock(t, seed);
  const fleet = new Fleet(clock, shape);
  await fleet.startAll();
  fleet.configure(1);
  await clock.advance(SETTLED_MS);
  fleet.resetCounts();
  return { clock, fleet };
}
