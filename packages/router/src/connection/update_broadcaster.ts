/**
 * What neighbours are told of loads, and how much at a time.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { TokenBucket } from "../process/token_bucket.ts";
import type { Contact } from "../process/contact.ts";
import type { ContactBook, ContactUpdates } from "../process/contact_book.ts";
import type { FleetTime } from "../process/fleet_time.ts";
import type { LeaderLease, LeaseObservation } from "../process/leader_lease.ts";
import type { UsageCount, UsageMeter } from "../process/usage_meter.ts";
import type { CrashRecord, CrashUpdate } from "../process/crash_record.ts";
import type { PrefixIndex, PrefixUpdate } from "../process/prefix_index.ts";
import type { LimitUpdate, RunnerLimits } from "../process/runner_limits.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { NeighbourFilter } from "../process/runner_queue.ts";
import { ageOf, toAges } from "./crash_ages.ts";
import { LoadSums } from "./load_sums.ts";
import type { MembershipCounts } from "./membership_counts.ts";
import { Outbox } from "./outbox.ts";
import type { OutgoingUpdate, Sourced } from "./outbox.ts";
import type { Overlay, Role } from "./overlay.ts";
import { encodeMessage } from "./peer_link.ts";
import type { RunnerLoadEntry, StateUpdate, Versions } from "./peer_message.ts";
import type { Peer, Peers } from "./peers.ts";

/** Bytes of a runner's load in a message, about, while requests wait for it. */
const LOAD_BYTES = 100;
/**
 * Seconds over which the bytes that a neighbour is told are averaged. In a burst
 * of minutes, when what is known of runners matters most, it is told at the full
 * pace; held back then, daemons send to runners that others have filled.
 */
const BURST_SECONDS = 600;

/** What a message tells beside loads. */
interface UpdateParts {
  readonly parts: readonly PrefixUpdate[];
  readonly contacts: ContactUpdates;
  readonly crashes: CrashUpdate;
  readonly limits: readonly LimitUpdate[];
  readonly usage: readonly UsageCount[];
  readonly lease: LeaseObservation | undefined;
}

/** A message without news. */
const NOTHING: UpdateParts = {
  parts: [],
  contacts: { contacts: [], gone: [] },
  crashes: { crashed: [], answers: [] },
  limits: [],
  usage: [],
  lease: undefined,
};

/** What is told, and to whom. */
export interface BroadcastSources {
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixIndex;
  readonly crashes: CrashRecord;
  readonly limits: RunnerLimits;
  readonly time: FleetTime;
  readonly usage: UsageMeter | undefined;
  readonly lease: LeaderLease | undefined;
  readonly book: ContactBook;
  readonly counts: MembershipCounts;
  readonly overlay: Overlay;
  readonly peers: () => Peers;
  /** Daemons that a peer is told of when it becomes a neighbour. */
  readonly knownFor: (peer: Peer) => readonly Contact[];
  /** Versions that ride on each message. */
  readonly versions: () => Versions;
  /** Bytes a second that one neighbour is told, on average, through relays. */
  readonly controlBytesPerS: number;
}

/** What a neighbour told, to be passed on. */
export interface ReceivedUpdate {
  /** Ids of runners. */
  readonly changed: ReadonlySet<string>;
  readonly parts: readonly PrefixUpdate[];
  /** What of it was not known here. */
  readonly crashes: CrashUpdate;
  readonly limits: readonly LimitUpdate[];
  readonly usage: readonly UsageCount[];
  /** Whether requests wait for the runners. */
  readonly urgent: boolean;
}

/**
 * Collects what changed here and at neighbours and tells it: to the parent or the
 * other heads what this daemon and its children have, to each child what all
 * others have. In a small fleet everybody is told what this daemon has.
 */
export class UpdateBroadcaster {
  readonly #sources: BroadcastSources;
  readonly #sums: LoadSums;
  /** For the parent or the other heads, or for everybody in a small fleet. */
  readonly #near = new Outbox();
  /** For children. */
  readonly #all = new Outbox();
  readonly #nearAllowance: TokenBucket;
  readonly #allAllowance: TokenBucket;
  /** Revision of the leader's lease that was told last. */
  #leaseTold = 0;

