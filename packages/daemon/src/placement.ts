/**
 * Composes placement: one task per model service of the table.
 *
 * @module
 */
import { Lease, rendezvous, SYSTEM_CLOCK } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { Fleet } from "./fleet.ts";
import type { Log } from "./process/log.ts";
import {
  FleetDemand,
  LocalDemand,
} from "./process/placement/placement_demand.ts";
import { HttpEngineOrders } from "./process/placement/placement_orders_http.ts";
import { HttpEngineReports } from "./process/placement/placement_reports.ts";
import { PlacementTask } from "./process/placement/placement_task.ts";
import type { Settings } from "./process/settings.ts";

/** Daemons that compete for a service's lease; a low number limits store calls. */
const CANDIDATES = 2;

/** Placement at this daemon. */
export interface Placement {
  /** Counts this daemon's calls. */
  readonly counter: LocalDemand;
}

/** Starts a task for each model service, including those added later. */
export function startPlacement(
  fleet: Fleet,
  options: { readonly settings: Settings; readonly log: Log },
): Effect.Effect<Placement, never, Scope.Scope> {
  return Effect.gen(function* () {
    const counter = new LocalDemand();
    const { membership, peers } = fleet.node;
    const demand = new FleetDemand({ counter, membership, peers });
    const { placement } = options.settings;
    if (!placement.enabled) return { counter };
    const scope = yield* Effect.scope;
    const started = new Set<string>();
    const startNewTasks = () => {
      for (const { name, kind } of fleet.feed.current()?.table.services ?? []) {
        if (kind !== "model" || started.has(name)) continue;
        started.add(name);
        const task = taskOf(fleet, name, { ...options, demand });
        Effect.runSync(Effect.forkIn(task.run(), scope));
      }
    };
    yield* Effect.acquireRelease(
      Effect.sync(() => fleet.feed.subscribe(startNewTasks)),
      (unsubscribe) => Effect.sync(unsubscribe),
    );
    startNewTasks();
    return { counter };
  });
}

function taskOf(
  fleet: Fleet,
  service: string,
  options: {
    readonly settings: Settings;
    readonly log: Log;
    readonly demand: FleetDemand;
  },
): PlacementTask {
  const { settings, log, demand } = options;
  const definition = () => fleet.feed.current()?.servicesByName.get(service);
  return new PlacementTask({
    service,
    log,
    demand,
    definition,
    clock: SYSTEM_CLOCK,
    orders: new HttpEngineOrders(),
    reports: new HttpEngineReports(),
    runners: () => fleet.directory.runners(service),
    intervalMs: settings.placement.intervalMs,
    reportLagMs: settings.placement.reportLagMs,
    lease: new Lease({
      store: fleet.store,
      name: `placement-${service}`,
      holder: settings.name,
      wanted: () => definition() !== undefined && isCandidate(fleet, service),
    }),
  });
}

/** Whether this daemon is a candidate, which each daemon computes from its own view. */
function isCandidate({ node }: Fleet, service: string): boolean {
  const { membership } = node;
  const live = membership.view().members
    .filter(({ state }) => state !== "leaving")
    .map(({ member }) => member.name);
  const candidates = rendezvous(`placement/${service}`, live);
  return candidates.slice(0, CANDIDATES).includes(membership.self.name);
}
