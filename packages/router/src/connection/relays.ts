/**
 * States of daemons, passed on by one daemon of each failure domain.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import type { PartsNews } from "../process/prefix_record.ts";
import { relayOf } from "../process/relay_plan.ts";
import type { RelayCandidate } from "../process/relay_plan.ts";
import { stateMessage } from "./load_states.ts";
import { encodeMessage } from "./peer_link.ts";
import type {
  Batch,
  DaemonState,
  LoadShare,
  PeerMessage,
  Subscribe,
} from "./peer_message.ts";
import type { Peer } from "./peers.ts";

/**
 * Milliseconds between two batches of a relay. A state passes two relays at
 * most, so it is at most two of these old, and the time until it is sent.
 */
export const BATCH_MS = 40;
/**
 * Milliseconds between two batches while no request waits for a runner. What is
 * older matters when several daemons want the last room at one runner, and then
 * requests wait. A batch wakes every daemon of a domain: 25 a second were an
 * eighth of the processor time of a daemon at 8 requests a second.
 */
const CALM_BATCH_MS = 120;
/** Milliseconds by which a timer may fire early; without them a batch is skipped. */
const EARLY_MS = 2;
/** Longest time between two batches, so that silence tells a lost relay. */
const HEARTBEAT_MS = 400;

/** What relays are told by, and tell. */
export interface RelayHost {
  readonly own: RelayCandidate;
  readonly log: EventLog;
  /** Peers whose links are up. */
  peers(): readonly Peer[];
  /** Versions that ride on each batch. */
  versions(): Pick<Batch, "configuration" | "runners">;
  /** The whole state of this daemon. */
  ownState(): DaemonState;
  /** The whole states of all daemons, as far as known here. */
  allStates(): readonly DaemonState[];
  /** Called when {@linkcode Relays.isClose} may have changed for a peer. */
  closenessChanged(): void;
}

/** Whether a state says more than that its daemon lives. */
function isNews({ whole, loads, parts }: Omit<DaemonState, "daemon">): boolean {
  return whole || loads.length > 0 || parts.length > 0;
}

/** What one daemon told since the last batch: the last share of a runner counts. */
class PendingState {
  #whole = false;
  readonly #loads = new Map<string, LoadShare>();
  readonly #parts: PartsNews[] = [];

  add({ whole, loads, parts }: DaemonState): void {
    if (whole) {
      this.#whole = true;
      this.#loads.clear();
    }
    for (const load of loads) this.#loads.set(load.runner, load);
    this.#parts.push(...parts);
  }

