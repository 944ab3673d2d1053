/**
 * What a command has to say.
 *
 * @module
 */
import type { ExitCode } from "../process/exit_codes.ts";

/** Output of a command, once for people and once for programs. */
export interface Report {
  /** Lines for a person; already escaped. */
  readonly text: string;
  /** The value printed with `--json`. */
  readonly json: unknown;
  /** 0 unless said otherwise. */
  readonly exit?: ExitCode;
}

/** A command that failed. */
export interface CommandFailure {
  readonly _tag: "CommandFailure";
  readonly exit: ExitCode;
  /** Stable code, listed in docs/operators/table.md. */
  readonly code: string;
  /** What failed and what is needed. */
  readonly message: string;
  /** Further lines; already escaped. */
  readonly details?: readonly string[];
  /** Printed with `--json` beside the code and message. */
  readonly data?: Readonly<Record<string, unknown>>;
}

/** Makes a failure. */
export function failure(
  exit: ExitCode,
  fields: Omit<CommandFailure, "_tag" | "exit">,
): CommandFailure {
  return { _tag: "CommandFailure", exit, ...fields };
}
