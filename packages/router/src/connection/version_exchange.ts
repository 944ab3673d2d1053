/**
 * Versions of configurations and runners, told, compared and asked for.
 *
 * @module
 */
import type { PrefixIndex } from "../process/prefix_index.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import type { Configuration } from "../version/configuration.ts";
import type { FetchRequest, FetchResponse, Versions } from "./peer_message.ts";
import type { Peer } from "./peers.ts";

/** Milliseconds before newer data is asked for again. */
const WANT_AGAIN_MS = 300;

/** What versions are of, and who takes what peers give. */
export interface VersionedState {
  readonly prefixes: PrefixIndex;
  readonly directory: RunnerDirectory;
  /** The configuration in force. */
  configuration(): Configuration | undefined;
  /** Takes a configuration from a peer. */
  adopt(configuration: Configuration, source: string): void;
}

/**
 * Knows which peer has which versions, asks for what is newer and gives it.
 * Versions ride on every state, so a change that one daemon knows reaches the
 * others also while the store turns them away.
 */
export class VersionExchange {
  readonly #known: VersionedState;
  readonly #offered: () => void;
  /** Versions that each peer has told to have. */
  readonly #versionsOf = new WeakMap<Peer, Versions>();
  #told: Versions = { configuration: -1, runners: 0 };
  #givenAt = -Infinity;
  #wantedAt = -Infinity;
  #askedForParts = false;

  /** @param offered called when a peer has something newer. */
  constructor(known: VersionedState, offered: () => void) {
    this.#known = known;
    this.#offered = offered;
  }

  /** Versions that this daemon has. */
  get own(): Versions {
    return {
      configuration: this.#known.configuration()?.version ?? -1,
      runners: this.#known.directory.revision,
    };
  }

  /** Steady milliseconds at which a peer gave something last. */
  get lastResponseAt(): number {
    return this.#givenAt;
  }

  /** What is newer than what peers were told last. */
  get unsent(): { readonly configuration: boolean; readonly runners: boolean } {
    const { configuration, runners } = this.own;
    return {
      configuration: configuration > this.#told.configuration,
      runners: runners > this.#told.runners,
    };
  }

  /** Peers are told what this daemon has. */
  markSent(): void {
    this.#told = this.own;
  }

  /**
   * Whether a peer may lack what this daemon has. Who told a newer version, or
   * the same, need not be told it back.
   */
  mayLack(peer: Peer): boolean {
    const { configuration, runners } = this.own;
    const known = this.#versionsOf.get(peer);
    return known === undefined || known.configuration < configuration ||
      known.runners < runners;
  }

  /**
   * Asks a peer for what it has newer.
   *
   * @param options `hasParts`: whether what runners hold is to be had there;
   * a daemon that has just started asks one other for it.
   */
  requestNewer(peer: Peer, told: Versions, options: {
    readonly hasParts: boolean;
  }): void {
    const { configuration: version, runners: revision } = this.own;
    const { configuration: toldVersion, runners: toldRevision } = told;
    this.#versionsOf.set(peer, {
      configuration: toldVersion,
      runners: toldRevision,
    });
    const configuration = toldVersion > version;
    const runnersSince = toldRevision > revision ? revision : undefined;
    const parts = !this.#askedForParts && toldVersion >= 0 &&
      options.hasParts;
    if (!configuration && runnersSince === undefined && !parts) return;
    const now = performance.now();
    if (!parts && now - this.#wantedAt < WANT_AGAIN_MS) return;
    this.#wantedAt = now;
    this.#askedForParts ||= parts;
    this.#offered();
    peer.link.send({ kind: "want", configuration, runnersSince, parts });
  }

  /** Gives a peer what it asks for. */
  respond(
    peer: Peer,
    { configuration, runnersSince, parts }: FetchRequest,
  ): void {
    const { directory, prefixes } = this.#known;
    peer.link.send({
      kind: "give",
      configuration: configuration ? this.#known.configuration() : undefined,
      runners: runnersSince === undefined
        ? undefined
        : directory.updateSince(runnersSince),
      parts: parts ? prefixes.snapshot() : undefined,
    });
  }

  /** Takes what a peer gives. */
  applyResponse(
    peer: Peer,
    { configuration, runners, parts = [] }: FetchResponse,
  ): void {
    const now = performance.now();
    this.#wantedAt = -Infinity;
    this.#givenAt = now;
    if (configuration) this.#known.adopt(configuration, `peer ${peer.name}`);
    if (runners) this.#known.directory.applyUpdate(runners);
    for (const news of parts) this.#known.prefixes.applyUpdate(news, now);
  }
}
