/**
 * Follows configurations and runners in the platform's store.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import { FeedFollower } from "../process/feed.ts";
import type {
  ConnectivityListener,
  Feed,
  FollowerTiming,
} from "../process/feed.ts";
import { pause } from "../process/pause.ts";
import { SharedTimer } from "../process/shared_timer.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { isWatcher, watchWaitMs } from "../process/watch_plan.ts";
import type { WatchCandidate } from "../process/watch_plan.ts";
import type { Configuration } from "../version/configuration.ts";

/**
 * Milliseconds in which a starting daemon connects to those that rank before
 * it.
 */
const DISCOVERY_MS = 500;

/**
 * Milliseconds after which a daemon without a configuration reads the store
 * itself although it has neighbours. Until an operator has written the first
 * configuration, each daemon that waited for it at the store would cost a call
 * every few seconds.
 */
const UNINFORMED_MS = 15_000;

/**
 * Milliseconds between two checks whether this daemon has to watch the store.
 * Meanwhile the other watchers of its domain and of the others continue.
 */
const CHECK_MS = 500;

/** The data and listeners that the followers need. */
export interface FollowerContext {
  readonly own: WatchCandidate;
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "dependency">;
  readonly directory: RunnerDirectory;
  /** Other daemons that are presumed alive. */
  peers(): readonly WatchCandidate[];
  /** In [0, 1). */
  random(): number;
  /** Whether a configuration is in force. */
  configured(): boolean;
  /** Time of the last fetch response from a peer, in monotonic ms. */
  lastResponseAt(): number;
  /** Applies a configuration from the store. */
  applyConfiguration(configuration: Configuration): void;
}

/** Follows both kinds of objects until the process stops. */
export class StoreFollowers {
  readonly #context: FollowerContext;
  readonly #configurations: FeedFollower<Configuration>;
  readonly #runners: FeedFollower<Runner>;
  /** Wakes both followers at the same time while this daemon does not watch. */
  readonly #checks = new SharedTimer(CHECK_MS);

  constructor(context: FollowerContext, feeds: {
    readonly configurations: Feed<Configuration>;
    readonly runners: Feed<Runner>;
  }) {
    this.#context = context;
    this.#configurations = this.#followConfigurations(feeds.configurations);
    this.#runners = this.#followRunners(feeds.runners);
  }

  /** @param opened resolves when the store may be read for the first time. */
  start(opened: Promise<void>): void {
    const { configured, directory } = this.#context;
    void this.#follow(this.#configurations, opened, configured);
    void this.#follow(this.#runners, opened, () => directory.revision > 0);
  }

  stop(): void {
    this.#configurations.stop();
    this.#runners.stop();
  }

  /** Ends the current watches; the next ones start on new connections. */
  restartWatches(): void {
    this.#configurations.restartWatch();
    this.#runners.restartWatch();
  }

  /**
   * Time at which the store last confirmed the list of runners, in monotonic
   * ms.
   */
  get runnersConfirmedAt(): number {
    return this.#runners.confirmedAt;
  }

  /**
   * Reads the store once if needed, and starts the watch when the daemon has had
   * time to learn from its neighbours which daemons watch.
   */
  async #follow(
    follower: FeedFollower<unknown>,
    opened: Promise<void>,
    hasData: () => boolean,
  ): Promise<void> {
    await opened;
    if (!hasData() && this.#isUninformed(follower)) await follower.readOnce();
    await pause(DISCOVERY_MS);
    await follower.run();
  }

  /** Whether neither the store nor a peer has delivered data for a long time. */
  #isUninformed({ confirmedAt }: FeedFollower<unknown>): boolean {
    const informedAt = Math.max(confirmedAt, this.#context.lastResponseAt());
    return performance.now() - informedAt >= UNINFORMED_MS;
  }

  #followConfigurations(
    feed: Feed<Configuration>,
  ): FeedFollower<Configuration> {
    const adoptAll = (values: readonly Configuration[]) => {
      for (const value of values) this.#context.applyConfiguration(value);
    };
    return new FeedFollower(feed, {
      listed: ({ values }) => adoptAll(values),
      changed: ({ updated }) => adoptAll(updated),
    }, {
      connectivity: this.#connectivityListener("store_configuration"),
      timing: this.#timing(
        () => this.#context.configured(),
        () => this.#configurations,
      ),
    });
  }

  #followRunners(feed: Feed<Runner>): FeedFollower<Runner> {
    const { directory } = this.#context;
    return new FeedFollower(feed, {
      listed: ({ revision, values }) => {
        directory.replace({ revision, runners: values });
      },
      changed: ({ revision, updated, removed }) => {
        directory.applyChange(revision, updated, removed);
      },
    }, {
      connectivity: this.#connectivityListener("store_runners"),
      timing: this.#timing(
        () => directory.revision > 0,
        () => this.#runners,
      ),
    });
  }

  /**
   * When the store is read and watched.
   *
   * @param hasData whether the daemon has data of this kind.
   */
  #timing(
    hasData: () => boolean,
    follower: () => FeedFollower<unknown>,
  ): FollowerTiming {
    const { own, peers, random } = this.#context;
    return {
      waitMs: () => watchWaitMs([own, ...peers()], random()),
      shouldRead: () =>
        peers().length === 0 || isWatcher(own, [own, ...peers()]) ||
        (!hasData() && this.#isUninformed(follower())),
      untilNextCheck: () => this.#checks.next(),
    };
  }

  #connectivityListener(dependency: string): ConnectivityListener {
    const { log, metrics } = this.#context;
    return {
      lost: (reason) => {
        metrics.dependency(dependency, false);
        log.event("dependency_lost", { dependency, reason });
      },
      regained: (afterMs) => {
        metrics.dependency(dependency, true);
        log.event("dependency_regained", {
          dependency,
          after_ms: Math.round(afterMs),
        });
      },
    };
  }
}
