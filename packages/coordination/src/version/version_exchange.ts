/**
 * Passes versions of a value between members.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Clock } from "../process/clock.ts";
import type { Membership } from "../process/membership.ts";
import type { Peers } from "../process/peers.ts";
import type { Json } from "./json_delta.ts";
import { decodeUpdate, isVersion } from "./version_message.ts";
import type { VersionUpdate } from "./version_message.ts";
import type { VersionHistory } from "./version_history.ts";
import { chooseWatchers } from "./watchers.ts";

const QUERY_TIMEOUT_MS = 1_000;
const QUERY_CONCURRENCY = 32;

/** Where a version was learnt. */
export type VersionSource = "store" | "own" | "domain" | "foreign";

/** What a {@linkcode VersionExchange} needs. */
export interface VersionExchangeOptions {
  readonly peers: Peers;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly channel: string;
  readonly history: VersionHistory;
  /** Takes a value if it is newer; false when it is not taken. */
  readonly applyIfNewer: (
    candidate: { readonly version: number; readonly value: Json },
    source: VersionSource,
  ) => boolean;
  /** Highest version that needs no asking: in force, or found to be invalid. */
  readonly knownVersion: () => number;
}

type Query =
  | { readonly ask: "version" }
  | { readonly ask: "update"; readonly have: number };

/** The peers' side of a published value. */
export class VersionExchange {
  readonly #options: VersionExchangeOptions;
  #lastContactAt: number;
  #isFetching = false;

  constructor(options: VersionExchangeOptions) {
    this.#options = options;
    this.#lastContactAt = options.clock.monotonic();
  }

  /** Milliseconds since another member was last heard on this value. */
  get msSinceContact(): number {
    return this.#options.clock.monotonic() - this.#lastContactAt;
  }

  /** Answers other members. */
  serve(): void {
    const { peers, channel } = this.#options;
    peers.handle(
      channel,
      (from, message) => this.#handleMessage(from, message),
    );
  }

  /** Tells a version on to those that this process is to tell. */
  broadcast(source: VersionSource, options: { readonly before: number }): void {
    const { peers, channel, history } = this.#options;
    const update = history.updateFor(options.before);
    for (const name of this.#recipients(source)) {
      peers.send(name, channel, update);
    }
  }

  /** Compares with one member picked at random, and takes what is newer. */
  pullFromRandomPeer(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const names = this.#otherMembers();
      const name = names[Math.floor(Math.random() * names.length)];
      return name === undefined ? Effect.void : this.pull(name);
    });
  }

  /** Takes what a member has, if it is newer. */
  pull(name: string): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const have = this.#options.knownVersion();
      const update = yield* this.#query(name, { ask: "update", have });
      if (update === undefined || this.#applyUpdate(name, update)) return;
      // The delta's base is not here, so the whole value is needed.
      const whole = yield* this.#query(name, { ask: "update", have: 0 });
      if (whole !== undefined) this.#applyUpdate(name, whole);
    });
  }

  /** The version that each other member has; undefined for those not reached. */
  peerVersions(): Effect.Effect<ReadonlyMap<string, number | undefined>> {
    const ask = (name: string) =>
      Effect.map(
        this.#query(name, { ask: "version" }),
        (update) => [name, update?.version] as const,
      );
    return Effect.suspend(() =>
      Effect.map(
        Effect.forEach(this.#otherMembers(), ask, {
          concurrency: QUERY_CONCURRENCY,
        }),
        (versions) => new Map(versions),
      )
    );
  }

  /** Takes the highest version that any member has. */
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

  /** Takes in that a member has a version, as heartbeats tell. */
  receiveVersion(from: string, version: unknown): void {
    if (!isVersion(version)) return;
    this.#recordContact();
    if (version > this.#options.knownVersion()) this.#fetch(from);
  }

  /** One fetch at a time: a new version is announced by many at once. */
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
      if (query?.["ask"] === "update") {
        return this.#answerQuery(from, query["have"]);
      }
      const update = decodeUpdate(message);
      if (update === undefined) return null;
      if (!this.#applyUpdate(from, update)) this.#fetch(from);
      return null;
    });
  }

  #answerQuery(from: string, have: unknown): VersionUpdate {
    if (!isVersion(have)) return this.#versionOnly();
    this.receiveVersion(from, have);
    return this.#options.history.updateFor(have);
  }

  #versionOnly(): VersionUpdate {
    return { kind: "version", version: this.#options.history.version };
  }

  /** False when the update is newer but can't be made from what is here. */
  #applyUpdate(from: string, update: VersionUpdate): boolean {
    const { knownVersion: have, history, applyIfNewer: take } = this.#options;
    if (update.version <= have()) return true;
    const value = history.valueOf(update);
    if (value === undefined) return false;
    take({ version: update.version, value }, this.#sourceOf(from));
    return true;
  }

  #query(name: string, body: Query): Effect.Effect<VersionUpdate | undefined> {
    const { peers, channel } = this.#options;
    const answer = peers.request(name, { channel, body }, {
      timeoutMs: QUERY_TIMEOUT_MS,
    });
    return Effect.match(answer, {
      onFailure: () => undefined,
      onSuccess: (message) => {
        this.#recordContact();
        return decodeUpdate(message);
      },
    });
  }

  /**
   * Each member is told by its own domain, and each domain by its watchers: the
   * messages of an edit grow with the members, and one sender's with its domain.
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
