/**
 * The one way in which the process ends: with a last line that tells why.
 *
 * @module
 */
import type { BufferedLog } from "./event_log.ts";

/** Exit status when requests were cut off at the end of the grace period. */
const EXIT_CUT_OFF = 1;
/** Exit status after an error of the program (`EX_SOFTWARE` of sysexits). */
export const EXIT_SOFTWARE = 70;
/** Exit status for invalid settings (`EX_CONFIG` of sysexits). */
export const EXIT_CONFIG = 78;

/** Maximum time in ms to write the last lines to a reader that is slow. */
const LAST_LINES_MS = 1_000;
/** Milliseconds before the kill at which a shutdown that goes on is ended. */
const MARGIN_MS = 200;

/** Why the process ends, and its exit status. */
export interface End {
  readonly status: number;
  readonly reason: string;
}

/** What is shut down gracefully before the process ends. */
export interface Service {
  /** Resolves with whether all requests were finished. */
  shutDown(): Promise<boolean>;
  /** Time in ms from SIGTERM to the kill. */
  graceMs(): number;
}

/** Describes an error in one line of the log. */
export function describeError(error: unknown): string {
  return String(error instanceof Error ? error.stack : error);
}

/** Ends the process once, gracefully where that is possible. */
export class ProcessEnd {
  readonly #log: BufferedLog;
  readonly #exit: (status: number) => void;
  #service: Service | undefined;
  /** The first error, which decides on the exit status. */
  #failure: End | undefined;
  #stopping = false;
  #ended = false;

  /** @param exit ends the process at once. */
  constructor(log: BufferedLog, exit: (status: number) => void) {
    this.#log = log;
    this.#exit = exit;
  }

  /** Sets what {@linkcode stop} shuts down first; before, it ends at once. */
  serve(service: Service): void {
    this.#service = service;
  }

  /** Shuts down gracefully, within the grace period, and ends the process. */
  stop(cause: End): void {
    if (cause.status !== 0) this.#failure ??= cause;
    if (this.#stopping) return;
    this.#stopping = true;
    const service = this.#service;
    if (service === undefined) return this.end(cause);
    const late = () =>
      this.end({
        status: this.#failure?.status ?? EXIT_CUT_OFF,
        reason: `${cause.reason}, shutdown exceeds the grace period`,
      });
    setTimeout(late, Math.max(0, service.graceMs() - MARGIN_MS)).unref();
    service.shutDown().then(
      (complete) =>
        this.end(
          this.#failure ??
            { status: complete ? 0 : EXIT_CUT_OFF, reason: cause.reason },
        ),
      (error: unknown) =>
        this.end({
          status: EXIT_SOFTWARE,
          reason: `${cause.reason}, shutdown fails: ${describeError(error)}`,
        }),
    );
  }

  /** Ends the process as soon as the log is written. */
  end({ status, reason }: End): void {
    if (this.#ended) return;
    this.#ended = true;
    const uptime_ms = Math.round(performance.now());
    this.#log.close(
      { event: "process_ending", fields: { status, reason, uptime_ms } },
      LAST_LINES_MS,
    ).then(() => this.#exit(status));
  }
}
