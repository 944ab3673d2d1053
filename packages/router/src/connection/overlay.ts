/**
 * Decides which peers a daemon links to, and which role each peer has.
 *
 * @module
 */
import {
  LINK_LOST_MS,
  UnreachableDaemons,
} from "../process/unreachable_daemons.ts";
import { inRankOrder, ranksBefore } from "../process/contact.ts";
import type { Contact } from "../process/contact.ts";
import type { ContactBook } from "../process/contact_book.ts";
import type { EventLog } from "../process/event_log.ts";
import { planLinks, relayCount } from "../process/link_plan.ts";
import type { LinkPlan } from "../process/link_plan.ts";
import type { MemberCounts, Subscribe } from "./peer_message.ts";
import type { Peer, Peers } from "./peers.ts";

/**
 * Role of a peer: `parent` or `child` in the tree of this daemon's failure domain,
 * or `head`, the root of another domain's tree (see link_plan.ts). A link to a peer
 * without a role carries versions only, in a fleet with relays.
 */
export type Role = "parent" | "child" | "head";

/** Shortest time between two plans, which batches bursts of changes. */
const PLAN_INTERVAL_MS = 100;
/**
 * Failed dials after which a daemon is reported gone to the others. If it were not,
 * each daemon would have to dial every dead daemon that ranks before it.
 */
const MAX_DIALS = 2;
/**
 * The same in a fleet without relays, where each daemon keeps the contacts of all
 * others. The dials take about a minute, so that a daemon that was cut off is
 * dialled until it is back.
 */
const MAX_DIALS_DIRECT = 30;
/**
 * Contacts of a failure domain that are kept even if they are unreachable.
 * After a partition that cut off the whole domain, both sides find each other
 * by them.
 */
const MIN_DOMAIN_CONTACTS = 2;
/** Milliseconds for which a link that this daemon no longer needs stays open. */
const LINGER_MS = 2_000;
/** Share of `relaysFrom` below which a fleet returns to direct links. */
const DIRECT_SHARE = 0.75;
/** Milliseconds for which the fleet must have been below that size. */
const DIRECT_DELAY_MS = 5_000;

/**
 * Links that a daemon opens after its start in a fleet that looks small, until it
 * has received the contacts of the others and can tell which links it needs.
 */
const INITIAL_LINKS = 5;
/** Milliseconds in which a daemon that starts receives these contacts. */
const DISCOVERY_MS = 500;

/** The overlay's data sources, and the listener for changes of roles. */
export interface OverlayContext {
  readonly own: Contact;
  readonly book: ContactBook;
  readonly log: EventLog;
  /** Fleet size from which loads go through relays. */
  readonly relaysFrom: number;
  readonly peers: Peers;
  /** The recent sizes of the fleet and of this daemon's failure domain. */
  members(): MemberCounts;
  /** Called after the role of a peer changed from `before`. */
  roleChanged(peer: Peer, before: Role | undefined): void;
}

/**
 * Links all daemons of a small fleet to each other, and maintains the links that
 * {@linkcode planLinks} plans in a fleet that is too large for that.
 *
 * Roles follow from subscriptions: a child subscribes to its parent, a head to
 * the other heads, and a daemon serves its subscribers whatever its own plan
 * says. Where the views of two daemons differ, they have a needless link, or
 * miss updates for a while. A parent always ranks before its children, so no
 * load is counted twice.
 */
export class Overlay {
  readonly #context: OverlayContext;
  readonly #own: Contact;
  /** Scopes of this daemon's subscriptions, by the peer subscribed to. */
  readonly #subscriptions = new Map<string, Subscribe["scope"]>();
  /** Scopes of the subscriptions of peers to this daemon. */
  readonly #subscribers = new Map<string, Subscribe["scope"]>();
  readonly #unreachable = new UnreachableDaemons();
  readonly #idleSince = new Map<string, number>();
  /** Names of the peers in the last plan. */
  #planned: ReadonlySet<string> = new Set();
  /** Peers whose links are being closed because neither side needs them. */
  readonly #closing = new WeakSet<Peer>();
  readonly #startedAt = performance.now();
  #relayed = false;
  #head = false;
  #smallSince = Infinity;
  #plannedAt = -Infinity;
  /** Number of relays of this daemon's failure domain in the last plan. */
  #relayCount = 1;
  /** Whether the links must be planned again. */
  #planStale = true;

  constructor(context: OverlayContext) {
    this.#context = context;
    this.#own = context.own;
  }

  /** Whether loads go through relays. */
  get relayed(): boolean {
    return this.#relayed;
  }