  constructor(sources: BroadcastSources) {
    this.#sources = sources;
    this.#sums = new LoadSums(sources.loads);
    const perSecond = sources.controlBytesPerS;
    const rate = { perSecond, burst: perSecond * BURST_SECONDS };
    this.#nearAllowance = new TokenBucket(rate);
    this.#allAllowance = new TokenBucket(rate);
  }

  /** Whether there is nothing to tell. */
  get empty(): boolean {
    return this.#near.empty && this.#all.empty;
  }

  /** Whether requests wait for a runner whose load is to be told. */
  get urgent(): boolean {
    return this.#near.urgent || this.#all.urgent;
  }

  /** Notes what is new at this daemon. */
  collect(): void {
    const { loads, prefixes, crashes, limits, book, overlay } = this.#sources;
    const changed = loads.takeChanged();
    const parts = prefixes.takeUpdates();
    const crashNews = crashes.takeUpdates();
    const limitNews = limits.takeUpdates();
    this.#near.addUsage(this.#sources.usage?.takeNews() ?? []);
    this.#collectLease();
    const contacts = book.hasUpdates ? book.takeUpdates() : undefined;
    const outboxes = overlay.relays ? [this.#near, this.#all] : [this.#near];
    for (const outbox of outboxes) {
      outbox.addRunners(changed, loads.hasWaiting);
      outbox.addParts(parts);
      outbox.addCrashes(crashNews);
      outbox.addLimits(limitNews);
      if (contacts !== undefined) outbox.addContacts(contacts);
    }
  }

  /** Who holds the lease tells of it; those that may take it hear of it. */
  #collectLease(): void {
    const { lease } = this.#sources;
    const news = lease?.observation;
    if (news === undefined || news.revision === this.#leaseTold) return;
    this.#leaseTold = news.revision;
    if (lease!.isOwnWrite) this.#near.addLease(news);
  }

  /**
   * Notes what a neighbour told for those that lack it.
   *
   * @returns whether there is anybody to tell.
   */
  passOn({ name }: Peer, told: ReceivedUpdate): boolean {
    const { changed, parts, crashes, limits, usage, urgent } = told;
    const { overlay } = this.#sources;
    // Counts go up the tree only, to those that may lead.
    if (overlay.role(name) === "child") this.#near.addUsage(usage);
    const count = changed.size + parts.length + crashes.crashed.length +
      crashes.answers.length + limits.length;
    if (!overlay.relays || count === 0) return false;
    const outboxes = overlay.role(name) === "child"
      ? [this.#all, this.#near]
      : [this.#all];
    for (const outbox of outboxes) {
      outbox.addRunners(changed, urgent);
      outbox.addParts(parts, name);
      outbox.addCrashes(crashes, name);
      outbox.addLimits(limits, name);
    }
    return true;
  }

  /** What a neighbour of that role had told does not count any more. */
  retract(changed: Iterable<string>, role: Role | undefined): void {
    const ids = [...changed];
    if (this.#sources.overlay.relays) this.#all.addRunners(ids, true);
    if (role === "child") this.#near.addRunners(ids, true);
  }

  /** Tells all neighbours what is due to them. */
  tell(now: number): void {
    this.#tellNear(now);
    this.#tellChildren(now);
  }

  /** All that a peer is to know when it becomes a neighbour, or a link is up. */
  whole(peer: Peer): StateUpdate {
    const counts = this.#toldTo(peer);
    const silent = this.#sources.overlay.isSpare(peer);
    if (silent) return { ...this.versionsFor(peer), whole: true };
    const now = performance.now();
    const crashes = this.#sources.crashes.snapshot(now);
    const limits = this.#sources.limits.snapshot(now);
    const contacts = this.#contactsFor(peer);
    const loads = this.#sums.all(counts);
    const isChild = this.#sources.overlay.role(peer.name) === "child";
    const usage = isChild ? [] : this.#sources.usage?.all() ?? [];
    const lease = this.#sources.lease?.observation;
    const news = { ...NOTHING, contacts, crashes, limits, usage, lease };
    return { ...this.#state(news, loads, counts), whole: true };
  }

  /**
   * A child missed what was told between its link and its subscription. It would
   * lack these contacts for good, and choose other relays than the rest.
   */
  #contactsFor(peer: Peer): ContactUpdates {
    const isChild = this.#sources.overlay.role(peer.name) === "child";
    const contacts = isChild ? this.#sources.knownFor(peer) : [];
    return { contacts, gone: [] };
  }

  /** A message that tells a peer versions only. */
  versionsFor(peer: Peer): StateUpdate {
    return this.#state(NOTHING, [], this.#toldTo(peer));
  }

  #tellNear(now: number): void {
    const { overlay, peers } = this.#sources;
    const { relayed } = overlay;
    const left = relayed ? this.#nearAllowance.available(now) : Infinity;
    const post = this.#near.take(Math.max(0, left / LOAD_BYTES));
    const loads = this.#sums.of(post.runners, this.#isChild);
    const frame = encodeMessage(this.#state(post, loads, this.#isChild));
    this.#nearAllowance.take(frame.length);
    const told = relayed ? overlay.peersWith("parent", "head") : peers().alive;
    for (const { link } of told) link.sendEncoded(frame);
  }

  #tellChildren(now: number): void {
    const left = this.#allAllowance.available(now);
    const post = this.#all.take(Math.max(0, left / LOAD_BYTES));
    const everything = this.#sums.of(post.runners, () => true);
    let most = 0;
    for (const { name, link } of this.#sources.overlay.peersWith("child")) {
      const frame = this.#frameFor(name, post, everything);
      most = Math.max(most, frame.length);
      link.sendEncoded(frame);
    }
    this.#allAllowance.take(most);
  }

  /** What a child is told: all but what came from itself. */
  #frameFor(
    child: string,
    post: OutgoingUpdate,
    everything: readonly RunnerLoadEntry[],
  ): Buffer {
    const others: NeighbourFilter = (name) => name !== child;
    const loads = this.#sums.without(child, everything);
    const isOthers = ({ from }: Sourced) => from !== child;
    const parts = post.parts.filter(isOthers);
    const crashes = {
      crashed: post.crashes.crashed.filter(isOthers),
      answers: post.crashes.answers.filter(isOthers),
    };
    const limits = post.limits.filter(isOthers);
    const news = { ...post, parts, crashes, limits, usage: [] };
    return encodeMessage(this.#state(news, loads, others));
  }

  #state(
    { parts, contacts, crashes, limits, usage, lease }: UpdateParts,
    loads: readonly RunnerLoadEntry[],
    counts: NeighbourFilter,
  ): StateUpdate {
    const now = performance.now();
    const { time, usage: meter } = this.#sources;
    return {
      kind: "state",
      ...this.#sources.versions(),
      ...contacts,
      whole: false,
      loads,
      parts,
      crashes: toAges(crashes, now),
      limits: limits.map(({ runner, perS, at }) => ({
        runner,
        perS,
        agoMs: ageOf(at, now),
      })),
      members: this.#sources.counts.sumBy(counts),
      // Only windows of usage depend on it.
      timeMs: meter && Math.round(time.now()),
      usage,
      lease: lease && {
        revision: lease.revision,
        holderId: lease.holderId,
        agoMs: ageOf(lease.at, now),
      },
    };
  }

  /** Whose loads and number a peer is told, beside those of this daemon. */
  #toldTo({ name }: Peer): NeighbourFilter {
    if (this.#sources.overlay.role(name) !== "child") return this.#isChild;
    return (other) => other !== name;
  }

  readonly #isChild: NeighbourFilter = (name) =>
    this.#sources.overlay.role(name) === "child";
}
