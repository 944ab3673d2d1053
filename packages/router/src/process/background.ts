/**
 * Tasks that nobody awaits.
 *
 * @module
 */
import { describeError } from "./process_end.ts";
import type { EventLog } from "./event_log.ts";

/**
 * Logs the error of a task that nobody awaits. Unhandled, it would end the process, and
 * the tasks that are run here leave no state that others rely on.
 *
 * @param options.name name of the task in the log.
 */
export function inBackground(
  task: Promise<unknown>,
  options: { readonly name: string; readonly log: EventLog },
): void {
  const { name, log } = options;
  task.catch((error: unknown) =>
    log.event("task_failed", { task: name, reason: describeError(error) })
  );
}
