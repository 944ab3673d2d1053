/**
 * Compares versions with peers and fetches newer configurations and runner lists.
 *
 * @module
 */
import type { PrefixIndex } from "../process/prefix_index.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import type { Configuration } from "../version/configuration.ts";
import type { FetchRequest, FetchResponse, Versions } from "./peer_message.ts";
import type { Peer } from "./peers.ts";

/** Milliseconds without a response after which newer data is requested again. */
const RETRY_MS = 300;

/** The versioned data of this daemon. */
export interface VersionedState {
  readonly prefixes: PrefixIndex;
  readonly directory: RunnerDirectory;
  /** The current configuration. */
  configuration(): Configuration | undefined;
  /** Applies a configuration from a peer. */
  applyConfiguration(configuration: Configuration, source: string): void;
}

/**
 * Tracks the versions of each peer, requests newer data and responds to requests.
 * Each state update includes the sender's versions, so that a change also
 * reaches daemons whose calls the store rejects.
 */
export class VersionExchange {
  readonly #state: VersionedState;
  readonly #onNewerVersion: () => void;
  /** The versions in each peer's last update. */
  readonly #versionsOf = new WeakMap<Peer, Versions>();
  #sent: Versions = { configuration: -1, runners: 0 };
  #lastResponseAt = -Infinity;
  #requestedAt = -Infinity;
  #partsRequested = false;

  /** @param onNewerVersion called when newer data is requested from a peer. */
  constructor(state: VersionedState, onNewerVersion: () => void) {
    this.#state = state;
    this.#onNewerVersion = onNewerVersion;
  }

  /** Versions that this daemon has. */
  get own(): Versions {
    return {
      configuration: this.#state.configuration()?.version ?? -1,
      runners: this.#state.directory.revision,
    };
  }

  /** Time of a peer's last response to a `FetchRequest`, in monotonic ms. */
  get lastResponseAt(): number {
    return this.#lastResponseAt;
  }

  /** Whether the versions are newer than those last sent to peers. */
  get unsent(): { readonly configuration: boolean; readonly runners: boolean } {
    const { configuration, runners } = this.own;
    return {
      configuration: configuration > this.#sent.configuration,
      runners: runners > this.#sent.runners,
    };
  }

  /** Records that the present versions are sent to peers. */
  markSent(): void {
    this.#sent = this.own;
  }

  /**
   * Whether a peer may have an older version. A peer that sent the same or newer
   * versions does not need this daemon's.
   */
  mayLack(peer: Peer): boolean {
    const { configuration, runners } = this.own;
    const known = this.#versionsOf.get(peer);
    return known === undefined || known.configuration < configuration ||
      known.runners < runners;
  }

  /**
   * Requests newer data from a peer, if it has any.
   *
   * @param options `hasParts`: whether the peer has the prompt parts that runners
   * cache; a daemon requests them once, from one peer, after its start.
   */
  requestNewer(peer: Peer, peerVersions: Versions, options: {
    readonly hasParts: boolean;
  }): void {
    const { configuration: version, runners: revision } = this.own;
    const { configuration: peerVersion, runners: peerRevision } = peerVersions;
    this.#versionsOf.set(peer, {
      configuration: peerVersion,
      runners: peerRevision,
    });
    const configuration = peerVersion > version;
    const runnersSince = peerRevision > revision ? revision : undefined;
    const parts = !this.#partsRequested && peerVersion >= 0 &&
      options.hasParts;
    if (!configuration && runnersSince === undefined && !parts) return;
    const now = performance.now();
    if (!parts && now - this.#requestedAt < RETRY_MS) return;
    this.#requestedAt = now;
    this.#partsRequested ||= parts;
    this.#onNewerVersion();
    peer.link.send({ kind: "want", configuration, runnersSince, parts });
  }

  /** Responds to a peer's request. */
  respond(
    peer: Peer,
    { configuration, runnersSince, parts }: FetchRequest,
  ): void {
    const { directory, prefixes } = this.#state;
    peer.link.send({
      kind: "give",
      configuration: configuration ? this.#state.configuration() : undefined,
      runners: runnersSince === undefined
        ? undefined
        : directory.updateSince(runnersSince),
      parts: parts ? prefixes.snapshot() : undefined,
    });
  }

  /** Applies a peer's response. */
  applyResponse(
    peer: Peer,
    { configuration, runners, parts = [] }: FetchResponse,
  ): void {
    const now = performance.now();
    this.#requestedAt = -Infinity;
    this.#lastResponseAt = now;
    // First, as applying a broken configuration throws.
    if (runners) this.#state.directory.applyUpdate(runners);
    if (configuration) {
      this.#state.applyConfiguration(configuration, `peer ${peer.name}`);
    }
    for (const update of parts) this.#state.prefixes.applyUpdate(update, now);
  }
}
