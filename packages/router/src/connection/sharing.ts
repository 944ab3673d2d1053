/**
 * What daemons tell each other: versions, and the load they put on runners.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import type { PrefixRecord } from "../process/prefix_record.ts";
import type { RelayCandidate } from "../process/relay_plan.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { Configuration } from "../version/configuration.ts";
import { LoadStates, stateMessage } from "./load_states.ts";
import { SILENCE_MS } from "./peer_link.ts";
import type { Batch, DaemonState, PeerMessage, State } from "./peer_message.ts";
import type { Peer, PeerListener, Peers } from "./peers.ts";
import { BATCH_MS, Relays } from "./relays.ts";

/**
 * Milliseconds between two states for each peer that is told directly: with 7
 * daemons one every 28 ms. So a daemon sends and reads at most 250 states a
 * second, about 1% of a core.
 */
const PERIOD_PER_PEER_MS = 4;
const SHORTEST_PERIOD_MS = 20;
/** The same through relays while no request of this daemon waits for a runner. */
const CALM_PERIOD_MS = 60;
/** Longest time without a state, so that silence tells a lost peer. */
const HEARTBEAT_MS = 400;
/**
 * Milliseconds between two looks while nothing changes here: half a heartbeat,
 * so that none is more than half of one late. A daemon of 60 without requests
 * spent 34 ms of processor a second with a look each 20 ms.
 */
const REST_MS = HEARTBEAT_MS / 2;
/**
 * The same between daemons that hear of each other through relays: a tenth of
 * the messages, and a lost relay is found by those that it owes batches to.
 */
const FAR_HEARTBEAT_MS = 4_000;
/** Silence after which such a link is closed, in ms: two heartbeats and a half. */
const FAR_SILENCE_MS = 10_000;
/**
 * Periods between states after which all daemons know of a change here: one
 * until it is sent, and half of one for the way and the timers. Without this
 * time a free runner is sent 240,000 tokens of prompts at once instead of 30,000.
 */
const SETTLE_PERIODS = 1.5;
/** Batches that a state may wait for on its way through two relays. */
const BATCHES = 2;
/** Milliseconds before newer data is asked for again. */
const WANT_AGAIN_MS = 300;

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

/**
 * Tells peers what changed, and takes what they tell.
 *
 * Every daemon chooses runners by itself; without this it sees only its own
 * part of their load, and several choose the same runner at the same time.
 * Versions ride on every state, so a change that one daemon knows reaches the
 * others also while the store turns them away.
 */
export class Sharing implements PeerListener {
  readonly #own: RelayCandidate;
  readonly #known: SharedKnowledge;
  readonly #states: LoadStates;
  readonly #peers: () => Peers;
  readonly #relays: Relays;
  readonly #relaysFrom: number;
  #timer: NodeJS.Timeout | undefined;
  /** Whether the timer is set for the next state, and not to rest. */
  #awake = false;
  #started = false;
  #tickedAt = -Infinity;
  #dueAt = -Infinity;
  #relayed = false;
  #sentAt = 0;
  #sentFarAt = 0;
  #sentVersions = "";
  #wantedAt = -Infinity;
  #asked = false;

