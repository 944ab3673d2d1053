/**
 * The feed of runners, from which versions are recorded before a daemon uses them.
 *
 * @module
 */
import type { Changes, Feed, Listing } from "./feed.ts";
import { pause } from "./pause.ts";
import type { RecordedVersions } from "./recorded_versions.ts";
import type { Runner } from "./runner.ts";

/**
 * Maximum time in ms for which a change of the list waits until its versions are
 * recorded: a store that is slow answers within 300 ms.
 */
const MAX_RECORD_MS = 400;

/**
 * Delays lists with new versions until these are recorded. No daemon begins streams
 * at them before, as peers get the list from a daemon that has read it.
 */
export class RecordedRunnerFeed implements Feed<Runner> {
  readonly #feed: Feed<Runner>;
  readonly #versions: Pick<RecordedVersions, "add">;

  constructor(feed: Feed<Runner>, versions: Pick<RecordedVersions, "add">) {
    this.#feed = feed;
    this.#versions = versions;
  }

  async list(
    options?: { readonly stale?: boolean },
  ): Promise<Listing<Runner>> {
    const listing = await this.#feed.list(options);
    // When a fleet starts, all read such a list; those that watch record it soon.
    if (!options?.stale) await this.#record(listing.values);
    return listing;
  }

  async watch(
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Changes<Runner>> {
    const changes = await this.#feed.watch(since, waitMs, signal);
    await this.#record(changes.updated);
    return changes;
  }

  /** Records versions; what fails is tried again later. */
  async #record(runners: readonly Runner[]): Promise<void> {
    const recorded = this.#versions.add(runners).catch(() => {});
    await Promise.race([recorded, pause(MAX_RECORD_MS, { background: true })]);
  }
}
