/**
 * Composes a daemon's part in leader election and in the tasks of the leader.
 *
 * @module
 */
import { SYSTEM_CLOCK } from "@umbermast/coordination/clock";
import type { FleetSync } from "./connection/fleet_sync.ts";
import type { SharedLeaderState } from "./connection/apply_update.ts";
import { Autoscaler } from "./process/autoscaler.ts";
import type { AutoscalerSources } from "./process/autoscaler.ts";
import type { Contact } from "./process/contact.ts";
import type { EventLog } from "./process/event_log.ts";
import { FleetTime, HOST_CLOCKS } from "./process/fleet_time.ts";
import { Leader } from "./process/leader.ts";
import type { LeaderMetrics } from "./process/leader.ts";
import { LeaderLease } from "./process/leader_lease.ts";
import type { LeaderStore } from "./process/leader_record.ts";
import type { PlatformApi } from "./process/platform_api.ts";
import type { LeadershipSettings } from "./process/settings.ts";
import { UsageMeter } from "./process/usage_meter.ts";

/** The platform's interfaces for leaders. */
export interface LeaderPlatform {
  /** The store that holds the leader's lease. */
  readonly leaderStore: LeaderStore;
  /** The platform's API; absent where it has none. */
  readonly api: PlatformApi | undefined;
}

/** The parts of the router that the leader uses. */
export interface LeadershipDependencies extends Omit<AutoscalerSources, "log"> {
  readonly own: Contact;
  readonly log: EventLog;
  readonly metrics: LeaderMetrics;
  readonly fleetSync: () => FleetSync;
  /** In [0, 1). */
  readonly random: () => number;
}

/**
 * Meters usage and takes part in leader election. Does nothing where the platform
 * has no API.
 */
export class Leadership implements SharedLeaderState {
  readonly time = new FleetTime(HOST_CLOCKS);
  readonly usage: UsageMeter | undefined;
  readonly lease: LeaderLease | undefined;
  readonly #leader: Leader | undefined;
  readonly #log: EventLog;

  constructor(
    settings: LeadershipSettings | undefined,
    { leaderStore, api }: LeaderPlatform,
    dependencies: LeadershipDependencies,
  ) {
    const { own, log } = dependencies;
    this.#log = log;
    if (settings === undefined || api === undefined) return;
    const { leaseMs, usage } = settings;
    this.usage = usage && new UsageMeter({
      incarnation: own.incarnation,
      windowMs: usage.windowMs,
      now: () => this.time.now(),
      log,
    });
    this.lease = new LeaderLease({
      store: leaderStore,
      own,
      leaseMs,
      clock: SYSTEM_CLOCK,
      log,
    });
    this.#leader = this.#createLeader(this.lease, api, {
      settings,
      dependencies,
    });
  }

  /** Counts a request of a workspace that a runner has started. */
  requestStarted(workspace: string): void {
    this.usage?.countRequest(workspace);
  }

  start(): void {
    if (this.#leader === undefined) this.#log.event("leadership_off", {});
    void this.#leader?.run();
  }

  /** Stops at once. */
  stop(): void {
    this.#leader?.stop();
  }

  /** Releases the lease, if this daemon leads. */
  async stepDown(): Promise<void> {
    await this.#leader?.stepDown();
  }

  #createLeader(lease: LeaderLease, api: PlatformApi, options: {
    readonly settings: LeadershipSettings;
    readonly dependencies: LeadershipDependencies;
  }): Leader {
    const { leaseMs, ordersRunners, usage: timing } = options.settings;
    const { own, log, metrics, fleetSync, random } = options.dependencies;
    const meter = this.usage;
    return new Leader({
      name: own.name,
      lease,
      leaseMs,
      api,
      usage: meter && timing && {
        meter,
        timing,
        daemons: () => fleetSync().linkedDaemons,
        recentDaemons: () => fleetSync().fleetSize,
      },
      scalingPolicy: ordersRunners
        ? new Autoscaler(options.dependencies)
        : undefined,
      eligible: () => fleetSync().mayLead,
      leaseChanged: () => fleetSync().leaseChanged(),
      now: () => this.time.now(),
      monotonic: () => HOST_CLOCKS.monotonic(),
      random,
      log,
      metrics,
    });
  }
}
