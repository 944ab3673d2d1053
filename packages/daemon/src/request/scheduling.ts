/**
 * Creates the scheduler selected by the settings.
 *
 * @module
 */
import type { Clock, Membership, Peers } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { Log } from "../process/log.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { BrokerRegistry } from "../process/scheduling/broker_registry.ts";
import { LoadReports } from "../process/scheduling/load_reports.ts";
import {
  ALL_ENABLED,
  type SchedulerSwitches,
} from "../process/scheduling/switches.ts";
import type { TableSource } from "../process/table_source.ts";
import { BrokeredScheduler } from "./brokered_scheduler.ts";
import { FifoScheduler } from "./fifo_scheduler.ts";
import { RandomScheduler } from "./random_scheduler.ts";
import type { Scheduler } from "./scheduler.ts";

/** Names of the scheduling policies. */
export type Policy = "umbermast" | "fifo" | "random";

/** The `scheduling` section of the settings. */
export interface SchedulingSettings {
  /** `umbermast` by default; the others are baselines for measurement. */
  readonly policy?: Policy;
  /** Mechanisms to disable for measurements; all are enabled by default. */
  readonly switches?: Partial<SchedulerSwitches>;
  /** Milliseconds between two load reports of a runner; 250 by default. */
  readonly reportIntervalMs?: number;
}

/** Collaborators of a scheduler. */
export interface SchedulerDependencies {
  readonly directory: RunnerDirectory;
  readonly table: TableSource;
  readonly clock: Clock;
  readonly log: Log;
  /** Absent in a daemon without peers, which is then its own broker. */
  readonly peers?: Peers;
  readonly membership?: Membership;
}

/**
 * Creates the scheduler selected by the settings and runs its background tasks
 * until the scope closes.
 */
export function makeScheduler(
  context: SchedulerDependencies,
  settings: SchedulingSettings = {},
): Effect.Effect<Scheduler, never, Scope.Scope> {
  return Effect.gen(function* () {
    const { clock, directory, log } = context;
    const policy = settings.policy ?? "umbermast";
    log.event("scheduler_chosen", { policy });
    if (policy === "random") {
      return new RandomScheduler({
        directory,
        clock,
        log,
        random: Math.random,
      });
    }
    const { reportIntervalMs } = settings;
    const reports = new LoadReports({
      clock,
      ...(reportIntervalMs === undefined
        ? {}
        : { intervalMs: reportIntervalMs }),
    });
    yield* reports.poll(directory);
    if (policy === "fifo") return new FifoScheduler({ ...context, reports });
    const switches = { ...ALL_ENABLED, ...settings.switches };
    const registry = new BrokerRegistry({ ...context, reports, switches });
    const scheduler = new BrokeredScheduler({ ...context, registry });
    yield* registry.start();
    yield* scheduler.start();
    return scheduler;
  });
}
