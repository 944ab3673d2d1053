/**
 * Reads and watches configurations and runners in the platform's store.
 *
 * @module
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import { FeedFollower } from "../process/feed.ts";
import type { ConnectivityListener, Feed, FeedSink } from "../process/feed.ts";
import { pause } from "../process/pause.ts";
import type {
  Confirmed,
  StoreConfirmations,
} from "../process/store_confirmations.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { RunnerListLog } from "../process/runner_list_log.ts";
import type { Configuration } from "../version/configuration.ts";
import { ReadTiming } from "./read_timing.ts";
import type { ReadContext } from "./read_timing.ts";

/**
 * Time in ms that a starting daemon has to connect to the daemons that rank before
 * it (see `ranksBefore`).
 */
const DISCOVERY_MS = 500;

/** The data and listeners that the followers need. */
export interface FollowerContext extends ReadContext {
  readonly metrics: Pick<RequestMetrics, "dependency">;
  readonly directory: RunnerDirectory;
  /** What the store has confirmed last, to this daemon or to others. */
  readonly confirmed: Confirmed;
  /** Resolves when to check again whether to read. */
  nextTick(): Promise<void>;
  /**
   * Called when the store no longer serves this daemon or does so again, or has
   * confirmed data that was stale.
   */
  storeStatusChanged(): void;
  /** Whether this daemon has a configuration. */
  configured(): boolean;
  /** Applies a configuration from the store. */
  applyConfiguration(configuration: Configuration): void;
}

/** A follower of one kind of data, and when it reads. */
interface TimedFollower {
  readonly follower: FeedFollower<unknown>;
  readonly timing: ReadTiming;
  hasData(): boolean;
}

/** Reads and watches the configurations and the runners until stopped. */
export class StoreFollowers {
  readonly #context: FollowerContext;
  readonly #followers: readonly TimedFollower[];
  #stopped = false;

  constructor(context: FollowerContext, feeds: {
    readonly configurations: Feed<Configuration>;
    readonly runners: Feed<Runner>;
  }) {
    this.#context = context;
    this.#followers = [
      this.#followConfigurations(feeds.configurations),
      this.#followRunners(feeds.runners),
    ];
  }

  /** @param mayRead resolves when the store may be read for the first time. */
  start(mayRead: Promise<void>): void {
    for (const timed of this.#followers) void this.#follow(timed, mayRead);
    void this.#restartStaleWatches();
  }

  stop(): void {
    this.#stopped = true;
    for (const { follower } of this.#followers) follower.stop();
  }

  /** Whether this daemon watches the store as those that should cannot. */
  get replacesWatchers(): boolean {
    return this.#followers.some(({ timing }) => timing.replacesWatchers);
  }

  /** Whether the last calls of this daemon to the store have failed. */
  get storeLost(): boolean {
    return this.#followers.some(({ follower }) => follower.isLost);
  }

  /** Ends the current watches; the next ones start on new connections. */
  restartWatches(): void {
    for (const { follower } of this.#followers) follower.restartWatch();
  }

  /**
   * Reads the store once if this daemon has neither data nor responses yet. Then
   * waits until the daemon has had time to receive contacts of other daemons, which
   * decide whether it watches, and starts the follower.
   */
  async #follow(
    { follower, timing, hasData }: TimedFollower,
    mayRead: Promise<void>,
  ): Promise<void> {
    await mayRead;
    if (!hasData() && timing.lacksResponses()) await follower.readOnce();
    await pause(DISCOVERY_MS);
    await follower.run();
  }

  /** Restarts watches during which the data has become stale. */
  async #restartStaleWatches(): Promise<void> {
    while (!this.#stopped) {
      await this.#nextCheck();
      for (const { follower, timing } of this.#followers) {
        if (!follower.isWatching || !timing.beginWatchRestart()) continue;
        follower.restartWatch();
      }
    }
  }

  /**
   * Resolves at the next check. After a pause of this process, timers fire before
   * what peers have sent meanwhile is read.
   */
  async #nextCheck(): Promise<void> {
    await this.#context.nextTick();
    await nextTurn();
  }

  #followConfigurations(feed: Feed<Configuration>): TimedFollower {
    const { confirmed, configured, applyConfiguration } = this.#context;
    const applyAll = (values: readonly Configuration[]) => {
      for (const value of values) applyConfiguration(value);
    };
    return this.#createFollower(feed, {
      listed: ({ values }) => applyAll(values),
      // The removal of a configuration has no effect.
      changed: ({ updated }) => applyAll(updated),
    }, {
      dependency: "store_configuration",
      confirmations: confirmed.configuration,
      hasData: configured,
    });
  }

  #followRunners(feed: Feed<Runner>): TimedFollower {
    const { confirmed, directory, log } = this.#context;
    const listLog = new RunnerListLog(log, directory);
    return this.#createFollower(feed, {
      listed: ({ revision, values: runners }, { stale }) => {
        const known = directory.revision;
        const list = { revision, runners };
        const replace = () => directory.replace(list, { current: !stale });
        if (listLog.apply("store", replace)) return;
        log.event("runner_list_ignored", { revision, known });
        return false;
      },
      changed: ({ revision, updated, removed }) => {
        listLog.apply(
          "store",
          () => directory.applyChange(revision, updated, removed),
        );
      },
    }, {
      dependency: "store_runners",
      confirmations: confirmed.runners,
      hasData: () => directory.revision > 0,
    });
  }

  #createFollower<T>(feed: Feed<T>, sink: FeedSink<T>, data: {
    readonly dependency: string;
    readonly confirmations: StoreConfirmations;
    hasData(): boolean;
  }): TimedFollower {
    const { dependency, confirmations, hasData } = data;
    const timing = new ReadTiming(this.#context, {
      dependency,
      confirmations,
      hasData,
      respondedAt: () => follower.respondedAt,
      failedAt: () => follower.failedAt,
      storeLost: () => this.storeLost,
      untilNextCheck: () => this.#nextCheck(),
    });
    const confirm = () => {
      const wasStale = timing.isStale();
      confirmations.recordOwn(performance.now());
      if (wasStale) this.#context.storeStatusChanged();
    };
    const connectivity = this.#connectivityListener(dependency, confirm);
    const follower = new FeedFollower(feed, sink, { connectivity, timing });
    return { follower, timing, hasData };
  }

  #connectivityListener(
    dependency: string,
    confirmed: () => void,
  ): ConnectivityListener {
    const { log, metrics, storeStatusChanged } = this.#context;
    return {
      confirmed,
      lost: (reason) => {
        metrics.dependency(dependency, false);
        log.event("dependency_lost", { dependency, reason });
        storeStatusChanged();
      },
      regained: (outageMs) => {
        metrics.dependency(dependency, true);
        log.event("dependency_regained", {
          dependency,
          after_ms: Math.round(outageMs),
        });
        storeStatusChanged();
      },
      unneeded: () => {
        metrics.dependency(dependency, true);
        log.event("dependency_unneeded", { dependency });
        storeStatusChanged();
      },
    };
  }
}