  /**
   * Whether this daemon is the head of its failure domain, and thus receives the
   * updates of all failure domains.
   */
  get isHead(): boolean {
    return this.#head;
  }

  /** Whether this daemon has children to relay updates to. */
  get isRelay(): boolean {
    return [...this.#subscribers.values()].includes("fleet");
  }

  /** The role of a peer, if it has one. */
  role(name: string): Role | undefined {
    if (this.#subscribers.get(name) === "fleet") return "child";
    if (this.#subscriptions.get(name) === "fleet") return "parent";
    const isHead = this.#subscriptions.has(name) || this.#subscribers.has(name);
    return isHead ? "head" : undefined;
  }

  /** Whether a peer has no role, so that its link carries versions only. */
  isSpare({ name }: Peer): boolean {
    return this.#relayed && this.role(name) === undefined;
  }

  /** Peers with one of these roles. */
  peersWith(...roles: readonly Role[]): readonly Peer[] {
    return this.#context.peers.connected.filter(({ name }) => {
      const role = this.role(name);
      return role !== undefined && roles.includes(role);
    });
  }

  /** Handles a link that has come up. */
  joined(peer: Peer): void {
    this.#unreachable.markReachable(peer.name);
    this.invalidate();
    this.#chooseTopology(performance.now());
  }

  /** Handles a link that has closed. */
  left(peer: Peer): void {
    const before = this.role(peer.name);
    this.#subscriptions.delete(peer.name);
    this.#subscribers.delete(peer.name);
    this.#idleSince.delete(peer.name);
    const closedHere = this.#closing.has(peer);
    if (!closedHere) this.#unreachable.linkLost(peer, performance.now());
    if (before !== undefined) this.#context.roleChanged(peer, before);
    this.invalidate();
  }

  /** Handles an address at which dials fail repeatedly. */
  unreachable(address: string): void {
    const { book, log } = this.#context;
    const contact = book.all().find((entry) => entry.address === address);
    if (contact === undefined) return;
    const now = performance.now();
    const dials = this.#unreachable.dialFailed(contact, now);
    this.invalidate();
    if (!this.#isGone(contact, dials)) return;
    if (book.remove(contact, now)) {
      log.event("daemon_gone", {
        name: contact.name,
        address,
        times: dials,
      });
    }
  }

  /** Other daemons that are presumed alive. */
  reachable(now: number): readonly Contact[] {
    return this.#context.book.all()
      .filter((entry) => this.#unreachable.isReachable(entry, now));
  }

  /** Closes a link that the peer does not need, unless this daemon does. */
  handleUnneeded(peer: Peer): void {
    const { name, link } = peer;
    const needed = !this.#relayed || this.#planned.has(name) ||
      this.role(name) !== undefined;
    if (needed) return;
    this.#closing.add(peer);
    link.close();
  }

  /** Marks the plan as stale. */
  invalidate(): void {
    this.#planStale = true;
  }

  /** Adds, replaces or removes the subscription of a peer. */
  handleSubscribe(peer: Peer, scope: Subscribe["scope"]): void {
    const before = this.role(peer.name);
    if (scope === "none") {
      this.#subscribers.delete(peer.name);
    } else if (this.#maySubscribe(peer, scope)) {
      this.#subscribers.set(peer.name, scope);
    } else {
      this.#context.log.event("subscription_refused", {
        name: peer.name,
        scope,
      });
    }
    const after = this.role(peer.name);
    if (before !== after) this.#context.roleChanged(peer, before);
    this.invalidate();
  }

  /** Adapts links and subscriptions to the known contacts and sizes. */
  reconcile(now: number): void {
    this.#chooseTopology(now);
    if (!this.#planStale && !this.#isDue(now)) return;
    if (this.#relayed && now - this.#plannedAt < PLAN_INTERVAL_MS) return;
    this.#plannedAt = now;
    this.#planStale = false;
    if (!this.#relayed) return this.#linkAll(now);
    const plan = this.#plan(now);
    this.#head = plan.parent === undefined;
    const contacts = contactsIn(plan);
    this.#context.peers.maintainLinks(
      new Set(contacts.map(({ address }) => address)),
    );
    this.#planned = new Set(contacts.map(({ name }) => name));
    this.#subscribe(plan);
    this.#closeIdleLinks(now);
  }

  /** Whether the plan is to be renewed without an invalidation. */
  #isDue(now: number): boolean {
    if (relayCount(this.#context.members().domain) !== this.#relayCount) {
      return true;
    }
    return now - this.#plannedAt >= LINK_LOST_MS &&
      (this.#unreachable.any || this.#idleSince.size > 0);
  }

  #maySubscribe(peer: Peer, scope: Subscribe["scope"]): boolean {
    const sameDomain = peer.failureDomain === this.#own.failureDomain;
    if (scope === "domain") return !sameDomain;
    return sameDomain && ranksBefore(this.#own, peer);
  }

  /**
   * Whether a daemon counts as gone after a number of failed dials. While this
   * daemon reaches no peer, it cannot tell.
   */
  #isGone({ failureDomain }: Contact, dials: number): boolean {
    const { book, peers } = this.#context;
    if (peers.count === 0) return false;
    if (dials < (this.#relayed ? MAX_DIALS : MAX_DIALS_DIRECT)) return false;
    const ofDomain = book.all()
      .filter((entry) => entry.failureDomain === failureDomain);
    return ofDomain.length > MIN_DOMAIN_CONTACTS;
  }

  #chooseTopology(now: number): void {
    const { book, relaysFrom, members, log } = this.#context;
    const size = Math.max(book.size + 1, members().fleet);
    if (size >= DIRECT_SHARE * relaysFrom || this.isRelay) {
      this.#smallSince = Infinity;
    } else if (this.#smallSince === Infinity) {
      this.#smallSince = now;
    }
    const relayed = size >= relaysFrom || this.isRelay ||
      (this.#relayed && now - this.#smallSince < DIRECT_DELAY_MS);
    if (relayed === this.#relayed) return;
    this.#relayed = relayed;
    this.#planStale = true;
    log.event("relaying_changed", { relayed, size });
    // Discards the loads received over direct links. Peers in the tree keep their
    // roles: they have sent their snapshots and would not send them again.
    for (const peer of this.#context.peers.connected) {
      if (this.role(peer.name) !== undefined) continue;
      this.#context.roleChanged(peer, undefined);
    }
  }

  #linkAll(now: number): void {
    const { book, peers } = this.#context;
    for (const name of [...this.#subscriptions.keys()]) {
      this.#setSubscription(name, "none");
    }
    const discovered = now - this.#startedAt >= DISCOVERY_MS;
    const ranked = inRankOrder(book.all());
    const links = discovered ? ranked : ranked.slice(0, INITIAL_LINKS);
    peers.maintainLinks(new Set(links.map(({ address }) => address)));
    this.#planStale = links.length < ranked.length;
  }

  #plan(now: number): LinkPlan {
    const { domain } = this.#context.members();
    this.#relayCount = relayCount(domain);
    return planLinks(this.#own, this.reachable(now), domain);
  }

  /** Subscribes to the peers of the plan whose links are up. */
  #subscribe(plan: LinkPlan): void {
    const { peers } = this.#context;
    const targets = plan.parent === undefined ? plan.heads : [plan.parent];
    const scope = plan.parent === undefined ? "domain" : "fleet";
    const linked = targets.filter(({ name }) => peers.get(name) !== undefined);
    // Keeps the current parent until the link to the next one is up.
    if (plan.parent !== undefined && linked.length === 0) return;
    const names = new Set(targets.map(({ name }) => name));
    for (const [name, before] of [...this.#subscriptions]) {
      if (!names.has(name) || before !== scope) {
        this.#setSubscription(name, "none");
      }
    }
    for (const { name } of linked) {
      if (!this.#subscriptions.has(name)) this.#setSubscription(name, scope);
    }
  }

  #setSubscription(name: string, scope: Subscribe["scope"]): void {
    const { peers, log, roleChanged } = this.#context;
    const before = this.role(name);
    if (scope === "none") this.#subscriptions.delete(name);
    else this.#subscriptions.set(name, scope);
    const peer = peers.get(name);
    if (peer === undefined) return;
    peer.link.send({ kind: "subscribe", scope });
    const after = this.role(name);
    if (after === before) return;
    if (after !== undefined) log.event("relay_chosen", { name, role: after });
    roleChanged(peer, before);
  }

  /** Offers to close the links that this daemon dialled and no longer needs. */
  #closeIdleLinks(now: number): void {
    for (const peer of this.#context.peers.connected) {
      const { name, dialled, link } = peer;
      const isIdle = dialled && !this.#planned.has(name) &&
        this.role(name) === undefined;
      if (!isIdle) {
        this.#idleSince.delete(name);
        continue;
      }
      const since = this.#idleSince.get(name) ?? now;
      this.#idleSince.set(name, since);
      if (now - since < LINGER_MS) continue;
      this.#idleSince.set(name, now);
      this.#closing.add(peer);
      link.send({ kind: "unneeded" });
    }
  }
}

function contactsIn(plan: LinkPlan): readonly Contact[] {
  const { parent, spare, heads } = plan;
  return [parent, spare, ...heads].filter((contact) => contact !== undefined);
}
