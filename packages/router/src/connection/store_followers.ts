/**
 * Following the platform's store: configurations and runners.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import { Follower } from "../process/feed.ts";
import type { ContactListener, Feed, FollowerTiming } from "../process/feed.ts";
import type { RequestMetrics } from "../process/metrics.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { watches, watchMs } from "../process/watch_plan.ts";
import type { Watcher } from "../process/watch_plan.ts";
import type { Configuration } from "../version/configuration.ts";

/** Who is told, and what decides how often the store is read. */
export interface FollowerHost {
  readonly own: Watcher;
  readonly log: EventLog;
  readonly metrics: RequestMetrics;
  readonly directory: RunnerDirectory;
  /** Other daemons whose links are up. */
  peers(): readonly Watcher[];
  /** In [0, 1). */
  random(): number;
  /** Whether there is a configuration to go on with. */
  configured(): boolean;
  /** Takes a configuration from the store. */
  adopt(configuration: Configuration): void;
}

/** Follows both kinds of objects for as long as the process lives. */
export class StoreFollowers {
  readonly #host: FollowerHost;
  readonly #configurations: Follower<Configuration>;
  readonly #runners: Follower<Runner>;

  constructor(host: FollowerHost, feeds: {
    readonly configurations: Feed<Configuration>;
    readonly runners: Feed<Runner>;
  }) {
    this.#host = host;
    this.#configurations = this.#followConfigurations(feeds.configurations);
    this.#runners = this.#followRunners(feeds.runners);
  }

  start(): void {
    void this.#configurations.run();
    void this.#runners.run();
  }

  stop(): void {
    this.#configurations.stop();
    this.#runners.stop();
  }

  /** Ends the present waits, so that the next ones start on new connections. */
  hurry(): void {
    this.#configurations.hurry();
    this.#runners.hurry();
  }

  /** Steady milliseconds at which the store last confirmed the runners. */
  get runnersConfirmedAt(): number {
    return this.#runners.confirmedAt;
  }

  #followConfigurations(feed: Feed<Configuration>): Follower<Configuration> {
    const take = (values: readonly Configuration[]) => {
      for (const value of values) this.#host.adopt(value);
    };
    return new Follower(feed, {
      listed: ({ values }) => take(values),
      changed: ({ entered }) => take(entered),
    }, {
      contact: this.#contactListener("store_configuration"),
      timing: this.#timing(() => this.#host.configured()),
    });
  }

  #followRunners(feed: Feed<Runner>): Follower<Runner> {
    const { directory } = this.#host;
    return new Follower(feed, {
      listed: ({ revision, values }) => {
        directory.replace({ revision, runners: values });
      },
      changed: ({ revision, entered, left }) => {
        directory.change(revision, entered, left);
      },
    }, {
      contact: this.#contactListener("store_runners"),
      timing: this.#timing(() => directory.revision > 0),
    });
  }

  /** How the store is followed, given whether there is something to go on with. */
  #timing(known: () => boolean): FollowerTiming {
    const { own, peers, random } = this.#host;
    return {
      waitMs: () => watchMs([own, ...peers()], random()),
      active: () =>
        !known() || peers().length === 0 || watches(own, [own, ...peers()]),
    };
  }

  #contactListener(dependency: string): ContactListener {
    const { log, metrics } = this.#host;
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
