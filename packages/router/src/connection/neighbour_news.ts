/**
 * What neighbours are told of loads, and how much at a time.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Allowance } from "../process/allowance.ts";
import type { ContactBook } from "../process/contact_book.ts";
import type { PartsNews, PrefixRecord } from "../process/prefix_record.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { Neighbours } from "../process/runner_queue.ts";
import { LoadSums } from "./load_sums.ts";
import type { MembershipCounts } from "./membership_counts.ts";
import { Outbox } from "./outbox.ts";
import type { Post } from "./outbox.ts";
import type { Overlay, Role } from "./overlay.ts";
import { encodeMessage } from "./peer_link.ts";
import type { LoadShare, State, Versions } from "./peer_message.ts";
import type { Peer, Peers } from "./peers.ts";

/** Bytes of a runner's load in a message, about, while requests wait for it. */
const LOAD_BYTES = 100;
/**
 * Seconds over which the bytes that a neighbour is told are averaged. In a burst
 * of minutes, when what is known of runners matters most, it is told at the full
 * pace; held back then, daemons send to runners that others have filled.
 */
const BURST_SECONDS = 600;

/** A message without news. */
const NOTHING: Pick<Post, "parts" | "contacts"> = {
  parts: [],
  contacts: { contacts: [], gone: [] },
};

/** What is told, and to whom. */
export interface NewsSources {
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixRecord;
  readonly book: ContactBook;
  readonly counts: MembershipCounts;
  readonly overlay: Overlay;
  readonly peers: () => Peers;
  /** Versions that ride on each message. */
  readonly versions: () => Versions;
  /** Bytes a second that one neighbour is told, on average, through relays. */
  readonly controlBytesPerS: number;
}

/** Loads that a neighbour told, to be passed on. */
export interface ToldLoads {
  /** Ids of runners. */
  readonly changed: ReadonlySet<string>;
  readonly parts: readonly PartsNews[];
  /** Whether requests wait for them. */
  readonly urgent: boolean;
}

/**
 * Collects what changed here and at neighbours and tells it: to the parent or the
 * other heads what this daemon and its children have, to each child what all
 * others have. In a small fleet everybody is told what this daemon has.
 */
export class NeighbourNews {
  readonly #sources: NewsSources;
  readonly #sums: LoadSums;
  /** For the parent or the other heads, or for everybody in a small fleet. */
  readonly #near = new Outbox();
  /** For children. */
  readonly #all = new Outbox();
  readonly #nearAllowance: Allowance;
  readonly #allAllowance: Allowance;

  constructor(sources: NewsSources) {
    this.#sources = sources;
    this.#sums = new LoadSums(sources.loads);
    const rate = {
      perSecond: sources.controlBytesPerS,
      burstSeconds: BURST_SECONDS,
    };
    this.#nearAllowance = new Allowance(rate);
    this.#allAllowance = new Allowance(rate);
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
    const { loads, prefixes, book, overlay } = this.#sources;
    const changed = loads.takeChanged();
    const parts = prefixes.takeNews();
    const contacts = book.hasNews ? book.takeNews() : undefined;
    const outboxes = overlay.relays ? [this.#near, this.#all] : [this.#near];
    for (const outbox of outboxes) {
      outbox.addRunners(changed, loads.waits);
      outbox.addParts(parts);
      if (contacts !== undefined) outbox.addContacts(contacts);
    }
  }

  /**
   * Notes what a neighbour told for those that lack it.
   *
   * @returns whether there is anybody to tell.
   */
  passOn({ name }: Peer, { changed, parts, urgent }: ToldLoads): boolean {
    const { overlay } = this.#sources;
    if (!overlay.relays || changed.size + parts.length === 0) return false;
    this.#all.addRunners(changed, urgent);
    this.#all.addParts(parts, name);
    if (overlay.role(name) !== "child") return true;
    this.#near.addRunners(changed, urgent);
    this.#near.addParts(parts, name);
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
  whole(peer: Peer): State {
    const counts = this.#toldTo(peer);
    const silent = this.#sources.overlay.isSpare(peer);
    const loads = silent ? [] : this.#sums.all(counts);
    return { ...this.#state(NOTHING, loads, counts), whole: true };
  }

  /** A message that tells a peer versions only. */
  versionsFor(peer: Peer): State {
    return this.#state(NOTHING, [], this.#toldTo(peer));
  }

  #tellNear(now: number): void {
    const { overlay, peers } = this.#sources;
    const { relayed } = overlay;
    const left = relayed ? this.#nearAllowance.left(now) : Infinity;
    const post = this.#near.take(Math.max(0, left / LOAD_BYTES));
    const loads = this.#sums.of(post.runners, this.#isChild);
    const frame = encodeMessage(this.#state(post, loads, this.#isChild));
    this.#nearAllowance.take(frame.length);
    const told = relayed ? overlay.peersWith("parent", "head") : peers().alive;
    for (const { link } of told) link.sendEncoded(frame);
  }

  #tellChildren(now: number): void {
    const left = this.#allAllowance.left(now);
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
    post: Post,
    everything: readonly LoadShare[],
  ): Buffer {
    const others: Neighbours = (name) => name !== child;
    const loads = this.#sums.without(child, everything);
    const parts = post.parts.filter(({ from }) => from !== child);
    return encodeMessage(this.#state({ ...post, parts }, loads, others));
  }

  #state(
    { parts, contacts }: Pick<Post, "parts" | "contacts">,
    loads: readonly LoadShare[],
    counts: Neighbours,
  ): State {
    return {
      kind: "state",
      ...this.#sources.versions(),
      ...contacts,
      whole: false,
      loads,
      parts,
      members: this.#sources.counts.sumBy(counts),
    };
  }

  /** Whose loads and number a peer is told, beside those of this daemon. */
  #toldTo({ name }: Peer): Neighbours {
    if (this.#sources.overlay.role(name) !== "child") return this.#isChild;
    return (other) => other !== name;
  }

  readonly #isChild: Neighbours = (name) =>
    this.#sources.overlay.role(name) === "child";
}
