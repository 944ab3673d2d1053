/**
 * A broker with what stands around it.
 *
 * @module
 */
import { FakeClock } from "@umbermast/coordination/testing";
import type { Table } from "@umbermast/table";
import type { Runner } from "../../src/process/runner.ts";
import { RunnerDirectory } from "../../src/process/runner_directory.ts";
import { Broker } from "../../src/process/scheduling/broker.ts";
import type { BrokerDependencies } from "../../src/process/scheduling/broker_dependencies.ts";
import { LoadReports } from "../../src/process/scheduling/load_reports.ts";
import type { EntryMessage } from "../../src/process/scheduling/messages.ts";
import { ALL_ENABLED } from "../../src/process/scheduling/switches.ts";
import { clockOf } from "./clock_fixture.ts";
import { TestLog } from "./log_fixture.ts";
import { runnerOf, SERVICE } from "./runner_fixture.ts";
import { tableOf, TestTable } from "./table_fixture.ts";

/** A message that a broker sent. */
export interface Sent {
  readonly entry: string;
  readonly message: EntryMessage;
}

/** A broker with what stands around it. */
export interface Bench {
  readonly broker: Broker;
  readonly clock: FakeClock;
  readonly log: TestLog;
  readonly table: TestTable;
  readonly directory: RunnerDirectory;
  readonly reports: LoadReports;
  readonly sent: Sent[];
}

/** A broker of one service with the given runners. */
export function brokerWith(
  options: {
    readonly runners?: readonly Runner[];
    readonly table?: Table;
    readonly parts?: Partial<BrokerDependencies>;
  } = {},
): Bench {
  const clock = clockOf();
  const log = new TestLog();
  const table = new TestTable(options.table ?? tableOf());
  const directory = new RunnerDirectory();
  directory.replace(options.runners ?? [runnerOf("runner-1")]);
  const reports = new LoadReports({ clock });
  const sent: Sent[] = [];
  const broker = new Broker(SERVICE, {
    directory,
    reports,
    table,
    clock,
    log,
    switches: ALL_ENABLED,
    send: (entry, message) => sent.push({ entry, message }),
    members: () => 3,
    ...options.parts,
  });
  directory.subscribe(() => broker.runnersChanged());
  table.subscribe(() => broker.tableChanged(table.current()));
  reports.subscribe((runner) => broker.reportReceived(runner));
  return { broker, clock, log, table, directory, reports, sent };
}

/** Ids of the asks granted so far, in order. */
export function granted(bench: Bench): readonly string[] {
  return bench.sent.filter((it) => it.message.type === "grant")
    .map((it) => it.message.type === "grant" ? it.message.askId : "");
}

export function release(
  bench: Bench,
  askId: string,
  fields: { readonly entry?: string; readonly outputTokens?: number } = {},
): void {
  bench.broker.release(fields.entry ?? "entry-1", {
    type: "release",
    service: SERVICE,
    askId,
    settlement: {
      outcome: "complete",
      promptTokens: 100,
      outputTokens: fields.outputTokens ?? 100,
    },
  });
}
