/**
 * Daemons that schedule over a network, all in this process.
 *
 * @module
 */
import { SYSTEM_CLOCK } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { Runner } from "../../src/process/runner.ts";
import { RunnerDirectory } from "../../src/process/runner_directory.ts";
import { BrokerRegistry } from "../../src/process/scheduling/broker_registry.ts";
import { LoadReports } from "../../src/process/scheduling/load_reports.ts";
import { ALL_ENABLED } from "../../src/process/scheduling/switches.ts";
import { BrokeredScheduler } from "../../src/request/brokered_scheduler.ts";
import { TestLog } from "./log_fixture.ts";
import { TestMembership } from "./membership_fixture.ts";
import { TestNetwork } from "./network_fixture.ts";
import { tableOf, TestTable } from "./table_fixture.ts";

/** A daemon's part in scheduling, in this process. */
export interface TestDaemon {
  readonly name: string;
  readonly host: BrokerRegistry;
  readonly scheduler: BrokeredScheduler;
  readonly membership: TestMembership;
  readonly directory: RunnerDirectory;
  readonly log: TestLog;
}

/** Daemons that reach each other over a network, all with the same view. */
export function daemonsOf(
  network: TestNetwork,
  options: {
    readonly names: readonly string[];
    readonly runners: readonly Runner[];
  },
): Effect.Effect<readonly TestDaemon[], never, Scope.Scope> {
  const table = new TestTable(tableOf());
  return Effect.forEach(options.names, (name) =>
    Effect.gen(function* () {
      const directory = new RunnerDirectory();
      directory.replace(options.runners);
      const membership = new TestMembership(name, options.names);
      const log = new TestLog();
      const parts = {
        directory,
        membership,
        log,
        table,
        clock: SYSTEM_CLOCK,
        peers: network.peersOf(name),
      };
      const reports = new LoadReports({ clock: SYSTEM_CLOCK });
      const host = new BrokerRegistry({
        ...parts,
        reports,
        switches: ALL_ENABLED,
      });
      const scheduler = new BrokeredScheduler({ ...parts, registry: host });
      yield* host.start();
      yield* scheduler.start();
      return { name, host, scheduler, membership, directory, log };
    }));
}

const LOOKS = 4_000;

const LOOK_MS = 5;

/** Waits until something is so; dies when it does not come, so that no test hangs. */
export function until(isSo: () => boolean, looks = LOOKS): Effect.Effect<void> {
  return Effect.suspend(() => {
    if (isSo()) return Effect.void;
    if (looks === 0) return Effect.die(new Error(`Never came: ${isSo}`));
    return Effect.andThen(Effect.sleep(LOOK_MS), until(isSo, looks - 1));
  });
}
