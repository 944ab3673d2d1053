/**
 * The file with the settings, which may be replaced at any time.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { descriptorLimit } from "./connection_limits.ts";
import type { EventLog } from "./event_log.ts";
import { pause } from "./pause.ts";
import { parseSettings } from "./settings.ts";
import type { RouterSettings } from "./settings.ts";

/**
 * Time in ms for which a process that starts waits for valid settings. Its file may be
 * empty or half written until whoever writes it has finished.
 */
const FIRST_MS = 5_000;
/** Interval in ms at which it reads them meanwhile. */
const FIRST_INTERVAL_MS = 100;

/** Why there are no valid settings. */
interface Problem {
  readonly event: "settings_unreadable" | "settings_bad";
  /** Name of the event's field that has the reason. */
  readonly field: "reason" | "text";
  readonly reasons: readonly string[];
}

/** Reads settings; invalid ones are logged and leave the last valid ones in effect. */
export class SettingsFile {
  readonly #file: string;
  readonly #log: EventLog;
  /** What was read last: the content of the file, or why it could not be read. */
  #last: string | undefined;

  constructor(file: string, log: EventLog) {
    this.#file = file;
    this.#log = log;
  }

  /**
   * Reads the settings, and waits some seconds for valid ones.
   *
   * @returns the settings, or what was wrong in the end.
   */
  async first(): Promise<Result<RouterSettings, readonly string[]>> {
    const endAt = performance.now() + FIRST_MS;
    for (;;) {
      const settings = this.#read();
      if (settings.isOk() || performance.now() >= endAt) {
        return settings.mapErr(({ reasons }) => reasons);
      }
      await pause(FIRST_INTERVAL_MS);
    }
  }

  /** Passes the settings on if the file has changed since the last read. */
  reload(apply: (settings: RouterSettings) => void): void {
    const before = this.#last;
    const settings = this.#read();
    if (settings.isOk() && this.#last !== before) apply(settings.value);
  }

  #read(): Result<RouterSettings, Problem> {
    let text: string;
    try {
      text = readFileSync(this.#file, "utf8");
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return this.#reject(reason, {
        event: "settings_unreadable",
        field: "reason",
        reasons: [reason],
      });
    }
    const settings = parseSettings(text, { descriptors: descriptorLimit() });
    if (settings.isErr()) {
      const reasons = settings.error.map((finding) => finding.text);
      return this.#reject(text, {
        event: "settings_bad",
        field: "text",
        reasons,
      });
    }
    this.#last = text;
    return ok(settings.value);
  }

  /** Logs a problem once. */
  #reject(read: string, problem: Problem): Result<RouterSettings, Problem> {
    if (read === this.#last) return err(problem);
    this.#last = read;
    for (const reason of problem.reasons) {
      this.#log.event(problem.event, { [problem.field]: reason });
    }
    return err(problem);
  }
}
