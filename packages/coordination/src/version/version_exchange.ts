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
import { decodeUpdate, isVersion } from "./published_message.ts";
import type { Update } from "./published_message.ts";
import type { VersionHistory } from "./version_history.ts";
import { chooseWatchers } from "./watchers.ts";

const ASK_TIMEOUT_MS = 1_000;
const ASK_CONCURRENCY = 32;

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
  readonly take: (
    candidate: { readonly version: number; readonly value: Json },
    source: VersionSource,
  ) => boolean;
  /** Highest version that needs no asking: in force, or found to be invalid. */
  readonly have: () => number;
}

type Query =
  | { readonly ask: "version" }
  | { readonly ask: "update"; readonly have: number };

/** The peers' side of a published value. */
export class VersionExchange {
  readonly #options: VersionExchangeOptions;
  #lastContact: number;
  #fetching = false;

  constructor(options: VersionExchangeOptions) {
    this.#options = options;
    this.#lastContact = options.clock.monotonic();
  }

  /** Milliseconds since another member was last heard on this value. */
  get silenceMs(): number {
    return this.#options.clock.monotonic() - this.#lastContact;
  }

  /** Answers other members. */
  serve(): void {
    const { peers, channel } = this.#options;
    peers.handle(channel, (from, message) => this.#received(from, message));
  }

  /** Tells a version on to those that this process is to tell. */
  push(source: VersionSource, options: { readonly before: number }): void {
    const { peers, channel, history } = this.#options;
    const update = history.updateFor(options.before);
    for (const name of this.#audience(source)) {
      peers.send(name, channel, update);
    }
  }

  /** Compares with one member picked at random, and takes what is newer. */
  compare(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const names = this.#others();
      const name = names[Math.floor(Math.random() * names.length)];
      return name === undefined ? Effect.void : this.pull(name);
    });
  }

  /** Takes what a member has, if it is newer. */
  pull(name: string): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const have = this.#options.have();
      const update = yield* this.#ask(name, { ask: "update", have });
      if (update === undefined || this.#apply(name, update)) return;
      // The delta's base is not here, so the whole value is needed.
      const whole = yield* this.#ask(name, { ask: "update", have: 0 });
      if (whole !== undefined) this.#apply(name, whole);
    });
  }

  /** The version that each other member has; undefined for those not reached. */
  survey(): Effect.Effect<ReadonlyMap<string, number | undefined>> {
    const ask = (name: string) =>
      Effect.map(
        this.#ask(name, { ask: "version" }),
        (update) => [name, update?.version] as const,
      );
    return Effect.suspend(() =>
      Effect.map(
        Effect.forEach(this.#others(), ask, { concurrency: ASK_CONCURRENCY }),
        (versions) => new Map(versions),
      )
    );
  }

  /** Takes the highest version that any member has. */
  catchUp(): Effect.Effect<{ readonly reached: number }> {
    return Effect.gen({ self: this }, function* () {
      const versions = yield* this.survey();
      const reached = [...versions].filter(([, version]) =>
        version !== undefined
      );
      const highest = reached.toSorted((a, b) => (b[1] ?? 0) - (a[1] ?? 0));
      for (const [name, version = 0] of highest) {
        if (version <= this.#options.have()) break;
        yield* this.pull(name);
      }
      return { reached: reached.length };
    });
  }

  /** Takes in that a member has a version, as heartbeats tell. */
  heard(from: string, version: unknown): void {
    if (!isVersion(version)) return;
    this.#touch();
    if (version > this.#options.have()) this.#fetch(from);
  }

  /** One fetch at a time: a new version is announced by many at once. */
  #fetch(from: string): void {
    if (this.#fetching) return;
    this.#fetching = true;
    const done = Effect.sync(() => {
      this.#fetching = false;
    });
    Effect.runFork(Effect.ensuring(this.pull(from), done));
  }

  #received(from: string, message: unknown): Effect.Effect<unknown> {
    return Effect.sync(() => {
      this.#touch();
      const query = message as Partial<Record<string, unknown>> | null;
      if (query?.["ask"] === "version") return this.#version();
      if (query?.["ask"] === "update") return this.#answer(from, query["have"]);
      const update = decodeUpdate(message);
      if (update === undefined) return null;
      if (!this.#apply(from, update)) this.#fetch(from);
      return null;
    });
  }

  #answer(from: string, have: unknown): Update {
    if (!isVersion(have)) return this.#version();
    this.heard(from, have);
    return this.#options.history.updateFor(have);
  }

  #version(): Update {
    return { kind: "version", version: this.#options.history.version };
  }

  /** False when the update is newer but can't be made from what is here. */
  #apply(from: string, update: Update): boolean {
    const { have, history, take } = this.#options;
    if (update.version <= have()) return true;
    const value = history.valueOf(update);
    if (value === undefined) return false;
    take({ version: update.version, value }, this.#sourceOf(from));
    return true;
  }

  #ask(name: string, body: Query): Effect.Effect<Update | undefined> {
    const { peers, channel } = this.#options;
    const answer = peers.request(name, { channel, body }, {
      timeoutMs: ASK_TIMEOUT_MS,
    });
    return Effect.match(answer, {
      onFailure: () => undefined,
      onSuccess: (message) => {
        this.#touch();
        return decodeUpdate(message);
      },
    });
  }

  /**
   * Each member is told by its own domain, and each domain by its watchers: the
   * messages of an edit grow with the members, and one sender's with its domain.
   */
  #audience(source: VersionSource): readonly string[] {
    const { membership, channel } = this.#options;
    if (source === "domain") return [];
    const { self } = membership;
    const watchers = chooseWatchers(membership.view(), self, channel);
    if (source === "foreign") return watchers.domain;
    return [...watchers.domain, ...watchers.foreign];
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

  #others(): readonly string[] {
    const { membership } = this.#options;
    return membership.view().members
      .map(({ member }) => member.name)
      .filter((name) => name !== membership.self.name);
  }

  #touch(): void {
    this.#lastContact = this.#options.clock.monotonic();
  }
}
