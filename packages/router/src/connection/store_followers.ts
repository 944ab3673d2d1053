/**
 * Reads and watches configurations and runners in the platform's store.
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
 * Time in ms that a starting daemon has to connect to the daemons that rank before
 * it (see `ranksBefore`).
 */
const DISCOVERY_MS = 500;

/**
 * Time in ms without a response from the store or a peer after which a daemon that
 * lacks a configuration or the runners reads the store itself, although it has
 * neighbours. Until an operator has written the first configuration, each daemon
 * that watched the store for it would make a call every few seconds.
 */
const RESPONSE_TIMEOUT_MS = 15_000;

/**
 * Milliseconds between two checks whether this daemon has to watch the store. A
 * delay does no harm: the other watchers, in this failure domain and in others,
 * still watch.
 */
const CHECK_MS = 500;

/** The data and listeners that the followers need. */
export interface FollowerContext {
  /** This daemon. */
  readonly own: WatchCandidate;
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "dependency">;
  readonly directory: RunnerDirectory;
  /** Other daemons that are presumed alive. */
  peers(): readonly WatchCandidate[];
  /** In [0, 1). */
  random(): number;
  /** Whether this daemon has a configuration. */
  configured(): boolean;
  /** Time of a peer's last response to a `FetchRequest`, in monotonic ms. */
  lastResponseAt(): number;
  /** Applies a configuration from the store. */
  applyConfiguration(configuration: Configuration): void;
}

/** Reads and watches the configurations and the runners until stopped. */
export class StoreFollowers {
  readonly #context: FollowerContext;
  readonly #configurations: FeedFollower<Configuration>;
  readonly #runners: FeedFollower<Runner>;
  /**
   * Timer by which both followers, while this daemon does not watch, check again
   * whether it should.
   */
  readonly #checks = new SharedTimer(CHECK_MS);

  constructor(context: FollowerContext, feeds: {
    readonly configurations: Feed<Configuration>;
    readonly runners: Feed<Runner>;
  }) {
    this.#context = context;
    this.#configurations = this.#followConfigurations(feeds.configurations);
    this.#runners = this.#followRunners(feeds.runners);
  }

  /** @param mayRead resolves when the store may be read for the first time. */
  start(mayRead: Promise<void>): void {
    const { configured, directory } = this.#context;
    void this.#follow(this.#configurations, mayRead, configured);
    void this.#follow(this.#runners, mayRead, () => directory.revision > 0);
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
   * Reads the store once if this daemon has neither data nor responses yet. Then
   * waits until the daemon has had time to receive contacts of other daemons, which
   * decide whether it watches, and starts the follower.
   */
  async #follow(
    follower: FeedFollower<unknown>,
    mayRead: Promise<void>,
    hasData: () => boolean,
  ): Promise<void> {
    await mayRead;
    if (!hasData() && this.#lacksResponses(follower)) await follower.readOnce();
    await pause(DISCOVERY_MS);
    await follower.run();
  }

  /**
   * Whether neither the store nor a peer has responded within
   * {@linkcode RESPONSE_TIMEOUT_MS}, or ever.
   */
  #lacksResponses({ confirmedAt }: FeedFollower<unknown>): boolean {
    const respondedAt = Math.max(confirmedAt, this.#context.lastResponseAt());
    return performance.now() - respondedAt >= RESPONSE_TIMEOUT_MS;
  }

  #followConfigurations(
    feed: Feed<Configuration>,
  ): FeedFollower<Configuration> {
    const applyAll = (values: readonly Configuration[]) => {
      for (const value of values) this.#context.applyConfiguration(value);
    };
    return new FeedFollower(feed, {
      listed: ({ values }) => applyAll(values),
      // The removal of a configuration has no effect.
      changed: ({ updated }) => applyAll(updated),
    }, {
      connectivity: this.#connectivityListener("store_configuration"),
      timing: this.#timing(
        () => this.#context.configured(),
        () => this.#configurations,
      ),
    });
  }

  #followRunners(feed: Feed<Runner>): FeedFollower<Runner> {
    const { directory, log } = this.#context;
    return new FeedFollower(feed, {
      listed: ({ revision, values: runners }, { stale }) => {
        const known = directory.revision;
        const list = { revision, runners };
        if (directory.replace(list, { current: !stale })) return;
        log.event("runner_list_ignored", { revision, known });
        return false;
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
   * Returns when a follower reads the store, and how long its watches wait.
   *
   * @param hasData whether the daemon has data of this kind.
   * @param follower is called later, because the follower is created with this
   * timing.
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
        (!hasData() && this.#lacksResponses(follower())),
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
      regained: (outageMs) => {
        metrics.dependency(dependency, true);
        log.event("dependency_regained", {
          dependency,
          after_ms: Math.round(outageMs),
        });
      },
    };
  }
}
