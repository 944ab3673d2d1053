/**
 * Which daemons this one is linked to, and what each link is for.
 *
 * @module
 */
import { LINK_LOST_MS, UnreachableDaemons } from "../process/absences.ts";
import { inRankOrder, ranksBefore } from "../process/contact.ts";
import type { Contact } from "../process/contact.ts";
import type { ContactBook } from "../process/contact_book.ts";
import type { EventLog } from "../process/event_log.ts";
import { planLinks, relayCount } from "../process/link_plan.ts";
import type { LinkPlan } from "../process/link_plan.ts";
import type { MemberCounts, Subscribe } from "./peer_message.ts";
import type { Peer, Peers } from "./peers.ts";

/**
 * What a peer is to this daemon: `parent` and `child` in the tree of a failure
 * domain, `head` of another one. Without a role a link carries versions only.
 */
export type Role = "parent" | "child" | "head";

/** Shortest time between two plans, in ms, so that news in a burst is taken together. */
const PLAN_MS = 100;
/**
 * Times without answer after which others are told that a daemon is gone, so that
 * one of them need not dial each dead daemon that ranked before it.
 */
const GONE_AFTER = 2;
/**
 * The same in a small fleet, about a minute: there is room for all, and a daemon
 * that was cut off is dialled until it is back.
 */
const GONE_AFTER_DIRECT = 30;
/**
 * Contacts of a failure domain that are kept whether they answer or not. When all
 * of it is cut off for a while, these are how both sides find each other again.
 */
const LEAST_CONTACTS = 2;
/** Milliseconds for which a link is kept that this daemon does not need any more. */
const LINGER_MS = 2_000;
/** Part of `relaysFrom` below which a fleet goes back to telling all directly. */
const DIRECT_SHARE = 0.75;
/** Milliseconds for which it must have been so small. */
const DIRECT_AFTER_MS = 5_000;

/**
 * Daemons that one that has just started links to at first in a fleet that looks
 * small: which of the others it will need shows when it has heard of them all.
 */
const FIRST_LINKS = 5;
/** Milliseconds after which it has. */
const MEET_MS = 500;

/** What the overlay is made of, and who is told of changes. */
export interface OverlayDependencies {
  readonly own: Contact;
  readonly book: ContactBook;
  readonly log: EventLog;
  /** Daemons from which on loads go through relays. */
  readonly relaysFrom: number;
  readonly peers: Peers;
  /** Daemons that can be heard of, with this one. */
  members(): MemberCounts;
  /** The role of a peer has changed from `before`. */
  roleChanged(peer: Peer, before: Role | undefined): void;
}

/**
 * Keeps the links that {@linkcode planLinks} names, once the fleet is so large
 * that not everybody can tell everybody. Roles come from subscriptions: a child
 * subscribes at its parent, a head at the other heads, and the one that is asked
 * serves, whatever it takes for itself. What differs between the views of two
 * daemons costs a link or a while without news, but a parent always ranks before
 * its children, so that no load is counted twice.
 */
export class Overlay {
  readonly #host: OverlayDependencies;
  readonly #own: Contact;
  /** Where this daemon has subscribed, and for what. */
  readonly #asked = new Map<string, Subscribe["scope"]>();
  /** Who has subscribed here, and for what. */
  readonly #askedBy = new Map<string, Subscribe["scope"]>();
  readonly #absences = new UnreachableDaemons();
  readonly #idleSince = new Map<string, number>();
  /** Peers to keep links to, whether they have a role or not. */
  #planned: ReadonlySet<string> = new Set();
  /** Peers whose links are closed because neither side needs them. */
  readonly #parting = new WeakSet<Peer>();
  readonly #startedAt = performance.now();
  #relayed = false;
  #head = false;
  #smallSince = Infinity;
  #plannedAt = -Infinity;
  /** Relays of the own failure domain in the last plan. */
  #relays = 1;
  #stale = true;

  constructor(host: OverlayDependencies) {
    this.#host = host;
    this.#own = host.own;
  }

  /** Whether loads go through relays. */
  get relayed(): boolean {
    return this.#relayed;
  }

  /** Whether this daemon hears of its whole failure domain, and of the others. */
  get isHead(): boolean {
    return this.#head;
  }

