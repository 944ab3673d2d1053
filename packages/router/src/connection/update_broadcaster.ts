/**
 * Sends state updates to neighbours, the peers with which a daemon exchanges loads,
 * within a bandwidth budget.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { TokenBucket } from "../process/token_bucket.ts";
import type { Contact } from "../process/contact.ts";
import type { ContactBook, ContactUpdates } from "../process/contact_book.ts";
import type { FleetTime } from "../process/fleet_time.ts";
import type { LeaderLease, LeaseObservation } from "../process/leader_lease.ts";
import type {
  UsageCount,
  UsageEnd,
  UsageMeter,
} from "../process/usage_meter.ts";
import type { Confirmed } from "../process/store_confirmations.ts";
import type { CrashRecord, CrashUpdate } from "../process/crash_record.ts";
import type { PrefixIndex, PrefixUpdate } from "../process/prefix_index.ts";
import { NO_PLACES } from "../process/return_places.ts";
import type { PlaceUpdates, ReturnPlaces } from "../process/return_places.ts";
import { NO_ORIGINS } from "../process/stream_origins.ts";
import type {
  OriginUpdates,
  StreamOrigins,
} from "../process/stream_origins.ts";
import type {
  DrainingRunners,
  DrainingUpdate,
} from "../process/draining_runners.ts";
import type { LimitUpdate, RunnerLimits } from "../process/runner_limits.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { PaceUpdate, RunnerPaces } from "../process/runner_paces.ts";
import type { NeighbourFilter } from "../process/runner_queue.ts";
import type {
  CostIncrease,
  CostSum,
  Flow,
  WorkspaceShares,
} from "../process/workspace_shares.ts";
import { ConfirmationOutbox, toConfirmationAges } from "./confirmation_ages.ts";
import { ageOf, toAges } from "./crash_ages.ts";
import { LoadSums } from "./load_sums.ts";
import type { MembershipCounts } from "./membership_counts.ts";
import { MAX_PLACES, Outbox } from "./outbox.ts";
import type { OutgoingUpdate, Sourced, SourcedOrigins } from "./outbox.ts";
import type { Overlay, Role } from "./overlay.ts";
import { PaceOutbox } from "./pace_outbox.ts";
import { encodeMessage } from "./peer_link.ts";
import { toPlaceAges } from "./place_encoding.ts";
import type {
  ConfirmationAges,
  RunnerLoadEntry,
  StateUpdate,
  Versions,
} from "./peer_message.ts";
import type { Peer, Peers } from "./peers.ts";
import { MAX_SHARES, ShareOutbox } from "./share_outbox.ts";

/**
 * Approximate bytes of a runner's load in a message while requests wait for it.
 */
const LOAD_BYTES = 100;
/**
 * Seconds over which the bytes sent to a neighbour are averaged. Bursts of some
 * minutes, when the state of runners matters most, are sent at the full rate: if
 * they were throttled, daemons would send to runners that others have filled.
 */
const BURST_SECONDS = 600;
/** Time in ms for which requests count as waiting after they were heard of. */
const WAITING_MS = 1_000;

/** Contents of a state update other than loads. */
interface UpdateContents {
  readonly parts: readonly PrefixUpdate[];
  readonly contacts: ContactUpdates;
  readonly crashes: CrashUpdate;
  readonly limits: readonly LimitUpdate[];
  readonly draining: readonly DrainingUpdate[];
  readonly places: PlaceUpdates;
  readonly streams: OriginUpdates;
  readonly usage: readonly UsageCount[];
  readonly lease: LeaseObservation | undefined;
  readonly paces: readonly PaceUpdate[];
  readonly shares: readonly CostSum[];
  readonly ends: readonly UsageEnd[];
  /** Confirmations that the receivers may lack. */
  readonly confirmed: ConfirmationAges;
}

/** An update without changes. */
const NO_CHANGES: UpdateContents = {
  parts: [],
  contacts: { contacts: [], gone: [] },
  crashes: { crashed: [], responses: [] },
  limits: [],
  draining: [],
  places: NO_PLACES,
  streams: NO_ORIGINS,
  usage: [],
  lease: undefined,
  paces: [],
  shares: [],
  ends: [],
  confirmed: { configuration: undefined, runners: undefined },
};

