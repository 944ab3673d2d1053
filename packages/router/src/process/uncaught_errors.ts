/**
 * What the process does with an error that nothing caught.
 *
 * @module
 */
import type { EventEmitter } from "node:events";
import type { EventLog } from "./event_log.ts";
import { describeError } from "./process_end.ts";

/**
 * Stops the process gracefully after an uncaught error. Its state is unknown from then
 * on, so that it must be replaced; ending it at once would cut off all requests.
 *
 * @param events the process, which emits "uncaughtException".
 * @param options.stop stops the process; called once, with the first error.
 */
export function stopOnUncaughtError(
  events: EventEmitter,
  options: { readonly log: EventLog; readonly stop: (reason: string) => void },
): void {
  const { log, stop } = options;
  let stopping = false;
  events.on("uncaughtException", (error: unknown, origin: string) => {
    const reason = describeError(error);
    log.event("uncaught_error", { origin, reason });
    if (stopping) return;
    stopping = true;
    stop(reason);
  });
}