  /** Whether this daemon passes on what others tell. */
  get isRelay(): boolean {
    return [...this.#askedBy.values()].includes("fleet");
  }

  /** What a peer is to this daemon. */
  role(name: string): Role | undefined {
    if (this.#askedBy.get(name) === "fleet") return "child";
    if (this.#asked.get(name) === "fleet") return "parent";
    const headed = this.#asked.has(name) || this.#askedBy.has(name);
    return headed ? "head" : undefined;
  }

  /** Whether a peer's link carries versions only. */
  isSpare({ name }: Peer): boolean {
    return this.#relayed && this.role(name) === undefined;
  }

  /** Peers with one of these roles. */
  peersWith(...roles: readonly Role[]): readonly Peer[] {
    return this.#host.peers.connected.filter(({ name }) => {
      const role = this.role(name);
      return role !== undefined && roles.includes(role);
    });
  }

  /** A link is up. */
  joined(peer: Peer): void {
    this.#absences.markReachable(peer.name);
    this.invalidate();
    this.#chooseWay(performance.now());
  }

  /** A link is down. */
  left(peer: Peer): void {
    const before = this.role(peer.name);
    this.#asked.delete(peer.name);
    this.#askedBy.delete(peer.name);
    this.#idleSince.delete(peer.name);
    const chosen = this.#parting.has(peer);
    if (!chosen) this.#absences.linkLost(peer, performance.now());
    if (before !== undefined) this.#host.roleChanged(peer, before);
    this.invalidate();
  }

  /** Nobody answers at an address. */
  unreachable(address: string): void {
    const { book, log } = this.#host;
    const contact = book.all().find((each) => each.address === address);
    if (contact === undefined) return;
    const now = performance.now();
    const times = this.#absences.dialFailed(contact, now);
    this.invalidate();
    if (!this.#isGone(contact, times)) return;
    if (book.remove(contact, now)) {
      log.event("daemon_gone", { name: contact.name, address, times });
    }
  }

  /** Daemons that are taken to live, as far as known. */
  reachable(now: number): readonly Contact[] {
    return this.#host.book.all()
      .filter((each) => this.#absences.isReachable(each, now));
  }

  /** A peer does not need its link any more. */
  handleUnneeded(peer: Peer): void {
    const { name, link } = peer;
    const needed = !this.#relayed || this.#planned.has(name) ||
      this.role(name) !== undefined;
    if (needed) return;
    this.#parting.add(peer);
    link.close();
  }

  /** Something that links follow from has changed. */
  invalidate(): void {
    this.#stale = true;
  }

  /** A peer asks for loads, or does so no more. */
  handleSubscribe(peer: Peer, scope: Subscribe["scope"]): void {
    const before = this.role(peer.name);
    if (scope === "none") {
      this.#askedBy.delete(peer.name);
    } else if (this.#mayAsk(peer, scope)) {
      this.#askedBy.set(peer.name, scope);
    } else {
      this.#host.log.event("subscription_refused", { name: peer.name, scope });
    }
    const after = this.role(peer.name);
    if (before !== after) this.#host.roleChanged(peer, before);
    this.invalidate();
  }

  /** Sees to it that links and roles fit what is known. */
  reconcile(now: number): void {
    this.#chooseWay(now);
    if (!this.#stale && !this.#isDue(now)) return;
    if (this.#relayed && now - this.#plannedAt < PLAN_MS) return;
    this.#plannedAt = now;
    this.#stale = false;
    if (!this.#relayed) return this.#linkAll(now);
    const plan = this.#plan(now);
    this.#head = plan.parent === undefined;
    const wanted = wantedBy(plan);
    this.#host.peers.maintainLinks(
      new Set(wanted.map(({ address }) => address)),
    );
    this.#planned = new Set(wanted.map(({ name }) => name));
    this.#subscribe(plan);
    this.#partIdle(now);
  }

  /** Whether time alone may have changed the plan. */
  #isDue(now: number): boolean {
    if (relayCount(this.#host.members().domain) !== this.#relays) return true;
    return now - this.#plannedAt >= LINK_LOST_MS &&
      (this.#absences.any || this.#idleSince.size > 0);
  }

  #mayAsk(peer: Peer, scope: Subscribe["scope"]): boolean {
    const sameDomain = peer.failureDomain === this.#own.failureDomain;
    if (scope === "domain") return !sameDomain;
    return sameDomain && ranksBefore(this.#own, peer);
  }

  /** A daemon that reaches nobody says nothing about others. */
  #isGone({ failureDomain }: Contact, times: number): boolean {
    const { book, peers } = this.#host;
    if (peers.count === 0) return false;
    if (times < (this.#relayed ? GONE_AFTER : GONE_AFTER_DIRECT)) return false;
    const ofDomain = book.all()
      .filter((each) => each.failureDomain === failureDomain);
    return ofDomain.length > LEAST_CONTACTS;
  }

  #chooseWay(now: number): void {
    const { book, relaysFrom, members, log } = this.#host;
    const size = Math.max(book.size + 1, members().fleet);
    if (size >= DIRECT_SHARE * relaysFrom || this.isRelay) {
      this.#smallSince = Infinity;
    } else if (this.#smallSince === Infinity) {
      this.#smallSince = now;
    }
    const relayed = size >= relaysFrom || this.isRelay ||
      (this.#relayed && now - this.#smallSince < DIRECT_AFTER_MS);
    if (relayed === this.#relayed) return;
    this.#relayed = relayed;
    this.#stale = true;
    log.event("relaying_changed", { relayed, size });
    // What was told directly is void. Neighbours in the tree stay: they have told
    // the whole of what they know, and would not tell it again.
    for (const peer of this.#host.peers.connected) {
      if (this.role(peer.name) !== undefined) continue;
      this.#host.roleChanged(peer, undefined);
    }
  }

  #linkAll(now: number): void {
    const { book, peers } = this.#host;
    for (const name of [...this.#asked.keys()]) this.#ask(name, "none");
    const met = now - this.#startedAt >= MEET_MS;
    const ranked = inRankOrder(book.all());
    const links = met ? ranked : ranked.slice(0, FIRST_LINKS);
    peers.maintainLinks(new Set(links.map(({ address }) => address)));
    this.#stale = links.length < ranked.length;
  }

  #plan(now: number): LinkPlan {
    const { domain } = this.#host.members();
    this.#relays = relayCount(domain);
    return planLinks(this.#own, this.reachable(now), domain);
  }

  /** Subscribes where the plan says, as far as links are up. */
  #subscribe(plan: LinkPlan): void {
    const { peers } = this.#host;
    const targets = plan.parent === undefined ? plan.heads : [plan.parent];
    const scope = plan.parent === undefined ? "domain" : "fleet";
    const up = targets.filter(({ name }) => peers.get(name) !== undefined);
    // The parent so far serves until the link to the next one is up.
    if (plan.parent !== undefined && up.length === 0) return;
    const names = new Set(targets.map(({ name }) => name));
    for (const [name, before] of [...this.#asked]) {
      if (!names.has(name) || before !== scope) this.#ask(name, "none");
    }
    for (const { name } of up) {
      if (!this.#asked.has(name)) this.#ask(name, scope);
    }
  }

  #ask(name: string, scope: Subscribe["scope"]): void {
    const { peers, log, roleChanged } = this.#host;
    const before = this.role(name);
    if (scope === "none") this.#asked.delete(name);
    else this.#asked.set(name, scope);
    const peer = peers.get(name);
    if (peer === undefined) return;
    peer.link.send({ kind: "subscribe", scope });
    const after = this.role(name);
    if (after === before) return;
    if (after !== undefined) log.event("relay_chosen", { name, role: after });
    roleChanged(peer, before);
  }

  /** Has links closed that this daemon dialled and neither side needs. */
  #partIdle(now: number): void {
    for (const peer of this.#host.peers.connected) {
      const { name, dialled, link } = peer;
      const idle = dialled && !this.#planned.has(name) &&
        this.role(name) === undefined;
      if (!idle) {
        this.#idleSince.delete(name);
        continue;
      }
      const since = this.#idleSince.get(name) ?? now;
      this.#idleSince.set(name, since);
      if (now - since < LINGER_MS) continue;
      this.#idleSince.set(name, now);
      this.#parting.add(peer);
      link.send({ kind: "unneeded" });
    }
  }
}

function wantedBy(plan: LinkPlan): readonly Contact[] {
  const { parent, spare, heads } = plan;
  return [parent, spare, ...heads].filter((each) => each !== undefined);
}
