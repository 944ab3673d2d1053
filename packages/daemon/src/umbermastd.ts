#!/usr/bin/env node
/**
 * The daemon's program: `umbermastd --settings FILE`, `umbermastd check FILE`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { Command } from "commander";
import * as Cause from "effect/Cause";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import { runDaemon } from "./daemon.ts";
import type { StartFailed } from "./daemon.ts";
import { parseSettings } from "./process/settings.ts";
import type { Settings } from "./process/settings.ts";

const EXIT_FAILED = 1;
/** Exit status for bad settings (`EX_CONFIG` of sysexits). */
const EXIT_CONFIG = 78;

function report(lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`${line}\n`);
  process.exit(EXIT_CONFIG);
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return report([`Cannot read settings: ${reason}`]);
  }
}

function readSettings(file: string): Settings {
  const checked = parseSettings(readText(file));
  if (checked.isErr()) return report(checked.error.map(({ text }) => text));
  return checked.value;
}

function reasonOf(cause: Cause.Cause<StartFailed>): string {
  const failure = Cause.findErrorOption(cause);
  if (failure._tag === "Some") return failure.value.message;
  return Cause.pretty(cause);
}

function run(file: string): void {
  const settings = readSettings(file);
  Effect.runCallback(runDaemon(settings), {
    onExit: (exit) => {
      if (Exit.isSuccess(exit)) process.exit(exit.value);
      process.stderr.write(`${reasonOf(exit.cause)}\n`);
      process.exit(EXIT_FAILED);
    },
  });
}

const program = new Command("umbermastd")
  .description("Routes language-model traffic with service levels");

program.command("run", { isDefault: true })
  .description("runs the daemon until SIGTERM")
  .requiredOption("--settings <file>", "settings in JSON")
  .action((options: { readonly settings: string }) => run(options.settings));

program.command("check <file>")
  .description("only checks settings; exit status 78 when they are bad")
  .action((file: string) => {
    readSettings(file);
    process.stdout.write(`${file}: settings are valid\n`);
  });

program.parse();
