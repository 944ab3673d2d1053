/**
 * Runs one command line.
 *
 * @module
 */
import { HttpStore } from "@umbermast/coordination";
import type { Store } from "@umbermast/coordination";
import { CommanderError } from "commander";
import type { Command } from "commander";
import * as Effect from "effect/Effect";
import * as Result from "effect/Result";
import { cliSettings } from "./process/cli_settings.ts";
import { EXIT_CODE } from "./process/exit_codes.ts";
import type { ExitCode } from "./process/exit_codes.ts";
import type { Io } from "./process/io.ts";
import { HttpOperators } from "./process/operators.ts";
import type { Operators } from "./process/operators.ts";
import { escapeText } from "./process/text.ts";
import { buildProgram } from "./program.ts";
import type { CommandRun, GlobalFlags } from "./program.ts";
import type { Context } from "./request/context.ts";
import type { CommandFailure, Report } from "./request/report.ts";
import { failure } from "./request/report.ts";

/** Parts to use in place of those that the settings name. */
export interface Parts {
  readonly store?: Store;
  readonly operators?: Operators;
}

/**
 * Runs `umbermastctl` with the given arguments.
 *
 * @returns the exit code of the process.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(process.argv.slice(2), PROCESS_IO);
 * ```
 */
export async function runCli(
  args: readonly string[],
  io: Io,
  parts: Parts = {},
): Promise<ExitCode> {
  let exit: ExitCode = EXIT_CODE.ok;
  const program = buildProgram(async (run, flags) => {
    exit = await runCommand(run, flags, { io, parts });
  });
  configure(program, io);
  try {
    await program.parseAsync(args, { from: "user" });
    return exit;
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    return error.exitCode === 0 ? EXIT_CODE.ok : EXIT_CODE.usage;
  }
}

/** Commander copies these settings to new commands only, and ours exist. */
function configure(command: Command, io: Io): void {
  command.exitOverride().configureOutput({
    writeOut: (text) => io.out(text),
    writeErr: (text) => io.error(text),
  });
  for (const inner of command.commands) configure(inner, io);
}

async function runCommand(
  run: CommandRun,
  flags: GlobalFlags,
  { io, parts }: { readonly io: Io; readonly parts: Parts },
): Promise<ExitCode> {
  const json = flags.json === true;
  const settings = cliSettings(flags, io.env);
  if (settings.isErr()) {
    return printFailure(io, { json, failure: settingsFailure(settings.error) });
  }
  const { platformUrl, operatorToken } = settings.value;
  const opened = platformUrl === undefined
    ? undefined
    : new HttpStore({ url: platformUrl });
  const store = parts.store ?? opened;
  const context: Context = {
    io,
    settings: settings.value,
    ...(store === undefined ? {} : { store }),
    operators: parts.operators ?? new HttpOperators(operatorToken),
  };
  const result = await Effect.runPromise(Effect.result(run(context)));
  opened?.close();
  if (Result.isFailure(result)) {
    return printFailure(io, { json, failure: result.failure });
  }
  return printReport(io, { json, report: result.success });
}

function settingsFailure(findings: readonly string[]): CommandFailure {
  return failure(EXIT_CODE.usage, {
    code: "settings_invalid",
    message: "Cannot use the settings",
    details: findings.map(escapeText),
    data: { findings },
  });
}

function printReport(
  io: Io,
  output: { readonly json: boolean; readonly report: Report },
): ExitCode {
  const { text, json, exit } = output.report;
  io.out(`${output.json ? JSON.stringify(json) : text}\n`);
  return exit ?? EXIT_CODE.ok;
}

function printFailure(
  io: Io,
  output: { readonly json: boolean; readonly failure: CommandFailure },
): ExitCode {
  const { exit, code, message, details = [], data = {} } = output.failure;
  if (output.json) {
    io.out(`${JSON.stringify({ error: { code, message, exit, ...data } })}\n`);
  } else {
    const lines = [
      `${message} (${code})`,
      ...details.map((line) => `  ${line}`),
    ];
    io.error(`${lines.join("\n")}\n`);
  }
  return exit;
}
