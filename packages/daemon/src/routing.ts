/**
 * Composes the processing of calls: scheduler, attempts, retries and claims.
 *
 * @module
 */
import { SYSTEM_CLOCK } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { RunnerConnections } from "./connection/runner_connections.ts";
import type { Fleet } from "./fleet.ts";
import type { Log } from "./process/log.ts";
import { RetryBudget } from "./process/retry_budget.ts";
import type { RunnerDirectory } from "./process/runner_directory.ts";
import type { Settings } from "./process/settings.ts";
import type { CallRunner } from "./request/call.ts";
import { IdempotentCallRunner } from "./request/idempotent_call_runner.ts";
import { RetryingCallRunner } from "./request/retrying_call_runner.ts";
import { makeScheduler } from "./request/scheduling.ts";
import { tableSourceOf } from "./version/feed_table_source.ts";

/** Opens connections to runners, and closes those of removed runners. */
function openConnections(
  directory: RunnerDirectory,
): Effect.Effect<RunnerConnections, never, Scope.Scope> {
  return Effect.gen(function* () {
    const connections = new RunnerConnections();
    const unsubscribe = directory.subscribe(() =>
      connections.retain(directory.all())
    );
    yield* Effect.addFinalizer(() =>
      Effect.sync(() => {
        unsubscribe();
        connections.close();
      })
    );
    return connections;
  });
}

/** Creates the call runner, which works until the scope closes. */
export function makeCallRunner(
  fleet: Fleet,
  options: { readonly settings: Settings; readonly log: Log },
): Effect.Effect<CallRunner, never, Scope.Scope> {
  const { settings, log } = options;
  return Effect.gen(function* () {
    const connections = yield* openConnections(fleet.directory);
    const scheduler = yield* makeScheduler({
      directory: fleet.directory,
      table: tableSourceOf(fleet.feed),
      clock: SYSTEM_CLOCK,
      log,
      peers: fleet.node.peers,
      membership: fleet.node.membership,
    }, { policy: settings.scheduler, ...settings.scheduling });
    const runner = new RetryingCallRunner({
      connections,
      log,
      clock: SYSTEM_CLOCK,
      settings: settings.attempts,
      retryBudget: new RetryBudget(settings.retries),
      scheduler,
    });
    return new IdempotentCallRunner(runner, { claims: fleet.claims, log });
  });
}
