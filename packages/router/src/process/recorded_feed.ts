/**
 * A feed whose values are recorded before a daemon uses them.
 *
 * @module
 */
import type { Changes, Feed, Listing } from "./feed.ts";
import { pause } from "./pause.ts";
import type { RecordedVersions } from "./recorded_versions.ts";
import type { Entries } from "./version_record.ts";

/**
 * Maximum time in ms for which a change waits until it is recorded: a store that is
 * slow answers within 300 ms.
 */
const MAX_RECORD_MS = 400;

/** Records entries, or has them recorded later if that takes too long or fails. */
export async function recordInTime(
  recorded: Pick<RecordedVersions, "add">,
  entries: Entries,
): Promise<void> {
  const added = recorded.add(entries).catch(() => {});
  await Promise.race([added, pause(MAX_RECORD_MS, { background: true })]);
}

/** Options of a {@linkcode RecordedFeed}. */
export interface RecordedFeedOptions<T> {
  readonly recorded: Pick<RecordedVersions, "add">;
  /** Returns what is to be recorded of values. */
  readonly entriesOf: (values: readonly T[]) => Entries;
}

/**
 * Delays changes with new entries until these are recorded. No daemon begins streams
 * under them before, as peers get the change from a daemon that has read it.
 */
export class RecordedFeed<T> implements Feed<T> {
  readonly #feed: Feed<T>;
  readonly #options: RecordedFeedOptions<T>;

  constructor(feed: Feed<T>, options: RecordedFeedOptions<T>) {
    this.#feed = feed;
    this.#options = options;
  }

  async list(options?: { readonly stale?: boolean }): Promise<Listing<T>> {
    const listing = await this.#feed.list(options);
    // When a fleet starts, all read such a list; those that watch record it soon.
    if (!options?.stale) await this.#record(listing.values);
    return listing;
  }

  async watch(
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Changes<T>> {
    const changes = await this.#feed.watch(since, waitMs, signal);
    await this.#record(changes.updated);
    return changes;
  }

  async #record(values: readonly T[]): Promise<void> {
    const { recorded, entriesOf } = this.#options;
    await recordInTime(recorded, entriesOf(values));
  }
}
