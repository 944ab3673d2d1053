/**
 * Keeps the record of software versions in the store in step with runners and
 * configuration, and confirms by it where streams began.
 *
 * @module
 */
import { ConfirmedVersions } from "../process/confirmed_versions.ts";
import type {
  PossibleOrigin,
  VersionConfirmation,
} from "../process/confirmed_versions.ts";
import type { DaemonRegistry } from "../process/daemon_registry.ts";
import type { EventLog } from "../process/event_log.ts";
import type { Feed } from "../process/feed.ts";
import { readListed } from "../process/listed_versions.ts";
import { pause } from "../process/pause.ts";
import { RecordedFeed, recordInTime } from "../process/recorded_feed.ts";
import { RecordedVersions } from "../process/recorded_versions.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { epochOf } from "../process/store_revision.ts";
import { destinationsOf, versionsOf } from "../process/version_record.ts";
import type { Entries, VersionStore } from "../process/version_record.ts";
import type { Configuration } from "../version/configuration.ts";

/** Interval in ms between checks of what is to be recorded. */
const CHECK_INTERVAL_MS = 1_000;
/** Time in ms from the start in which a daemon without links does not record. */
const LINKING_MS = 3_000;
/** Age of the list, and of the last check, from which changes may be missed. */
const MAX_GAP_MS = 5_000;
/** Shortest interval in ms between two reads for streams that are resumed. */
const MIN_READ_INTERVAL_MS = 50;
/** The same for each daemon of the fleet: 200 reads a second, each of two calls. */
const READ_INTERVAL_PER_DAEMON_MS = 5;

/** Options of a {@linkcode VersionSync}. */
export interface VersionSyncOptions {
  readonly versions: VersionStore;
  readonly runners: Feed<Runner>;
  readonly configurations: Feed<Configuration>;
  readonly daemons: DaemonRegistry;
  readonly directory: RunnerDirectory;
  /** Returns the latest configuration. */
  readonly configuration: () => Configuration | undefined;
  readonly log: EventLog;
  /** Time in ms for which streams may be resumed. */
  readonly retentionMs: () => number;
  /** Milliseconds since the store confirmed runners and configuration. */
  readonly agesMs: () => readonly number[];
  readonly fleetSize: () => number;
  /** Whether this daemon ranks among those that watch the store for all. */
  readonly isWatcher: () => boolean;
  readonly isAlone: () => boolean;
}

/** Records versions until stopped. */
export class VersionSync {
  readonly #options: VersionSyncOptions;
  readonly #recorded: RecordedVersions;
  readonly #confirmed: ConfirmedVersions;
  /** The feeds to be followed. */
  readonly runners: Feed<Runner>;
  readonly configurations: Feed<Configuration>;
  /**
   * The registry in which to register: a daemon records first, so that an entry
   * without a record is that of a daemon which keeps none.
   */
  readonly daemons: DaemonRegistry;
  readonly #startedAt = performance.now();
  #stopped = false;

  constructor(options: VersionSyncOptions) {
    const { versions, runners, directory, log, retentionMs } = options;
    this.#options = options;
    const listed = () => readListed(runners, directory.list);
    const recorded = new RecordedVersions(versions, {
      log,
      now: () => performance.now(),
      retentionMs,
      readListed: async () => {
        const [runners, configurations] = await Promise.all([
          listed(),
          options.configurations.list(),
        ]);
        return entriesOf(runners, configurations.values);
      },
      isFirst: () => this.#isFirst(),
    });
    this.#recorded = recorded;
    this.#confirmed = new ConfirmedVersions(async () => {
      const [stored, runners] = await Promise.all([recorded.read(), listed()]);
      return { stored, runners };
    }, { intervalMs: () => this.#readIntervalMs() });
    this.runners = new RecordedFeed(runners, {
      recorded,
      entriesOf: versionsOf,
    });
    this.configurations = new RecordedFeed(options.configurations, {
      recorded,
      entriesOf: (configurations) => entriesOf([], configurations),
    });
    const { daemons } = options;
    this.daemons = {
      register: async (name, address) => {
        await recordInTime(recorded, this.#entries);
        return await daemons.register(name, address);
      },
      deregister: (name) => daemons.deregister(name),
      addresses: () => daemons.addresses(),
    };
    directory.onChange(() => this.observe());
  }

  /** Handles a change of runners or configuration. */
  observe(): void {
    this.#recorded.observe(this.#entries);
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  /**
   * Returns the only version at which streams of a route can have begun that may be
   * resumed, as the store confirms it now.
   */
  confirm(
    origin: PossibleOrigin,
    maxMs: number,
  ): Promise<VersionConfirmation> {
    return this.#confirmed.confirm(origin, maxMs);
  }

  async #run(): Promise<void> {
    const { agesMs } = this.#options;
    let checkedAt = performance.now();
    while (!this.#stopped) {
      await pause(CHECK_INTERVAL_MS, { background: true });
      if (this.#stopped) return;
      const sinceMs = performance.now() - checkedAt;
      checkedAt = performance.now();
      if (Math.max(sinceMs, ...agesMs()) > MAX_GAP_MS) {
        this.#recorded.interrupted();
      }
      await this.#check();
    }
  }

  async #check(): Promise<void> {
    const { directory, log } = this.#options;
    const recorded = this.#recorded;
    const records = this.#recordsForOthers;
    if (!records && !recorded.isPending) return;
    recorded.restored(epochOf(directory.revision));
    try {
      await recorded.add(this.#entries);
      if (records) await recorded.maintain();
    } catch (error) {
      // Also of a response that cannot be: the next check reads the record again.
      const reason = error instanceof Error ? error.message : String(error);
      log.event("versions_not_recorded", { reason });
    }
  }

  /** What is listed, as far as known here. */
  get #entries(): Entries {
    const { directory, configuration } = this.#options;
    const current = configuration();
    return entriesOf(
      directory.list.runners,
      current === undefined ? [] : [current],
    );
  }

  get #recordsForOthers(): boolean {
    const { isWatcher, isAlone } = this.#options;
    const isLinking = performance.now() - this.#startedAt < LINKING_MS;
    return isWatcher() && !(isLinking && isAlone());
  }

  /** Whether no daemon is registered, so that none has served without a record. */
  async #isFirst(): Promise<boolean> {
    const addresses = await this.#options.daemons.addresses();
    return addresses.length === 0;
  }

  #readIntervalMs(): number {
    return Math.max(
      MIN_READ_INTERVAL_MS,
      READ_INTERVAL_PER_DAEMON_MS * this.#options.fleetSize(),
    );
  }
}

function entriesOf(
  runners: readonly Runner[],
  configurations: readonly Configuration[],
): Entries {
  const routes = configurations.flatMap((configuration) =>
    configuration.routes
  );
  return new Map([...versionsOf(runners), ...destinationsOf(routes)]);
}
