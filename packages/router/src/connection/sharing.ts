/**
 * What daemons tell each other: versions, and the load they put on runners.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Allowance } from "../process/allowance.ts";
import { inRankOrder } from "../process/contact.ts";
import type { Contact } from "../process/contact.ts";
import { ContactBook } from "../process/contact_book.ts";
import type { ContactNews } from "../process/contact_book.ts";
import type { EventLog } from "../process/event_log.ts";
import { groupBy } from "../process/group.ts";
import { relaysOf } from "../process/link_plan.ts";
import type { PartsNews, PrefixRecord } from "../process/prefix_record.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { Neighbours } from "../process/runner_queue.ts";
import type { Configuration } from "../version/configuration.ts";
import { LoadSums } from "./load_sums.ts";
import { MembershipCounts } from "./membership_counts.ts";
import { Outbox } from "./outbox.ts";
import type { Post } from "./outbox.ts";
import { Overlay } from "./overlay.ts";
import type { Role } from "./overlay.ts";
import { encodeMessage, SILENCE_MS } from "./peer_link.ts";
import type {
  Give,
  LoadShare,
  Members,
  PeerMessage,
  State,
  Versions,
  Want,
} from "./peer_message.ts";
import type { Peer, PeerListener, Peers } from "./peers.ts";

/**
 * Milliseconds between two states for each peer that is told directly: with 7
 * daemons one every 28 ms. So a daemon sends and reads at most 250 states a
 * second, about 1% of a core.
 */
const PERIOD_PER_PEER_MS = 4;
const SHORTEST_PERIOD_MS = 20;
/**
 * Milliseconds between two states on each link of the tree while requests wait
 * for a runner; a state waits for half of it at each relay on its way.
 */
const HOP_MS = 40;
/**
 * The same while none waits: what is older matters when several daemons want the
 * last room at one runner, and then requests wait.
 */
const CALM_HOP_MS = 80;
/**
 * The same where only the list of runners is newer. It changes many times a
 * second while runners start, and passes five daemons at most within the seconds
 * that one that drains serves on.
 */
const RUNNERS_HOP_MS = 100;
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
 * Periods between states after which all daemons know of a change here: one
 * until it is sent, and half of one for the way and the timers. Without this
 * time a free runner is sent 240,000 tokens of prompts at once instead of 30,000.
 */
const SETTLE_PERIODS = 1.5;
/** What a relay on the way adds to it, in ms: three quarters of its longest wait. */
const SETTLE_PER_RELAY_MS = 30;
/** Relays on the way between two failure domains of one relay each. */
const RELAYS_OF_SMALL_DOMAINS = 2;
/** The same where relays of each domain tell a head. */
const RELAYS_OF_LARGE_DOMAINS = 4;
/** Milliseconds before newer data is asked for again. */
const WANT_AGAIN_MS = 300;
/** Bytes of a runner's load in a message, about. */
const LOAD_BYTES = 40;
/**
 * Seconds over which that is averaged. In a burst, when what is known of runners
 * matters most, a neighbour is told at the full pace.
 */
const BURST_SECONDS = 60;
/**
 * Contacts that a daemon keeps: eight of each of six failure domains, enough to
 * choose relays from, and all of a fleet in which everybody tells everybody.
 */
const MAX_CONTACTS = 48;

/** Contacts of each other failure domain that a new peer is told. */
const TOLD_OF_OTHER_DOMAINS = 2;

/** What is shared, and who takes what peers give. */
export interface SharedKnowledge {
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixRecord;
  readonly directory: RunnerDirectory;
  /** The configuration in force. */
  configuration(): Configuration | undefined;
  /** Takes a configuration from a peer. */
  adopt(configuration: Configuration, source: string): void;
}