/** The shared state to send, and the neighbours to send it to. */
export interface BroadcastSources {
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixIndex;
  readonly crashes: CrashRecord;
  readonly limits: RunnerLimits;
  readonly draining: DrainingRunners;
  readonly paces: RunnerPaces;
  readonly places: ReturnPlaces;
  readonly origins: StreamOrigins;
  readonly shares: WorkspaceShares;
  readonly time: FleetTime;
  readonly usage: UsageMeter | undefined;
  readonly lease: LeaderLease | undefined;
  readonly book: ContactBook;
  readonly counts: MembershipCounts;
  readonly overlay: Overlay;
  readonly peers: () => Peers;
  /** Contacts to send to a peer that becomes a neighbour. */
  readonly contactsFor: (peer: Peer) => readonly Contact[];
  /** Versions included in each update. */
  readonly versions: () => Versions;
  readonly confirmed: Confirmed;
  /** Whether the last calls of this daemon to the store have failed. */
  readonly storeLost: () => boolean;
  /**
   * Average bytes per second sent to one neighbour where loads go through
   * relays.
   */
  readonly controlBytesPerS: number;
}

/** The changes in an update from a neighbour, to be relayed to others. */
export interface ReceivedUpdate {
  /** Ids of the runners whose loads changed. */
  readonly changedRunners: ReadonlySet<string>;
  readonly parts: readonly PrefixUpdate[];
  /** The reported crashes that were new to this daemon. */
  readonly crashes: CrashUpdate;
  readonly limits: readonly LimitUpdate[];
  readonly draining: readonly DrainingUpdate[];
  /** Runners with new observations, and whether to send them at once. */
  readonly paces: ReadonlyMap<string, boolean>;
  /** The places and uses that were new to this daemon. */
  readonly places: PlaceUpdates;
  /** The origins and questions that were new to this daemon. */
  readonly streams: OriginUpdates;
  readonly usage: readonly UsageCount[];
  readonly shares: readonly CostIncrease[];
  readonly ends: readonly UsageEnd[];
  /** The ends in a snapshot that show that a known daemon was cut off before. */
  readonly returned: readonly UsageEnd[];
  /** Whether requests wait for the runners. */
  readonly urgent: boolean;
}

/**
 * Collects changes of this daemon and its neighbours and sends them. In a large
 * fleet, where daemons form trees (see link_plan.ts), the parent or the other heads
 * get the state of this daemon and its children, and each child gets the state of
 * all daemons but itself. In a small fleet every peer gets the state of this
 * daemon.
 */
export class UpdateBroadcaster {
  readonly #sources: BroadcastSources;
  readonly #sums: LoadSums;
  /** For the parent or the other heads; in a small fleet, for all peers. */
  readonly #upstream = new Outbox();
  /** For children. */
  readonly #downstream = new Outbox();
  readonly #upstreamPaces = new PaceOutbox();
  readonly #downstreamPaces = new PaceOutbox();
  readonly #upstreamShares = new ShareOutbox();
  readonly #downstreamShares = new ShareOutbox();
  readonly #upstreamConfirmed = new ConfirmationOutbox();
  readonly #downstreamConfirmed = new ConfirmationOutbox();
  /** When a request was last known to wait, here or elsewhere. */
  #waitingAt = -Infinity;
  readonly #upstreamBudget: TokenBucket;
  readonly #downstreamBudget: TokenBucket;
  /** Last window of each incarnation whose end was sent to the parent or heads. */
  readonly #sentEnds = new Map<string, number>();
  /** Names of the heads whose usage this daemon relays. */
  readonly #relayedHeads = new Set<string>();
  /** Revision of the leader's lease that was collected last. */
  #collectedLease = 0;

  constructor(sources: BroadcastSources) {
    this.#sources = sources;
    this.#sums = new LoadSums(sources.loads);
    const perSecond = sources.controlBytesPerS;
    const rate = { perSecond, burst: perSecond * BURST_SECONDS };
    this.#upstreamBudget = new TokenBucket(rate);
    this.#downstreamBudget = new TokenBucket(rate);
  }

  /** Whether there are no changes to send. */
  get empty(): boolean {
    return this.#upstream.empty && this.#downstream.empty;
  }