  state(daemon: string): DaemonState {
    const loads = [...this.#loads.values()];
    return { daemon, whole: this.#whole, loads, parts: this.#parts };
  }
}

/** What goes out with the next batch. */
class Pending {
  #states = new Map<string, PendingState>();
  #gone = new Set<string>();
  #urgent = false;

  add(state: DaemonState): void {
    const { daemon, whole, loads } = state;
    const waits = loads.some(({ waiting }) => waiting.length > 0);
    this.#urgent ||= whole || waits;
    const pending = this.#states.get(daemon) ?? new PendingState();
    this.#states.set(daemon, pending);
    pending.add(state);
    this.#gone.delete(daemon);
  }

  remove(daemon: string): void {
    this.#states.delete(daemon);
    this.#gone.add(daemon);
    this.#urgent = true;
  }

  get empty(): boolean {
    return this.#states.size === 0 && this.#gone.size === 0;
  }

  /**
   * Whether others should know soon: requests wait for a runner, or what was
   * known of a daemon is no longer true.
   */
  get urgent(): boolean {
    return this.#urgent;
  }

  /** All that came since the last call. */
  take(): Pick<Batch, "states" | "gone"> {
    const states = [...this.#states].map(([daemon, pending]) =>
      pending.state(daemon)
    );
    const gone = [...this.#gone];
    this.#states = new Map();
    this.#gone = new Set();
    this.#urgent = false;
    return { states, gone };
  }
}

/**
 * Sends states to the relay of this daemon's failure domain and, where others
 * chose this daemon, passes theirs on.
 *
 * Told directly, 65 daemons send 16,000 states a second and each is 260 ms old;
 * through relays the same news takes a fifth of the messages. Who relays follows
 * from subscriptions: a daemon subscribes at the one that it takes for its
 * domain's relay, and that one serves it whatever it takes for itself. Daemons
 * that relay say so to all and subscribe at each other, each for what the
 * other's own subscribers tell, so that nothing goes round.
 */
export class Relays {
  readonly #host: RelayHost;
  readonly #subscribers = new Map<string, Subscribe["scope"]>();
  /** Peers that said that they relay. */
  readonly #relaying = new Set<string>();
  /** Where this daemon has subscribed, and for what. */
  readonly #subscriptions = new Map<string, Subscribe["scope"]>();
  /** From this daemon and its subscribers; goes to other relays too. */
  readonly #near = new Pending();
  /** From other relays; goes to subscribers. */
  readonly #far = new Pending();
  #acting = false;
  #sentAt = -Infinity;
  #sentVersions: Pick<Batch, "configuration" | "runners"> | undefined;
  #settledAt = -Infinity;

  constructor(host: RelayHost) {
    this.#host = host;
  }

  /** Whether this daemon passes states on. */
  get acting(): boolean {
    return this.#acting;
  }

  /** Whether a peer owes batches or states at short intervals. */
  isClose(peer: Peer): boolean {
    return this.#subscriptions.has(peer.name) ||
      this.#subscribers.get(peer.name) === "fleet";
  }

  /** A link is up. */
  joined(peer: Peer): void {
    if (this.#acting) peer.link.send({ kind: "relaying", on: true });
  }

  /** A link is down. */
  left(peer: Peer): void {
    this.#subscriptions.delete(peer.name);
    this.#relaying.delete(peer.name);
    if (this.#subscribers.delete(peer.name)) this.#near.remove(peer.name);
  }

  /** Takes a message that concerns relays. */
  received(peer: Peer, message: PeerMessage): void {
    switch (message.kind) {
      case "subscribe":
        return this.#subscribed(peer, message.scope);
      case "relaying":
        if (message.on) this.#relaying.add(peer.name);
        else this.#relaying.delete(peer.name);
        return;
      case "state":
        if (this.#subscribers.get(peer.name) !== "fleet") return;
        return this.#pass({ ...message, daemon: peer.name });
      case "batch":
        if (this.#subscriptions.get(peer.name) !== "domain") return;
        for (const state of message.states) this.#far.add(state);
        for (const daemon of message.gone) this.#far.remove(daemon);
    }
  }

  /** Tells what changed at this daemon. */
  tell(state: DaemonState): void {
    if (this.#acting) return this.#pass(state);
    const relay = this.#relay();
    relay?.link.send(stateMessage(this.#host.versions(), state));
  }

  /** Passes on what is new; heartbeats alone would fill a batch each 40 ms. */
  #pass(state: DaemonState): void {
    if (isNews(state)) this.#near.add(state);
  }

  /** Sees to it that subscriptions fit the fleet, and sends what is due. */
  tick(now: number): void {
    if (now - this.#settledAt >= BATCH_MS - EARLY_MS) {
      this.#settledAt = now;
      this.#settle();
    }
    if (!this.#acting || now - this.#sentAt < this.#batchMs - EARLY_MS) return;
    this.#sentAt = now;
    this.#sentVersions = this.#host.versions();
    this.#flush();
  }

  /** Milliseconds from one batch to the next, by what there is to tell. */
  get #batchMs(): number {
    if (this.#near.urgent || this.#far.urgent) return BATCH_MS;
    const { configuration, runners } = this.#host.versions();
    const known = this.#sentVersions;
    const newer = configuration !== known?.configuration ||
      runners !== known.runners;
    if (newer) return BATCH_MS;
    const empty = this.#near.empty && this.#far.empty;
    return empty ? HEARTBEAT_MS : CALM_BATCH_MS;
  }

  /** Subscribes nowhere, as a small fleet needs no relays. */
  stop(): void {
    this.#act(false);
    for (const name of [...this.#subscriptions.keys()]) {
      this.#subscribe(name, "none");
    }
  }

  #relay(): Peer | undefined {
    const name = [...this.#subscriptions].find(([, scope]) => scope === "fleet")
      ?.[0];
    return name === undefined ? undefined : this.#peer(name);
  }

  #peer(name: string): Peer | undefined {
    return this.#host.peers().find((peer) => peer.name === name);
  }

  #settle(): void {
    const { own } = this.#host;
    const chosen = relayOf(own.failureDomain, [own, ...this.#host.peers()])!;
    const served = [...this.#subscribers.values()].includes("fleet");
    this.#act(served || chosen.name === own.name);
    const wanted = this.#acting ? this.#relaying : new Set([chosen.name]);
    const scope = this.#acting ? "domain" : "fleet";
    for (const [name, before] of [...this.#subscriptions]) {
      if (!wanted.has(name) || before !== scope) this.#subscribe(name, "none");
    }
    for (const name of wanted) {
      if (!this.#subscriptions.has(name)) this.#subscribe(name, scope);
    }
  }

  #act(acting: boolean): void {
    if (this.#acting === acting) return;
    this.#acting = acting;
    this.#host.log.event("relaying_changed", { relaying: acting });
    for (const { link } of this.#host.peers()) {
      link.send({ kind: "relaying", on: acting });
    }
  }

  #subscribe(name: string, scope: Subscribe["scope"]): void {
    if (scope === "none") this.#subscriptions.delete(name);
    else this.#subscriptions.set(name, scope);
    this.#host.closenessChanged();
    const peer = this.#peer(name);
    peer?.link.send({ kind: "subscribe", scope });
    if (scope !== "fleet") return;
    this.#host.log.event("relay_chosen", { relay: name });
    peer?.link.send(stateMessage(this.#host.versions(), this.#host.ownState()));
  }

  #subscribed(peer: Peer, scope: Subscribe["scope"]): void {
    if (scope === "none") this.#subscribers.delete(peer.name);
    else this.#subscribers.set(peer.name, scope);
    this.#host.closenessChanged();
    if (scope === "none") return;
    const near = new Set([this.#host.own.name]);
    for (const [name, of] of this.#subscribers) {
      if (of === "fleet") near.add(name);
    }
    const states = this.#host.allStates().filter(({ daemon }) =>
      daemon !== peer.name && (scope === "fleet" || near.has(daemon))
    );
    peer.link.send(this.#batch({ states, gone: [] }));
  }

  #batch(news: Pick<Batch, "states" | "gone">): Batch {
    return { kind: "batch", ...this.#host.versions(), ...news };
  }

  #flush(): void {
    const near = this.#near.take();
    const far = this.#far.take();
    const toRelays = encodeMessage(this.#batch(near));
    const toDomain = encodeMessage(this.#batch({
      states: [...near.states, ...far.states],
      gone: [...near.gone, ...far.gone],
    }));
    for (const peer of this.#host.peers()) {
      const scope = this.#subscribers.get(peer.name);
      if (scope === "domain") peer.link.sendEncoded(toRelays);
      if (scope === "fleet") peer.link.sendEncoded(toDomain);
    }
  }
}