  constructor(known: SharedKnowledge, options: {
    readonly own: RelayCandidate;
    readonly peers: () => Peers;
    readonly log: EventLog;
    /** Daemons from which on states go through relays. */
    readonly relaysFrom: number;
  }) {
    const { own, peers, log, relaysFrom } = options;
    this.#relaysFrom = relaysFrom;
    this.#own = own;
    this.#known = known;
    this.#states = new LoadStates(own.name, known.loads);
    this.#peers = peers;
    this.#relays = new Relays({
      own,
      log,
      peers: () => peers().alive,
      versions: () => this.#versions,
      ownState: () => this.#states.whole(),
      allStates: () => this.#states.all(),
      closenessChanged: () => this.#allowSilence(),
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

  /** Tells soon what has changed: one period after the last state, or at once. */
  wake(): void {
    if (!this.#started) return;
    const dueAt = this.#tickedAt + this.#periodMs;
    if (this.#awake && this.#dueAt <= dueAt) return;
    this.#awake = true;
    this.#schedule(Math.max(0, dueAt - performance.now()));
  }

  joined(peer: Peer): void {
    this.wake();
    peer.link.send(this.#message(this.#states.whole()));
    this.#relays.joined(peer);
    this.#allowSilence();
    if (this.#asked) return;
    // The first peer tells what runners hold; one copy of it is enough.
    this.#asked = true;
    peer.link.send({
      kind: "want",
      configuration: true,
      runners: true,
      parts: true,
    });
  }

  left(peer: Peer): void {
    this.wake();
    this.#relays.left(peer);
    this.#known.loads.forget(peer.name);
  }

  received(peer: Peer, message: PeerMessage): void {
    this.#relays.received(peer, message);
    switch (message.kind) {
      case "hello":
        return;
      case "subscribe":
      case "relaying":
        return this.wake();
      case "state":
        this.#apply({ ...message, daemon: peer.name });
        return this.#compare(peer, message);
      case "batch":
        return this.#takeBatch(peer, message);
      case "want":
        return peer.link.send({
          kind: "give",
          configuration: message.configuration
            ? this.#known.configuration()
            : undefined,
          runners: message.runners ? this.#known.directory.list : undefined,
          parts: message.parts ? this.#known.prefixes.all() : undefined,
        });
      case "give":
        this.#wantedAt = -Infinity;
        if (message.configuration) {
          this.#known.adopt(message.configuration, `peer ${peer.name}`);
        }
        if (message.runners) this.#known.directory.replace(message.runners);
        for (const news of message.parts ?? []) {
          this.#known.prefixes.take(news, performance.now());
        }
    }
  }

  #takeBatch(peer: Peer, batch: Batch): void {
    for (const state of batch.states) {
      if (state.daemon !== this.#own.name) this.#apply(state);
    }
    for (const daemon of batch.gone) {
      // A link to its relay that broke says little of one that is heard here.
      if (!this.#peers().has(daemon)) this.#known.loads.forget(daemon);
    }
    this.#compare(peer, batch);
  }

  /** Takes what one daemon told, directly or through relays. */
  #apply(state: DaemonState): void {
    const now = performance.now();
    if (state.whole) this.#known.loads.forget(state.daemon);
    for (const share of state.loads) {
      const waiting = share.waiting.map(
        ({ rank, ageMs, leftMs, unreadTokens }) => ({
          rank,
          unreadTokens,
          since: now - ageMs,
          startBy: now + leftMs,
        }),
      );
      const load = this.#known.loads.of(share.runner);
      load.toldBy(state.daemon, share, { now, waiting });
    }
    for (const news of state.parts) this.#known.prefixes.take(news, now);
  }

  /** Asks a peer for what it has newer. */
  #compare(peer: Peer, told: Pick<State, "configuration" | "runners">): void {
    const configuration = told.configuration > this.#version;
    const runners = told.runners > this.#known.directory.revision;
    if (!configuration && !runners) return;
    const now = performance.now();
    if (now - this.#wantedAt < WANT_AGAIN_MS) return;
    this.#wantedAt = now;
    peer.link.send({ kind: "want", configuration, runners, parts: false });
  }

  get #version(): number {
    return this.#known.configuration()?.version ?? -1;
  }

  /** Milliseconds in which all daemons know of a request that waits here. */
  get settleMs(): number {
    if (this.#peers().count === 0) return 0;
    if (!this.#relayed) return SETTLE_PERIODS * this.#periodMs;
    return SETTLE_PERIODS * SHORTEST_PERIOD_MS + BATCHES * BATCH_MS;
  }

  /** Milliseconds between two states. */
  get #periodMs(): number {
    if (this.#relays.acting) return BATCH_MS;
    if (this.#relayed) {
      return this.#known.loads.waits ? SHORTEST_PERIOD_MS : CALM_PERIOD_MS;
    }
    return Math.max(
      SHORTEST_PERIOD_MS,
      PERIOD_PER_PEER_MS * this.#peers().count,
    );
  }

  #schedule(ms: number): void {
    this.#dueAt = performance.now() + ms;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#awake = false;
      this.#tickedAt = performance.now();
      this.#tick();
      // What woke it meanwhile has set the timer already.
      if (this.#awake) return;
      // A relay sends a batch each period, of what it has been told meanwhile.
      this.#awake = this.#relays.acting;
      this.#schedule(this.#awake ? BATCH_MS : REST_MS);
    }, ms);
  }

  #tick(): void {
    const now = performance.now();
    this.#chooseWay();
    const changed = this.#known.loads.takeChanged();
    const parts = this.#known.prefixes.takeNews();
    if (this.#relayed) this.#relays.tick(now);
    const versions = `${this.#version}/${this.#known.directory.revision}`;
    const news = changed.length > 0 || parts.length > 0 ||
      versions !== this.#sentVersions;
    if (news || now - this.#sentAt >= HEARTBEAT_MS) {
      this.#sentAt = now;
      this.#sentVersions = versions;
      this.#tell(this.#states.changed(changed, parts));
    }
    if (!this.#relayed || now - this.#sentFarAt < FAR_HEARTBEAT_MS) return;
    this.#sentFarAt = now;
    this.#peers().broadcast(this.#message(this.#states.changed([], [])));
  }

  #tell(state: DaemonState): void {
    if (!this.#relayed) return this.#peers().broadcast(this.#message(state));
    this.#relays.tell(state);
  }

  /** Tells all peers directly, or through relays once they are many. */
  #chooseWay(): void {
    const relayed = this.#peers().fleetSize >= this.#relaysFrom;
    if (relayed === this.#relayed) return;
    this.#relayed = relayed;
    if (!relayed) this.#relays.stop();
    this.#allowSilence();
  }

  #allowSilence(): void {
    for (const peer of this.#peers().alive) {
      const far = this.#relayed && !this.#relays.isClose(peer);
      peer.link.allowSilence(far ? FAR_SILENCE_MS : SILENCE_MS);
    }
  }

  get #versions(): Pick<State, "configuration" | "runners"> {
    return {
      configuration: this.#version,
      runners: this.#known.directory.revision,
    };
  }

  #message(state: DaemonState): State {
    return stateMessage(this.#versions, state);
  }
}
