/**
 * Composes the daemon's components and runs them from start to shutdown.
 *
 * @module
 */
import process from "node:process";
import { getHeapStatistics } from "node:v8";
import type { ListenFailed as PeersListenFailed } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import * as Schedule from "effect/Schedule";
import type * as Scope from "effect/Scope";
import { openCallerServer } from "./connection/caller_server.ts";
import type { ListenFailed } from "./connection/listener.ts";
import { openOperatorServer } from "./connection/operator_server.ts";
import { joinFleet } from "./fleet.ts";
import type { Fleet } from "./fleet.ts";
import {
  operatorPostHandlers,
  operatorResources,
} from "./operator_resources.ts";
import { startPlacement } from "./placement.ts";
import { DecisionHistory } from "./process/decisions.ts";
import { Lifecycle } from "./process/lifecycle.ts";
import type { Log } from "./process/log.ts";
import { LineLog } from "./process/log_lines.ts";
import { Metrics } from "./process/metrics.ts";
import type { Settings } from "./process/settings.ts";
import { listenForSignals } from "./process/signals.ts";
import type { ShutdownSignals } from "./process/signals.ts";
import { CallerRequests } from "./request/caller_requests.ts";
import { CountedCallRunner } from "./request/placement_demand.ts";
import { RequestMetrics } from "./request/request_metrics.ts";
import { makeCallRunner } from "./routing.ts";

/** Share of the heap that open requests may take without their bodies. */
const REQUEST_SHARE = 1 / 4;
const EXIT_DRAINED = 0;
const EXIT_INTERRUPTED = 1;
const READINESS_INTERVAL_MS = 100;
/** Time for interrupted requests to end, before their responses are aborted. */
const INTERRUPT_TIMEOUT_MS = 1000;
/** Time for callers to read the errors of aborted responses. */
const INTERRUPT_FLUSH_TIMEOUT_MS = 1000;
/** Time to record the settlements of claims; unrecorded claims remain in place. */
const CLAIMS_DRAIN_TIMEOUT_MS = 2000;

/** Listening on an address failed. */
export type StartFailed = ListenFailed | PeersListenFailed;

/** Returns the conditions that the daemon's readiness requires. */
function readinessRequirements(fleet: Fleet) {
  return [
    {
      reason: "table_unread",
      isMet: () => fleet.feed.current() !== undefined,
    },
    {
      reason: "hosts_unread",
      isMet: () => fleet.node.hostList.hosts().length > 0,
    },
  ];
}

/**
 * Waits for requests in flight, until the grace period ends or a second signal
 * arrives.
 *
 * @returns the exit status of the process.
 */
function drain(
  requests: CallerRequests,
  options: { readonly signals: ShutdownSignals; readonly graceMs: number },
): Effect.Effect<number> {
  const interrupted = Effect.race(
    Effect.as(options.signals.immediate, EXIT_INTERRUPTED),
    Effect.as(Effect.sleep(options.graceMs), EXIT_INTERRUPTED),
  );
  return Effect.race(Effect.as(requests.idle, EXIT_DRAINED), interrupted);
}

/** Waits for an effect, but no longer than a time limit. */
function waitAtMost(limitMs: number, effect: Effect.Effect<void>) {
  return Effect.race(effect, Effect.sleep(limitMs));
}

/** Interrupts the remaining requests and aborts their responses. */
function stopRequests(requests: CallerRequests): Effect.Effect<void> {
  return Effect.gen(function* () {
    requests.interruptAll();
    yield* waitAtMost(INTERRUPT_TIMEOUT_MS, requests.idle);
    requests.abandonAll();
  });
}

/** Counts items by the name that a function returns. */
function countBy<A>(
  items: readonly A[],
  nameOf: (item: A) => string,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const item of items) {
    const name = nameOf(item);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Runs a daemon until a shutdown signal; see {@linkcode Lifecycle}. */
function runUntilSignal(
  settings: Settings,
  services: {
    readonly log: Log;
    readonly decisions: DecisionHistory;
    readonly metrics: Metrics;
  },
): Effect.Effect<number, StartFailed, Scope.Scope> {
  const { log, decisions, metrics } = services;
  return Effect.gen(function* () {
    const signals = yield* listenForSignals;
    const fleet = yield* joinFleet(settings, log);
    const lifecycle = new Lifecycle(log, readinessRequirements(fleet));
    metrics.observeGauges(() => ({
      requestsInFlight: requests.inFlight,
      callerConnections: callers.connections,
      tableVersion: fleet.feed.current()?.version ?? 0,
      members: countBy(
        fleet.node.membership.view().members,
        (entry) => entry.state,
      ),
      runners: countBy(fleet.directory.all(), (runner) => runner.service),
    }));
    const placement = yield* startPlacement(fleet, { settings, log });
    const requests = new CallerRequests({
      runner: new CountedCallRunner(
        yield* makeCallRunner(fleet, { settings, log }),
        placement.counter,
      ),
      limits: settings.limits,
      requestBytes: REQUEST_SHARE * getHeapStatistics().heap_size_limit,
      log,
      observer: new RequestMetrics(metrics),
      table: () => fleet.feed.current(),
      isShuttingDown: () => lifecycle.leaving,
    });
    const callers = yield* openCallerServer(settings.listen, {
      limits: settings.limits,
      handler: requests,
    });
    const operators = yield* openOperatorServer(
      settings.operators,
      operatorResources({
        ...fleet,
        settings,
        lifecycle,
        metrics,
        decisions,
        requests,
        connections: () => callers.connections,
      }),
      { postHandlers: operatorPostHandlers(fleet) },
    );
    const { address, port } = fleet.node.membership.self;
    log.event("listening", {
      callers: callers.address,
      operators: operators.address,
      peers: `${address}:${port}`,
    });
    yield* Effect.sync(() => lifecycle.readiness()).pipe(
      Effect.repeat(Schedule.spaced(READINESS_INTERVAL_MS)),
      Effect.forkScoped,
    );
    yield* signals.graceful;
    lifecycle.enter("leaving");
    yield* fleet.node.leave;
    const { graceMs } = settings.shutdown;
    const status = yield* drain(requests, { signals, graceMs });
    lifecycle.enter("stopping");
    yield* stopRequests(requests);
    const flushMs = settings.limits.callerWriteTimeoutMs;
    yield* status === EXIT_DRAINED
      ? waitAtMost(flushMs, Effect.race(callers.flushed, signals.immediate))
      : waitAtMost(INTERRUPT_FLUSH_TIMEOUT_MS, callers.flushed);
    callers.close();
    yield* waitAtMost(CLAIMS_DRAIN_TIMEOUT_MS, fleet.claims.drain());
    operators.close();
    log.event("stopped", { status });
    return status;
  });
}

/**
 * Runs a daemon until SIGTERM.
 *
 * @returns the exit status of the process.
 */
export function runDaemon(
  settings: Settings,
): Effect.Effect<number, StartFailed> {
  const decisions = new DecisionHistory();
  // The process that reads the log may exit first. Without a listener, the broken
  // pipe would terminate the daemon and abort every open response.
  process.stdout.on("error", () => {});
  const write = (line: string) => process.stdout.write(`${line}\n`);
  const metrics = new Metrics();
  const onWarning = (code: string) => metrics.warningLogged(code);
  const log = new LineLog(write, { decisions, onWarning });
  return Effect.scoped(runUntilSignal(settings, { log, decisions, metrics }));
}
