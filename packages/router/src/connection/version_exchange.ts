/**
 * Compares versions with peers and fetches newer configurations and runner lists.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import type { PrefixIndex } from "../process/prefix_index.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { RunnerListLog } from "../process/runner_list_log.ts";
import type { Confirmed } from "../process/store_confirmations.ts";
import type { Configuration } from "../version/configuration.ts";
import { recordConfirmationAges } from "./confirmation_ages.ts";
import type {
  ConfirmationAges,
  FetchRequest,
  FetchResponse,
  Versions,
} from "./peer_message.ts";
import type { Peer } from "./peers.ts";
import { VersionLag } from "./version_lag.ts";

/** Milliseconds without a response after which newer data is requested again. */
const RETRY_MS = 300;

/** The versioned data of this daemon. */
export interface VersionedState {
  readonly prefixes: PrefixIndex;
  readonly directory: RunnerDirectory;
  /** What the store has confirmed last, to this daemon or to others. */
  readonly confirmed: Confirmed;
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
  readonly #lag: VersionLag;
  readonly #listLog: RunnerListLog;
  #heardAt = -Infinity;
  #lastResponseAt = -Infinity;
  #requestedAt = -Infinity;
  #partsRequested = false;

  /** @param options `onNewerVersion` is called when newer data is requested from a peer. */
  constructor(
    state: VersionedState,
    { log, onNewerVersion }: {
      readonly log: EventLog;
      readonly onNewerVersion: () => void;
    },
  ) {
    this.#state = state;
    this.#onNewerVersion = onNewerVersion;
    this.#lag = new VersionLag(log);
    this.#listLog = new RunnerListLog(log, state.directory);
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

  /** Time at which a peer last sent its versions, in monotonic ms. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /**
   * Milliseconds since a peer first sent newer versions that this daemon still
   * lacks; undefined without any.
   */
  get behindMs(): number | undefined {
    return this.#lag.behindMs(this.own, performance.now());
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

  /** Records when the store confirmed the versions of a peer. */
  recordConfirmed(theirs: Versions, ages: ConfirmationAges): void {
    const { own } = this;
    recordConfirmationAges(this.#state.confirmed, ages, { own, theirs });
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
    const { own } = this;
    const { configuration: version, runners: revision } = own;
    const { configuration: peerVersion, runners: peerRevision } = peerVersions;
    this.#versionsOf.set(peer, {
      configuration: peerVersion,
      runners: peerRevision,
    });
    const now = performance.now();
    this.#heardAt = now;
    this.#lag.record(peer.name, { own, theirs: peerVersions, now });
    const configuration = peerVersion > version;
    const runnersSince = peerRevision > revision ? revision : undefined;
    const parts = !this.#partsRequested && peerVersion >= 0 &&
      options.hasParts;
    if (!configuration && runnersSince === undefined && !parts) return;
    if (!parts && now - this.#requestedAt < RETRY_MS) return;
    this.#requestedAt = now;
    this.#partsRequested ||= parts;
    this.#onNewerVersion();
    this.#lag.requested();
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
    this.#lag.responded();
    // First, as applying a broken configuration throws.
    if (runners) {
      this.#listLog.apply(
        `peer ${peer.name}`,
        () => this.#state.directory.applyUpdate(runners),
      );
    }
    if (configuration) {
      this.#state.applyConfiguration(configuration, `peer ${peer.name}`);
    }
    for (const update of parts) this.#state.prefixes.applyUpdate(update, now);
    this.#lag.check(this.own, now);
  }
}
