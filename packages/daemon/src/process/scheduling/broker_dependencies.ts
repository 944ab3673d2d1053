/**
 * Dependencies of the scheduler's broker.
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

/** Collaborators and options of a broker. */
export interface BrokerDependencies {
  readonly directory: RunnerDirectory;
  readonly reports: LoadReports;
  readonly table: TableSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly switches: SchedulerSwitches;
  readonly bounds?: QueueBounds;
  /** Sends a message to an entry, including this daemon's own. */
  readonly send: (entry: string, message: EntryMessage) => void;
  /**
   * Number of member daemons. An entry that reaches no broker may use only the
   * slots divided by this number.
   */
  readonly members: () => number;
}