  /** Whether requests wait for a runner whose load is still to be sent. */
  get urgent(): boolean {
    return this.#upstream.urgent || this.#downstream.urgent;
  }

  /** Whether usage is to be sent that must not wait for the next message. */
  get usageDue(): boolean {
    // In a small fleet a message to each daemon would cost more than the wait for a
    // heartbeat.
    return this.#sources.overlay.relayed && this.#upstream.hasEnds;
  }

  /** Collects the changes of this daemon since the last call. */
  collect(): void {
    const { loads, prefixes, crashes, limits, book, overlay } = this.#sources;
    loads.markReordered(performance.now());
    const changed = loads.takeChanged();
    const shares = this.#sources.shares.takeUpdates();
    this.#upstreamShares.add(shares);
    if (overlay.isRelay) this.#downstreamShares.add(shares);
    if (loads.hasWaiting) this.#waitingAt = performance.now();
    const parts = prefixes.takeUpdates();
    const crashUpdate = crashes.takeUpdates();
    const limitUpdates = limits.takeUpdates();
    const drainingUpdates = this.#sources.draining.takeUpdates();
    const paces = this.#sources.paces.takeChanged();
    this.#upstreamPaces.add(paces);
    if (overlay.isRelay) this.#downstreamPaces.add(paces);
    const placeUpdates = this.#sources.places.takeUpdates();
    const streamUpdates = this.#sources.origins.takeUpdates();
    this.#upstream.addUsage(this.#sources.usage?.takeUpdates() ?? []);
    this.#addEnds(this.#sources.usage?.takeEnds() ?? []);
    this.#collectLease();
    const contacts = book.hasUpdates ? book.takeUpdates() : undefined;
    const outboxes = overlay.isRelay
      ? [this.#upstream, this.#downstream]
      : [this.#upstream];
    const urgent = changed.filter((id) => loads.isUrgent(id));
    for (const outbox of outboxes) {
      outbox.addRunners(changed, loads.hasWaiting);
      outbox.addRunners(urgent, true);
      outbox.addParts(parts);
      outbox.addCrashes(crashUpdate);
      outbox.addLimits(limitUpdates);
      outbox.addDraining(drainingUpdates);
      outbox.addPlaces(placeUpdates);
      outbox.addOrigins(streamUpdates);
      if (contacts !== undefined) outbox.addContacts(contacts);
    }
  }

  /**
   * Collects the leader's lease, which its holder sends to possible successors.
   */
  #collectLease(): void {
    const { lease } = this.#sources;
    const observation = lease?.observation;
    if (
      observation === undefined || observation.revision === this.#collectedLease
    ) {
      return;
    }
    this.#collectedLease = observation.revision;
    if (lease!.isOwnWrite) this.#upstream.addLease(observation);
  }

  /**
   * Relays a neighbour's changes to the other neighbours.
   *
   * @returns whether anything is to be sent because of it.
   */
  relay(peer: Peer, received: ReceivedUpdate): boolean {
    const { name } = peer;
    const { changedRunners, parts, crashes, limits, draining } = received;
    const { places, streams, usage, ends, returned, shares, urgent } = received;
    const { overlay, loads } = this.#sources;
    if (urgent) this.#waitingAt = performance.now();
    const isChild = overlay.role(name) === "child";
    // Usage goes up the tree only, to the daemons that may lead.
    if (this.#relaysUsageOf(peer)) {
      this.#upstream.addUsage(usage);
      this.#addEnds(ends);
    }
    // In a small fleet the leader may be linked again seconds after this daemon.
    if (!overlay.relayed) this.#addEnds(returned);
    if (isChild) this.#upstreamShares.add(shares);
    if (overlay.isRelay) {
      this.#downstreamShares.add(shares);
      this.#downstreamPaces.add(received.paces);
      if (isChild) this.#upstreamPaces.add(received.paces);
    }
    const count = changedRunners.size + parts.length + crashes.crashed.length +
      crashes.responses.length + limits.length + draining.length +
      places.places.length + places.uses.length + streams.origins.length +
      streams.wanted.length;
    if (!overlay.isRelay || count === 0) return this.usageDue;
    const urgentRunners = [...changedRunners].filter((id) =>
      loads.isUrgent(id)
    );
    const outboxes = isChild
      ? [this.#downstream, this.#upstream]
      : [this.#downstream];
    for (const outbox of outboxes) {
      outbox.addRunners(changedRunners, urgent);
      outbox.addRunners(urgentRunners, true);
      outbox.addParts(parts, name);
      outbox.addCrashes(crashes, name);
      outbox.addLimits(limits, name);
      outbox.addDraining(draining, name);
      outbox.addPlaces(places, name);
      outbox.addOrigins(streams, name);
    }
    return true;
  }

  /**
   * Whether to relay the usage that a neighbour sends. Where that begins, others may
   * lack what was received before, and all is sent again.
   */
  #relaysUsageOf(peer: Peer): boolean {
    const { name } = peer;
    if (this.#sources.overlay.role(name) === "child") return true;
    if (!this.#relaysUsageOfHead(peer)) {
      this.#relayedHeads.delete(name);
      return false;
    }
    const { usage } = this.#sources;
    if (usage !== undefined && !this.#relayedHeads.has(name)) {
      this.#relayedHeads.add(name);
      this.#addEnds([...usage.ends().values()]);
    }
    return true;
  }

  /**
   * Adds ends, and with them all counts of the windows that they add to the ends
   * sent before. So no receiver has an end without the counts that it covers,
   * although the counts may have arrived on another path and were not relayed then.
   */
  #addEnds(ends: readonly UsageEnd[]): void {
    const { usage } = this.#sources;
    if (usage === undefined || ends.length === 0) return;
    const known = usage.ends();
    for (const incarnation of this.#sentEnds.keys()) {
      if (!known.has(incarnation)) this.#sentEnds.delete(incarnation);
    }
    for (const { incarnation } of ends) {
      const end = known.get(incarnation);
      if (end === undefined) continue;
      const sent = this.#sentEnds.get(incarnation) ?? -Infinity;
      this.#sentEnds.set(incarnation, end.window);
      this.#upstream.addUsage(usage.countsAfter(incarnation, sent));
      this.#upstream.addEnds([end]);
    }
  }

  /**
   * Whether to relay the usage of another failure domain, though its head sends it
   * to the heads of all. After daemons were cut off, views of who is head differ for
   * some time: a domain has two heads, or the supposed head of a domain is none.
   */
  #relaysUsageOfHead({ name, failureDomain }: Peer): boolean {
    const { overlay } = this.#sources;
    if (overlay.role(name) !== "head") return false;
    return !overlay.isHead ||
      overlay.peersWith("head").some((other) =>
        other.name !== name && other.failureDomain === failureDomain
      );
  }

  /**
   * Marks runners whose loads changed because a neighbour's report was removed.
   *
   * @param role the neighbour's former role.
   */
  retract(
    { name }: Peer,
    changed: Iterable<string>,
    role: Role | undefined,
  ): void {
    const ids = [...changed];
    this.#relayedHeads.delete(name);
    if (this.#sources.overlay.isRelay) this.#downstream.addRunners(ids, true);
    if (role === "child") this.#upstream.addRunners(ids, true);
  }

  /** Sends the collected changes to all neighbours. */
  broadcast(now: number): void {
    this.#sendUpstream(now);
    this.#sendDownstream(now);
  }

  /** Whether a daemon is linked that may lead, or that relays to one. */
  get reachesLeader(): boolean {
    return this.#upstreamPeers.length > 0;
  }

  /** Sends the collected changes to the daemons that may lead. */
  broadcastUsage(now: number): void {
    this.#sendUpstream(now);
  }

  /**
   * A snapshot for a peer that becomes a neighbour, or whose link has come up.
   */
  snapshotFor(peer: Peer): StateUpdate {
    const includes = this.#includedFor(peer);
    const versionsOnly = this.#sources.overlay.isSpare(peer);
    if (versionsOnly) return { ...this.versionsFor(peer), whole: true };
    const now = performance.now();
    const crashes = this.#sources.crashes.snapshot(now);
    const limits = this.#sources.limits.snapshot(now);
    const draining = this.#sources.draining.snapshot();
    const contacts = this.#contactsFor(peer);
    const loads = this.#sums.snapshot(includes);
    const isChild = this.#sources.overlay.role(peer.name) === "child";
    const usage = isChild ? [] : this.#sources.usage?.snapshot() ?? [];
    const ends = isChild ? [] : [...this.#sources.usage?.ends().values() ?? []];
    const lease = this.#sources.lease?.observation;
    const costs = this.#sources.shares;
    const shares = costs.sums(costs.greatest(MAX_SHARES, now), includes);
    const runners = { crashes, limits, draining };
    const confirmed = toConfirmationAges(this.#sources.confirmed);
    const contents = {
      contacts,
      ...runners,
      usage,
      lease,
      shares,
      ends,
      confirmed,
    };
    const update = { ...NO_CHANGES, ...contents };
    return { ...this.#stateUpdate(update, loads, includes), whole: true };
  }

  /**
   * All places in updates that follow a snapshot, as many in each as in any other
   * update.
   */
  placesFor(peer: Peer): readonly StateUpdate[] {
    if (this.#sources.overlay.isSpare(peer)) return [];
    const includes = this.#includedFor(peer);
    const { places, uses } = this.#sources.places.snapshot(performance.now());
    const updates = [
      ...partsOf(uses, MAX_PLACES).map((part) => ({ places: [], uses: part })),
      ...partsOf(places, MAX_PLACES).map((part) => ({
        places: part,
        uses: [],
      })),
    ];
    return updates.map((update) =>
      this.#stateUpdate({ ...NO_CHANGES, places: update }, [], includes)
    );
  }

  /**
   * Contacts for a peer's snapshot. A child missed the updates between the
   * opening of its link and its subscription; without this it would permanently
   * lack the contacts in them, and choose other relays than the
   * other daemons.
   */
  #contactsFor(peer: Peer): ContactUpdates {
    const isChild = this.#sources.overlay.role(peer.name) === "child";
    const contacts = isChild ? this.#sources.contactsFor(peer) : [];
    return { contacts, gone: [] };
  }

  /** An update with versions only. */
  versionsFor(peer: Peer): StateUpdate {
    const confirmed = toConfirmationAges(this.#sources.confirmed);
    const update = { ...NO_CHANGES, confirmed };
    return this.#stateUpdate(update, [], this.#includedFor(peer));
  }

  #sendUpstream(now: number): void {
    const { relayed } = this.#sources.overlay;
    const budget = relayed ? this.#upstreamBudget.available(now) : Infinity;
    const pending = this.#upstream.take(Math.max(0, budget / LOAD_BYTES));
    const loads = this.#sums.forRunners(pending.runners, this.#isChild);
    const receivers = this.#upstreamPeers;
    const flows = this.#upstreamShares.take(
      receivers.length,
      now,
      this.#anyoneWaits(now),
    );
    const paces = this.#upstreamPaces.take(receivers.length, now);
    const contents = {
      ...pending,
      streams: originUpdates(pending.streams),
      paces: this.#paceUpdates(paces, this.#isChild, now),
      shares: this.#sources.shares.sums(flows, this.#isChild),
      confirmed: this.#upstreamConfirmed.take(this.#sources.confirmed),
    };
    const frame = encodeMessage(
      this.#stateUpdate(contents, loads, this.#isChild),
    );
    this.#upstreamBudget.take(frame.length);
    for (const { link } of receivers) link.sendEncoded(frame);
  }

  get #upstreamPeers(): readonly Peer[] {
    const { overlay, peers } = this.#sources;
    return overlay.relayed
      ? overlay.peersWith("parent", "head")
      : peers().connected;
  }

  #sendDownstream(now: number): void {
    const budget = this.#downstreamBudget.available(now);
    const pending = this.#downstream.take(Math.max(0, budget / LOAD_BYTES));
    const totals = this.#sums.forRunners(pending.runners, () => true);
    let maxBytes = 0;
    const children = this.#sources.overlay.peersWith("child");
    const flows = this.#downstreamShares.take(
      children.length,
      now,
      this.#anyoneWaits(now),
    );
    const paces = this.#downstreamPaces.take(children.length, now);
    const confirmed = this.#downstreamConfirmed.take(this.#sources.confirmed);
    for (const { name, link } of children) {
      const frame = this.#frameFor(name, {
        pending,
        totals,
        paces,
        flows,
        confirmed,
        now,
      });
      maxBytes = Math.max(maxBytes, frame.length);
      link.sendEncoded(frame);
    }
    this.#downstreamBudget.take(maxBytes);
  }

  /** An encoded update for a child, without what the child reported itself. */
  #frameFor(
    child: string,
    { pending, totals, paces, flows, confirmed, now }: {
      readonly pending: OutgoingUpdate;
      readonly totals: readonly RunnerLoadEntry[];
      /** Ids of the runners whose pace is sent. */
      readonly paces: readonly string[];
      /** Flows whose costs are sent. */
      readonly flows: readonly Flow[];
      readonly confirmed: ConfirmationAges;
      readonly now: number;
    },
  ): Buffer {
    const others: NeighbourFilter = (name) => name !== child;
    const loads = this.#sums.without(child, totals);
    const isOthers = ({ from }: Sourced) => from !== child;
    const parts = pending.parts.filter(isOthers);
    const crashes = {
      crashed: pending.crashes.crashed.filter(isOthers),
      responses: pending.crashes.responses.filter(isOthers),
    };
    const limits = pending.limits.filter(isOthers);
    const draining = pending.draining.filter(isOthers);
    const places = {
      places: pending.places.places.filter(isOthers),
      uses: pending.places.uses.filter(isOthers),
    };
    const streams = originUpdates({
      origins: pending.streams.origins.filter(isOthers),
      wanted: pending.streams.wanted.filter(isOthers),
    });
    const received = { parts, crashes, limits, draining, places, streams };
    const contents = {
      ...pending,
      ...received,
      paces: this.#paceUpdates(paces, others, now),
      shares: this.#sources.shares.sums(flows, others),
      usage: [],
      ends: [],
      confirmed,
    };
    return encodeMessage(this.#stateUpdate(contents, loads, others));
  }

  #paceUpdates(
    runners: readonly string[],
    includes: NeighbourFilter,
    now: number,
  ): readonly PaceUpdate[] {
    return runners.flatMap((runner) =>
      this.#sources.paces.updateFor(runner, includes, now) ?? []
    );
  }

  #stateUpdate(
    {
      parts,
      contacts,
      crashes,
      limits,
      draining,
      paces,
      shares,
      places,
      streams,
      usage,
      lease,
      ends,
      confirmed,
    }: UpdateContents,
    loads: readonly RunnerLoadEntry[],
    includes: NeighbourFilter,
  ): StateUpdate {
    const now = performance.now();
    const { time, usage: meter } = this.#sources;
    return {
      kind: "state",
      ...this.#sources.versions(),
      confirmed,
      storeLost: this.#sources.storeLost(),
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
      draining: draining.map(({ runner, at }) => ({
        runner,
        agoMs: ageOf(at, now),
      })),
      paces: paces.map(({ runner, sums, stated }) => ({
        runner,
        sums,
        stated: stated && {
          hundredths: stated.hundredths,
          agoMs: ageOf(stated.at, now),
        },
      })),
      places: toPlaceAges(places, now),
      streams,
      members: this.#sources.counts.sumFrom(includes),
      // Only usage windows need the time.
      timeMs: meter && Math.round(time.now()),
      usage,
      lease: lease && {
        revision: lease.revision,
        holderId: lease.holderId,
        agoMs: ageOf(lease.at, now),
      },
      shares,
      ends,
    };
  }

  #anyoneWaits(now: number): boolean {
    return now - this.#waitingAt < WAITING_MS;
  }

  /** Selects the neighbours whose state an update for a peer includes. */
  #includedFor({ name }: Peer): NeighbourFilter {
    if (this.#sources.overlay.role(name) !== "child") return this.#isChild;
    return (other) => other !== name;
  }

  readonly #isChild: NeighbourFilter = (name) =>
    this.#sources.overlay.role(name) === "child";
}

function originUpdates({ origins, wanted }: SourcedOrigins): OriginUpdates {
  return { origins, wanted: wanted.map(({ stream }) => stream) };
}

/** Splits a list into parts of at most `length` items. */
function partsOf<Item>(
  items: readonly Item[],
  length: number,
): readonly (readonly Item[])[] {
  return Array.from(
    { length: Math.ceil(items.length / length) },
    (_, index) => items.slice(index * length, (index + 1) * length),
  );
}
