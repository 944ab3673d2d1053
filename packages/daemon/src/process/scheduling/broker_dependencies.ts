/**
 * What the scheduler's broker stands on.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";
import type { Log } from "../log.ts";
import type { RunnerDirectory } from "../runner_directory.ts";
import type { TableSource } from "../table_source.ts";
import type { QueueBounds } from "./fair_queue.ts";
import type { LoadReports } from "./load_reports.ts";
import type { EntryMessage } from "./messages.ts";
import type { SchedulerSwitches } from "./switches.ts";

/** What a broker works with. */
export interface BrokerDependencies {
  readonly directory: RunnerDirectory;
  readonly reports: LoadReports;
  readonly table: TableSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly switches: SchedulerSwitches;
  readonly bounds?: QueueBounds;
  /** Sends to an entry; this daemon's own entry too. */
  readonly send: (entry: string, message: EntryMessage) => void;
  /** Daemons that take part; a lone one gets its share of the slots. */
  readonly members: () => number;
}
