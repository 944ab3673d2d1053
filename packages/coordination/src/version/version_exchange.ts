/**
 * Exchanges versions of a value with other members.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Clock } from "../process/clock.ts";
import type { Membership } from "../process/membership.ts";
import type { Peers } from "../process/peers.ts";
import type { Json } from "./json_delta.ts";
import type { StoreConfirmation } from "./store_confirmation.ts";
import { decodeAnswer, decodeUpdate, isVersion } from "./version_message.ts";
import type { VersionAnswer, VersionUpdate } from "./version_message.ts";
import type { VersionHistory } from "./version_history.ts";
import { chooseWatchers } from "./watchers.ts";

const QUERY_TIMEOUT_MS = 1_000;
const QUERY_CONCURRENCY = 32;

/**
 * Where a version was received from: the store, this process's own write, or a
 * member of the same (`domain`) or another (`foreign`) failure domain.
 */
export type VersionSource = "store" | "own" | "domain" | "foreign";

/** Settings of a {@linkcode VersionExchange}. */
export interface VersionExchangeOptions {
  readonly peers: Peers;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly channel: string;
  readonly history: VersionHistory;
  /** Updated from the answers of other members, and sent with answers. */
  readonly confirmation: StoreConfirmation;
  /**
   * Called with an error that is thrown while a version is received, and with
   * deltas that do not fit.
   */
  readonly onFault: (error: unknown) => void;
  /** Applies a value if it is newer; returns whether it was applied. */
  readonly applyIfNewer: (
    candidate: { readonly version: number; readonly value: Json },
    source: VersionSource,
  ) => boolean;
  /**
   * Returns the highest version known: the current one, or one of the store that
   * is invalid.
   */
  readonly knownVersion: () => number;
}

type Query =
  | { readonly ask: "version" }
  | { readonly ask: "update"; readonly have: number };

/** Broadcasts new versions to peers, and fetches newer versions from them. */
export class VersionExchange {
  readonly #options: VersionExchangeOptions;
  #lastContactAt: number;
  #isFetching = false;

  constructor(options: VersionExchangeOptions) {
    this.#options = options;
    this.#lastContactAt = options.clock.monotonic();
  }

  /**
   * Milliseconds since the last message about this value from another member.
   */
  get msSinceContact(): number {
    return this.#options.clock.monotonic() - this.#lastContactAt;
  }

  /** Registers the handler for messages of other members. */
  serve(): void {
    const { peers, channel } = this.#options;
    peers.handle(
      channel,
      (from, message) => this.#handleMessage(from, message),
    );
  }

  /**
   * Sends the newest version to the members that this process forwards it to.
   */
  broadcast(
    source: VersionSource,
    options: { readonly previous: number },
  ): void {
    const { peers, channel, history } = this.#options;
    const update = history.updateFor(options.previous);
    for (const name of this.#recipients(source)) {
      peers.send(name, channel, update);
    }
  }