/** Whom a daemon shares with. */
export interface SharingOptions {
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
export class Sharing implements PeerListener {
  readonly #own: Contact;
  readonly #known: SharedKnowledge;
  readonly #peers: () => Peers;
  readonly #sums: LoadSums;
  readonly #book: ContactBook;
  readonly #counts = new MembershipCounts();
  readonly #overlay: Overlay;
  /** For the parent or the other heads, or for everybody in a small fleet. */
  readonly #near = new Outbox();
  /** For children. */
  readonly #all = new Outbox();
  readonly #nearAllowance: Allowance;
  readonly #allAllowance: Allowance;
  #timer: NodeJS.Timeout | undefined;
  /** Whether the timer is set for the next state, and not to rest. */
  #awake = false;
  #started = false;
  #tickedAt = -Infinity;
  #dueAt = -Infinity;
  #sentAt = -Infinity;
  #sentSpareAt = -Infinity;
  /** Versions that peers without news were told last. */
  #toldVersions: Versions = { configuration: -1, runners: 0 };
  /** Versions that each peer has told to have. */
  readonly #versionsOf = new WeakMap<Peer, Versions>();
  #countsChanged = false;
  readonly #offered: () => void;
  #givenAt = -Infinity;
  #wantedAt = -Infinity;
  #asked = false;

