/**
 * Following the platform's store: configurations and runners.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import { Follower } from "../process/feed.ts";
import type { ContactListener, Feed, FollowerTiming } from "../process/feed.ts";
import { pause } from "../process/pause.ts";
import { Pulse } from "../process/pulse.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { isWatcher, watchWaitMs } from "../process/watch_plan.ts";
import type { WatchCandidate } from "../process/watch_plan.ts";
import type { Configuration } from "../version/configuration.ts";

/** Milliseconds in which a daemon that starts meets those that rank before it. */
const MEET_MS = 500;

/**
 * Milliseconds after which a daemon without a configuration looks for one by
 * itself though it has neighbours. Before an operator has written the first one,
 * each daemon that waited for it at the store would cost a call every few seconds.
 */
const LOOK_AGAIN_MS = 15_000;

/**
 * Milliseconds between two questions whether to watch the store. Another watcher
 * of the domain and those of the others go on meanwhile.
 */
const LOOK_MS = 500;

/** Who is told, and what decides how often the store is read. */
export interface FollowerContext {
  readonly own: WatchCandidate;
  readonly log: EventLog;
  readonly metrics: Pick<RequestMetrics, "dependency">;
  readonly directory: RunnerDirectory;
  /** Other daemons that are taken to live, as far as known. */
  peers(): readonly WatchCandidate[];
  /** In [0, 1). */
  random(): number;
  /** Whether there is a configuration to go on with. */
  configured(): boolean;
  /** Steady milliseconds at which a peer gave something last. */
  lastResponseAt(): number;
  /** Takes a configuration from the store. */
  adopt(configuration: Configuration): void;
}

/** Follows both kinds of objects for as long as the process lives. */
export class StoreFollowers {
  readonly #context: FollowerContext;
  readonly #configurations: Follower<Configuration>;
  readonly #runners: Follower<Runner>;
  /** Wakes both followers at once while this daemon does not watch. */
  readonly #looks = new Pulse(LOOK_MS);

  constructor(context: FollowerContext, feeds: {
    readonly configurations: Feed<Configuration>;
    readonly runners: Feed<Runner>;
  }) {
    this.#context = context;
    this.#configurations = this.#followConfigurations(feeds.configurations);
    this.#runners = this.#followRunners(feeds.runners);
  }

  /** @param opened when the store may be read first. */
  start(opened: Promise<void>): void {
    const { configured, directory } = this.#context;
    void this.#follow(this.#configurations, opened, configured);
    void this.#follow(this.#runners, opened, () => directory.revision > 0);
  }

  stop(): void {
    this.#configurations.stop();
    this.#runners.stop();
  }

  /** Ends the present waits, so that the next ones start on new connections. */
  restartWatches(): void {
    this.#configurations.hurry();
    this.#runners.hurry();
  }

  /** Steady milliseconds at which the store last confirmed the runners. */
  get runnersConfirmedAt(): number {
    return this.#runners.confirmedAt;
  }

  /** By the time it watches, a daemon with neighbours knows who else does. */
  async #follow(
    follower: Follower<unknown>,
    opened: Promise<void>,
    known: () => boolean,
  ): Promise<void> {
    await opened;
    if (!known() && this.#isUninformed(follower)) await follower.readOnce();
    await pause(MEET_MS);
    await follower.run();
  }

  /** Whether neither the store nor a peer has told anything for long. */
  #isUninformed({ confirmedAt }: Follower<unknown>): boolean {
    const heardAt = Math.max(confirmedAt, this.#context.lastResponseAt());
    return performance.now() - heardAt >= LOOK_AGAIN_MS;
  }

  #followConfigurations(feed: Feed<Configuration>): Follower<Configuration> {
    const take = (values: readonly Configuration[]) => {
      for (const value of values) this.#context.adopt(value);
    };
    return new Follower(feed, {
      listed: ({ values }) => take(values),
      changed: ({ updated: entered }) => take(entered),
    }, {
      contact: this.#contactListener("store_configuration"),
      timing: this.#timing(
        () => this.#context.configured(),
        () => this.#configurations,
      ),
    });
  }

  #followRunners(feed: Feed<Runner>): Follower<Runner> {
    const { directory } = this.#context;
    return new Follower(feed, {
      listed: ({ revision, values }) => {
        directory.replace({ revision, runners: values });
      },
      changed: ({ revision, updated: entered, removed: left }) => {
        directory.applyChange(revision, entered, left);
      },
    }, {
      contact: this.#contactListener("store_runners"),
      timing: this.#timing(
        () => directory.revision > 0,
        () => this.#runners,
      ),
    });
  }

  /**
   * How the store is followed.
   *
   * @param known whether there is something to go on with.
   */
  #timing(
    known: () => boolean,
    follower: () => Follower<unknown>,
  ): FollowerTiming {
    const { own, peers, random } = this.#context;
    return {
      waitMs: () => watchWaitMs([own, ...peers()], random()),
      active: () =>
        peers().length === 0 || isWatcher(own, [own, ...peers()]) ||
        (!known() && this.#isUninformed(follower())),
      untilActive: () => this.#looks.next(),
    };
  }

  #contactListener(dependency: string): ContactListener {
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