  /** Fetches the value from a random member if its version is newer. */
  pullFromRandomPeer(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const names = this.#otherMembers();
      const name = names[Math.floor(Math.random() * names.length)];
      return name === undefined ? Effect.void : this.pull(name);
    });
  }

  /** Fetches and applies the version of a member if it is newer. */
  pull(name: string): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const have = this.#options.knownVersion();
      const applied = yield* this.#fetchUpdate(name, have);
      // The delta cannot be applied here, so fetch the whole value.
      if (!applied) yield* this.#fetchUpdate(name, 0);
    }).pipe(
      Effect.catchDefect((defect) =>
        Effect.sync(() => this.#options.onFault(defect))
      ),
    );
  }

  /**
   * Queries the version of each other member; undefined for unreachable ones.
   */
  peerVersions(): Effect.Effect<ReadonlyMap<string, number | undefined>> {
    const queryVersion = (name: string) =>
      Effect.map(
        this.#query(name, { ask: "version" }),
        (update) => [name, update?.version] as const,
      );
    return Effect.suspend(() =>
      Effect.map(
        Effect.forEach(this.#otherMembers(), queryVersion, {
          concurrency: QUERY_CONCURRENCY,
        }),
        (versions) => new Map(versions),
      )
    );
  }

  /** Fetches and applies the highest version that any member has. */
  catchUp(): Effect.Effect<{ readonly reached: number }> {
    return Effect.gen({ self: this }, function* () {
      const versions = yield* this.peerVersions();
      const reached = [...versions].filter(([, version]) =>
        version !== undefined
      );
      const highest = reached.toSorted((a, b) => (b[1] ?? 0) - (a[1] ?? 0));
      for (const [name, version = 0] of highest) {
        if (version <= this.#options.knownVersion()) break;
        yield* this.pull(name);
      }
      return { reached: reached.length };
    });
  }

  /**
   * Records the version that a member reports, and fetches it if it is newer.
   */
  receiveVersion(from: string, version: unknown): void {
    if (!isVersion(version)) return;
    this.#recordContact();
    const { confirmation, knownVersion } = this.#options;
    // While the store is asked, the pulls of each second are enough.
    if (confirmation.isDoubted) return;
    if (version > knownVersion()) this.#fetch(from);
  }

  /** Returns false if the update is newer but its base is missing here. */
  #fetchUpdate(name: string, have: number): Effect.Effect<boolean> {
    const { confirmation, history } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const sentAt = confirmation.now();
      const answer = yield* this.#query(name, { ask: "update", have });
      if (answer === undefined) return true;
      if (!this.#applyUpdate(name, answer)) return false;
      const { version, confirmedAgoMs = Infinity } = answer;
      // A version that was found invalid here is not held.
      if (history.newestVersion < version) return true;
      confirmation.record(sentAt - confirmedAgoMs);
      return true;
    });
  }

  /**
   * Runs one fetch at a time, since many members announce a new version at
   * once.
   */
  #fetch(from: string): void {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const done = Effect.sync(() => {
      this.#isFetching = false;
    });
    Effect.runFork(Effect.ensuring(this.pull(from), done));
  }

  #handleMessage(from: string, message: unknown): Effect.Effect<unknown> {
    return Effect.sync(() => {
      this.#recordContact();
      const query = message as Partial<Record<string, unknown>> | null;
      if (query?.["ask"] === "version") return this.#versionOnly();
      if (query?.["ask"] === "update") return this.#reply(from, query["have"]);
      const update = decodeUpdate(message);
      if (update === undefined) return null;
      if (!this.#applyUpdate(from, update)) this.#fetch(from);
      return null;
    });
  }

  #reply(from: string, have: unknown): VersionAnswer {
    if (!isVersion(have)) return this.#versionOnly();
    this.receiveVersion(from, have);
    const { history, confirmation } = this.#options;
    const update = history.updateFor(have);
    if (confirmation.isDoubted) return update;
    const confirmedAgoMs = Math.ceil(confirmation.ageMs);
    return isVersion(confirmedAgoMs) ? { ...update, confirmedAgoMs } : update;
  }

  #versionOnly(): VersionUpdate {
    return { kind: "version", version: this.#options.history.newestVersion };
  }

  /** Returns the value of an update; undefined if it must be fetched whole. */
  #resolve(update: VersionUpdate): Json | undefined {
    try {
      return this.#options.history.resolveUpdate(update);
    } catch (error) {
      this.#options.onFault(error);
      return undefined;
    }
  }

  /** Returns false if the update is newer but its base is missing here. */
  #applyUpdate(from: string, update: VersionUpdate): boolean {
    const { knownVersion, applyIfNewer } = this.#options;
    if (update.version <= knownVersion()) return true;
    const value = this.#resolve(update);
    if (value === undefined) return false;
    applyIfNewer({ version: update.version, value }, this.#sourceOf(from));
    return true;
  }

  #query(name: string, body: Query): Effect.Effect<VersionAnswer | undefined> {
    const { peers, channel } = this.#options;
    const response = peers.request(name, { channel, body }, {
      timeoutMs: QUERY_TIMEOUT_MS,
    });
    return Effect.match(response, {
      onFailure: () => undefined,
      onSuccess: (message) => {
        this.#recordContact();
        return decodeAnswer(message);
      },
    });
  }

  /**
   * Returns the members to forward a version to: none if it came from this
   * failure domain, the domain if it came from another one, and also the
   * watchers of the other domains if it came from the store or this process.
   * The messages per edit therefore grow with the number of members, and those
   * per sender with the size of its domain.
   */
  #recipients(source: VersionSource): readonly string[] {
    const { membership, channel } = this.#options;
    if (source === "domain") return [];
    const { self } = membership;
    const watchers = chooseWatchers(membership.view(), self, channel);
    if (source === "foreign") return watchers.domainPeers;
    return [...watchers.domainPeers, ...watchers.foreignWatchers];
  }

  #sourceOf(from: string): VersionSource {
    const { membership } = this.#options;
    const sender = membership.view().members.find(({ member }) =>
      member.name === from
    );
    const { failureDomain } = membership.self;
    return sender?.member.failureDomain === failureDomain
      ? "domain"
      : "foreign";
  }

  #otherMembers(): readonly string[] {
    const { membership } = this.#options;
    return membership.view().members
      .map(({ member }) => member.name)
      .filter((name) => name !== membership.self.name);
  }

  #recordContact(): void {
    this.#lastContactAt = this.#options.clock.monotonic();
  }
}