  constructor(known: SharedKnowledge, options: SharingOptions) {
    const { own, peers, log, relaysFrom, controlBytesPerS } = options;
    this.#own = own;
    this.#known = known;
    this.#peers = peers;
    this.#offered = options.offered;
    this.#sums = new LoadSums(known.loads);
    this.#book = new ContactBook(own, Math.max(MAX_CONTACTS, 2 * relaysFrom));
    const rate = { perSecond: controlBytesPerS, burstSeconds: BURST_SECONDS };
    this.#nearAllowance = new Allowance(rate);
    this.#allAllowance = new Allowance(rate);
    const members = () => this.#counts.recent(performance.now());
    this.#overlay = new Overlay({
      own,
      book: this.#book,
      log,
      relaysFrom,
      get peers() {
        return peers();
      },
      members,
      roleChanged: (peer, before) => this.#roleChanged(peer, before),
    });
  }

  start(): void {
    this.#started = true;
    this.#known.loads.onChange(() => this.wake());
    this.#known.prefixes.onNews(() => this.wake());
    this.#known.directory.onChange(() => this.wake());
    this.wake();
  }

  stop(): void {
    this.#started = false;
    clearTimeout(this.#timer);
  }

  /** Daemons of the fleet: the most that were heard of lately. */
  get fleetSize(): number {
    const { fleet } = this.#counts.recent(performance.now());
    return Math.max(fleet, this.#book.size + 1);
  }

  /** Steady milliseconds at which a peer gave something last. */
  get givenAt(): number {
    return this.#givenAt;
  }

  /** Daemons that are taken to live, as far as known, without this one. */
  get reachable(): readonly Contact[] {
    if (!this.#overlay.relayed) return this.#peers().alive;
    return this.#overlay.present(performance.now());
  }

  /** Daemons that are known by address, without this one. */
  known(): readonly Contact[] {
    return this.#book.all();
  }

  /**
   * Daemons that a peer is told of when a link is up: all of a small fleet; of a
   * large one those that it may link to in its failure domain, and two of each
   * other one.
   */
  knownFor(
    peer: Pick<Contact, "failureDomain"> | undefined,
  ): readonly Contact[] {
    const known = this.#book.all();
    if (!this.#overlay.relayed) return known;
    const domains = groupBy(known, ({ failureDomain }) => failureDomain);
    return [...domains].flatMap(([domain, contacts]) =>
      domain === peer?.failureDomain
        ? contacts
        : inRankOrder(contacts).slice(0, TOLD_OF_OTHER_DOMAINS)
    );
  }

  /** Tells soon what has changed: one period after the last state, or at once. */
  wake(): void {
    if (!this.#started) return;
    const dueAt = this.#tickedAt + this.#periodMs;
    if (this.#awake && this.#dueAt <= dueAt) return;
    this.#awake = true;
    this.#schedule(Math.max(0, dueAt - performance.now()));
  }

  joined(peer: Peer, known: readonly Contact[]): void {
    this.#book.met(contactOf(peer));
    for (const each of known) this.#book.add(each, performance.now());
    this.#overlay.joined(peer);
    this.#allowSilence();
    peer.link.send(this.#whole(peer));
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
        return this.#give(peer, message);
      case "give":
        return this.#takeGiven(peer, message);
    }
  }

  #give(peer: Peer, { configuration, runnersSince, parts }: Want): void {
    const { directory, prefixes } = this.#known;
    peer.link.send({
      kind: "give",
      configuration: configuration ? this.#known.configuration() : undefined,
      runners: runnersSince === undefined
        ? undefined
        : directory.newsSince(runnersSince),
      parts: parts ? prefixes.all() : undefined,
    });
  }

  #takeGiven(peer: Peer, { configuration, runners, parts = [] }: Give): void {
    const now = performance.now();
    this.#wantedAt = -Infinity;
    this.#givenAt = now;
    if (configuration) this.#known.adopt(configuration, `peer ${peer.name}`);
    if (runners) this.#known.directory.take(runners);
    for (const news of parts) this.#known.prefixes.take(news, now);
  }

  #takeState(peer: Peer, state: State): void {
    const { configuration, runners } = state;
    this.#versionsOf.set(peer, { configuration, runners });
    this.#takeContacts(state);
    const role = this.#overlay.role(peer.name);
    if (role !== undefined || !this.#overlay.relayed) {
      this.#takeMembers(peer, state.members);
      this.#takeLoads(peer, state);
    }
    this.#compare(peer, state, role);
  }

  #takeContacts({ contacts, gone }: ContactNews): void {
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

  #takeMembers(peer: Peer, { fleet, domain }: Members): void {
    const near = peer.failureDomain === this.#own.failureDomain;
    const told = { fleet, domain: near ? domain : 0 };
    if (!this.#counts.toldBy(peer.name, told)) return;
    this.#overlay.changed();
    if (!this.#overlay.relayed) return;
    this.#countsChanged = true;
    this.wake();
  }

  /** Takes loads, and notes them for those neighbours that lack them. */
  #takeLoads(peer: Peer, { whole, loads, parts }: State): void {
    const now = performance.now();
    const changed = new Set(whole ? this.#known.loads.forget(peer.name) : []);
    for (const share of loads) {
      changed.add(share.runner);
      const waiting = share.waiting.map(
        ({ rank, ageMs, leftMs, requests, unreadTokens }) => ({
          rank,
          requests,
          unreadTokens,
          since: now - ageMs,
          startBy: now + leftMs,
        }),
      );
      const load = this.#known.loads.of(share.runner);
      load.toldBy(peer.name, share, { now, waiting });
    }
    for (const news of parts) this.#known.prefixes.take(news, now);
    const urgent = loads.some(({ waiting }) => waiting.length > 0);
    this.#passOn(peer, { changed, parts, urgent });
  }

  #passOn(peer: Peer, news: {
    readonly changed: ReadonlySet<string>;
    readonly parts: readonly PartsNews[];
    readonly urgent: boolean;
  }): void {
    const { changed, parts, urgent } = news;
    if (!this.#overlay.relays || changed.size + parts.length === 0) return;
    this.#all.addRunners(changed, urgent);
    this.#all.addParts(parts, peer.name);
    if (this.#overlay.role(peer.name) === "child") {
      this.#near.addRunners(changed, urgent);
      this.#near.addParts(parts, peer.name);
    }
    this.wake();
  }

  #roleChanged(peer: Peer, before: Role | undefined): void {
    this.#forget(peer, before);
    this.#allowSilence();
    if (this.#peers().of(peer.name) === peer) peer.link.send(this.#whole(peer));
    this.wake();
  }

  /** Forgets what a neighbour told, and has others forget it. */
  #forget(peer: Peer, role?: Role): void {
    const changed = this.#known.loads.forget(peer.name);
    this.#counts.forget(peer.name);
    this.#countsChanged ||= this.#overlay.relayed;
    if (!this.#overlay.relays && role !== "child") return;
    this.#all.addRunners(changed, true);
    if (role === "child") this.#near.addRunners(changed, true);
  }

  /** Asks a peer for what it has newer. */
  #compare(peer: Peer, told: Versions, role: Role | undefined): void {
    const configuration = told.configuration > this.#version;
    const { revision } = this.#known.directory;
    const runnersSince = told.runners > revision ? revision : undefined;
    // A daemon that has just started asks one other what runners hold.
    const parts = !this.#asked && told.configuration >= 0 &&
      (role === "parent" || role === "head" || !this.#overlay.relayed);
    const nothing = !configuration && runnersSince === undefined && !parts;
    if (nothing) return;
    const now = performance.now();
    if (!parts && now - this.#wantedAt < WANT_AGAIN_MS) return;
    this.#wantedAt = now;
    this.#asked ||= parts;
    this.#offered();
    peer.link.send({ kind: "want", configuration, runnersSince, parts });
  }

  get #version(): number {
    return this.#known.configuration()?.version ?? -1;
  }

  get #versions(): Versions {
    return {
      configuration: this.#version,
      runners: this.#known.directory.revision,
    };
  }

  /** Milliseconds in which all daemons know of a request that waits here. */
  get settleMs(): number {
    if (this.#peers().count === 0) return 0;
    if (!this.#overlay.relayed) return SETTLE_PERIODS * this.#periodMs;
    const { domain } = this.#counts.recent(performance.now());
    const relays = relaysOf(domain) > 1
      ? RELAYS_OF_LARGE_DOMAINS
      : RELAYS_OF_SMALL_DOMAINS;
    return SETTLE_PERIODS * SHORTEST_PERIOD_MS + relays * SETTLE_PER_RELAY_MS;
  }

  /** Milliseconds between two states. */
  get #periodMs(): number {
    if (!this.#overlay.relayed) {
      const direct = PERIOD_PER_PEER_MS * this.#peers().count;
      return Math.max(SHORTEST_PERIOD_MS, direct);
    }
    const { configuration, runners } = this.#toldVersions;
    if (this.#version > configuration) return SHORTEST_PERIOD_MS;
    if (this.#known.directory.revision > runners) return RUNNERS_HOP_MS;
    const urgent = this.#near.urgent || this.#all.urgent;
    if (urgent || this.#known.loads.waits) return HOP_MS;
    return CALM_HOP_MS;
  }

  #schedule(ms: number): void {
    this.#dueAt = performance.now() + ms;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#awake = false;
      this.#tickedAt = performance.now();
      this.#tick();
      // What woke it meanwhile has set the timer already.
      if (!this.#awake) this.#schedule(REST_MS);
    }, ms);
  }

  #tick(): void {
    const now = performance.now();
    this.#overlay.settle(now);
    this.#collect();
    const news = this.#countsChanged || !this.#near.empty || !this.#all.empty;
    if (news || now - this.#sentAt >= HEARTBEAT_MS) {
      this.#sentAt = now;
      this.#countsChanged = false;
      this.#tellNear(now);
      this.#tellChildren(now);
    }
    this.#tellVersions(now);
    if (!this.#near.empty || !this.#all.empty) this.wake();
  }

  /** Notes what is new here for all neighbours. */
  #collect(): void {
    const { loads, prefixes } = this.#known;
    const changed = loads.takeChanged();
    const parts = prefixes.takeNews();
    const contacts = this.#book.hasNews ? this.#book.takeNews() : undefined;
    const outboxes = this.#overlay.relays
      ? [this.#near, this.#all]
      : [this.#near];
    for (const outbox of outboxes) {
      outbox.addRunners(changed, loads.waits);
      outbox.addParts(parts);
      if (contacts !== undefined) outbox.addContacts(contacts);
    }
  }

  /** Tells the parent or the other heads; everybody in a small fleet. */
  #tellNear(now: number): void {
    const { relayed } = this.#overlay;
    const left = relayed ? this.#nearAllowance.left(now) : Infinity;
    const post = this.#near.take(Math.max(0, left / LOAD_BYTES));
    const loads = this.#sums.of(post.runners, this.#isChild);
    const frame = encodeMessage(this.#state(post, loads, this.#isChild));
    this.#nearAllowance.take(frame.length);
    const peers = relayed
      ? this.#overlay.peersWith("parent", "head")
      : this.#peers().alive;
    for (const { link } of peers) link.sendEncoded(frame);
  }

  #tellChildren(now: number): void {
    const left = this.#allAllowance.left(now);
    const post = this.#all.take(Math.max(0, left / LOAD_BYTES));
    const everything = this.#sums.of(post.runners, () => true);
    let most = 0;
    for (const { name, link } of this.#overlay.peersWith("child")) {
      const frame = this.#frameFor(name, post, everything);
      most = Math.max(most, frame.length);
      link.sendEncoded(frame);
    }
    this.#allAllowance.take(most);
  }

  /** What a child is told: all but what came from itself. */
  #frameFor(
    child: string,
    post: Post,
    everything: readonly LoadShare[],
  ): Buffer {
    const others: Neighbours = (name) => name !== child;
    const loads = this.#sums.without(child, everything);
    const parts = post.parts.filter(({ from }) => from !== child);
    return encodeMessage(this.#state({ ...post, parts }, loads, others));
  }

  /**
   * Tells peers which versions there are: those that may lack them, and now and
   * then those that are told nothing else. Who told a newer version, or the same,
   * is not told it back.
   */
  #tellVersions(now: number): void {
    const { configuration, runners } = this.#toldVersions;
    const newer = this.#version > configuration ||
      this.#known.directory.revision > runners;
    const due = now - this.#sentSpareAt >= SPARE_HEARTBEAT_MS;
    if (!newer && !due) return;
    this.#toldVersions = this.#versions;
    if (due) this.#sentSpareAt = now;
    const told = this.#peers().alive.filter((peer) =>
      (due && this.#isSpare(peer)) || (newer && this.#lacksVersions(peer))
    );
    for (const peer of told) {
      peer.link.send(this.#state(NOTHING, [], this.#toldTo(peer)));
    }
  }

  /** Whose loads and number a peer is told, beside those of this daemon. */
  #toldTo({ name }: Peer): Neighbours {
    if (this.#overlay.role(name) !== "child") return this.#isChild;
    return (other) => other !== name;
  }

  #isSpare({ name }: Peer): boolean {
    return this.#overlay.relayed && this.#overlay.role(name) === undefined;
  }

  #lacksVersions(peer: Peer): boolean {
    const known = this.#versionsOf.get(peer);
    if (known === undefined) return true;
    return known.configuration < this.#version ||
      known.runners < this.#known.directory.revision;
  }

  /** All that a peer is to know when it becomes a neighbour, or a link is up. */
  #whole(peer: Peer): State {
    const counts = this.#toldTo(peer);
    const loads = this.#isSpare(peer) ? [] : this.#sums.all(counts);
    return { ...this.#state(NOTHING, loads, counts), whole: true };
  }

  #state(
    { parts, contacts }: Pick<Post, "parts" | "contacts">,
    loads: readonly LoadShare[],
    counts: Neighbours,
  ): State {
    return {
      kind: "state",
      ...this.#versions,
      ...contacts,
      whole: false,
      loads,
      parts,
      members: this.#counts.sumBy(counts),
    };
  }

  readonly #isChild: Neighbours = (name) =>
    this.#overlay.role(name) === "child";

  #allowSilence(): void {
    for (const peer of this.#peers().alive) {
      const silence = this.#isSpare(peer) ? SPARE_SILENCE_MS : SILENCE_MS;
      peer.link.allowSilence(silence);
    }
  }
}

/** A message without news. */
const NOTHING: Pick<Post, "parts" | "contacts"> = {
  parts: [],
  contacts: { contacts: [], gone: [] },
};

function contactOf(peer: Peer): Contact {
  const { name, incarnation, address, failureDomain, linkMbps } = peer;
  return { name, incarnation, address, failureDomain, linkMbps };
}
