/**
 * What daemons tell each other: versions, and the load they put on runners.
 *
 * @module
 */
import type { PrefixRecord } from "../process/prefix_record.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import type { RunnerLoads } from "../process/runner_load.ts";
import type { Configuration } from "../version/configuration.ts";
import type { LoadShare, PeerMessage, State } from "./peer_message.ts";
import type { Peer, PeerListener, Peers } from "./peers.ts";

/**
 * Milliseconds between two states for each peer: with 7 daemons one every 28
 * ms, with 65 one every 260. So a daemon sends and reads at most 250 states a
 * second, about 1% of a core, however large the fleet.
 */
const PERIOD_PER_PEER_MS = 4;
const SHORTEST_PERIOD_MS = 20;
/** Longest time without a state, so that silence tells a lost peer. */
const HEARTBEAT_MS = 400;
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
  readonly #known: SharedKnowledge;
  readonly #peers: () => Peers;
  #timer: NodeJS.Timeout | undefined;
  #sentAt = 0;
  #sentVersions = "";
  #wantedAt = -Infinity;
  #asked = false;

  constructor(known: SharedKnowledge, peers: () => Peers) {
    this.#known = known;
    this.#peers = peers;
  }

  start(): void {
    this.#schedule();
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  joined(peer: Peer): void {
    peer.link.send(this.#state(this.#known.loads.loaded(), []));
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
    this.#known.loads.forget(peer.name);
  }

  received(peer: Peer, message: PeerMessage): void {
    switch (message.kind) {
      case "hello":
        return;
      case "state":
        return this.#take(peer, message);
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

  #take(peer: Peer, state: State): void {
    const now = performance.now();
    for (const share of state.loads) {
      const waiting = share.waiting.map(({ ageMs, ...each }) => ({
        ...each,
        since: now - ageMs,
      }));
      const load = this.#known.loads.of(share.runner);
      load.toldBy(peer.name, share, { now, waiting });
    }
    for (const news of state.parts) this.#known.prefixes.take(news, now);
    const configuration = state.configuration > this.#version;
    const runners = state.runners > this.#known.directory.revision;
    if (!configuration && !runners) return;
    if (now - this.#wantedAt < WANT_AGAIN_MS) return;
    this.#wantedAt = now;
    peer.link.send({ kind: "want", configuration, runners, parts: false });
  }

  get #version(): number {
    return this.#known.configuration()?.version ?? -1;
  }

  /** Milliseconds between two states. */
  get periodMs(): number {
    return Math.max(
      SHORTEST_PERIOD_MS,
      PERIOD_PER_PEER_MS * this.#peers().count,
    );
  }

  #schedule(): void {
    this.#timer = setTimeout(() => {
      this.#tick();
      this.#schedule();
    }, this.periodMs);
  }

  #tick(): void {
    const now = performance.now();
    const changed = this.#known.loads.takeChanged();
    const parts = this.#known.prefixes.takeNews();
    const versions = `${this.#version}/${this.#known.directory.revision}`;
    const news = changed.length > 0 || parts.length > 0 ||
      versions !== this.#sentVersions;
    if (!news && now - this.#sentAt < HEARTBEAT_MS) return;
    this.#sentAt = now;
    this.#sentVersions = versions;
    this.#peers().broadcast(this.#state(changed, parts));
  }

  #state(changed: readonly string[], parts: State["parts"]): State {
    return {
      kind: "state",
      configuration: this.#version,
      runners: this.#known.directory.revision,
      loads: changed.map((runner) => this.#share(runner)),
      parts,
    };
  }

  #share(runner: string): LoadShare {
    const load = this.#known.loads.of(runner);
    const now = performance.now();
    const waiting = load.queue.waiting.map(({ since, ...each }) => ({
      ...each,
      ageMs: Math.round(now - since),
    }));
    return { runner, ...load.own, waiting };
  }
}
