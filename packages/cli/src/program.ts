/**
 * The commands of `umbermastctl` and their flags.
 *
 * @module
 */
import { Command, InvalidArgumentError } from "commander";
import type * as Effect from "effect/Effect";
import type { CliFlags } from "./process/cli_settings.ts";
import type { Context } from "./request/context.ts";
import type { EditFlags } from "./request/edit.ts";
import { daemons, runners, status, why } from "./request/fleet.ts";
import type { CommandFailure, Report } from "./request/report.ts";
import { tableExport, tableGet, tableHistory } from "./request/table_read.ts";
import { tableImport } from "./request/table_import.ts";
import {
  tableEdit,
  tableResolve,
  tableRollback,
  tableSet,
} from "./request/table_write.ts";
import type { RowEdits } from "./request/table_write.ts";

/** A command, ready to run in a context. */
export type CommandRun = (
  context: Context,
) => Effect.Effect<Report, CommandFailure>;

/** Flags that every command takes. */
export interface GlobalFlags extends CliFlags {
  readonly json?: boolean;
}

/** Runs what was chosen on the command line. */
export type Runner = (run: CommandRun, flags: GlobalFlags) => Promise<void>;

const DEFAULT_HISTORY = 20;

const EXIT_CODES = `
Exit codes:
  0  done, or nothing to do
  1  the command could not do what was asked
  2  wrong flags, settings or input; nothing was sent
  3  someone else changed the same entry; nothing was changed
  4  the platform or a daemon could not be reached
  5  unknown whether the edit was accepted; use "table resolve"`;

const EXAMPLES = `
Examples:
  umbermastctl table get
  umbermastctl table set quote office weight=3 inFlight=none --yes --wait
  umbermastctl table export rows.csv
  umbermastctl table import rows.csv --base e12-9f86d081884c7d65
  umbermastctl why 01HZX3`;

/** Builds the command line. */
export function buildProgram(runner: Runner): Command {
  const program = new Command("umbermastctl")
    .description("Operate a deployment of umbermast")
    .option("--config <file>", "settings as JSON (UMBERMAST_CONFIG)")
    .option(
      "--operator-url <url>",
      "root of a daemon's operators' port; repeat for each (UMBERMAST_OPERATOR_URLS, comma between)",
      collect,
    )
    .option(
      "--operator-token <token>",
      "token of the operators' ports (UMBERMAST_OPERATOR_TOKEN)",
    )
    .option(
      "--platform-url <url>",
      "root of the platform's object API (UMBERMAST_PLATFORM_URL)",
    )
    .option("--editor <name>", "your name in the history (UMBERMAST_EDITOR)")
    .option("--json", "print one JSON object")
    .addHelpText("after", `${EXAMPLES}\n${EXIT_CODES}`);
  addTableReads(program, runner);
  addTableWrites(program, runner);
  addFleet(program, runner);
  return program;
}

function tableCommand(program: Command): Command {
  const known = program.commands.find((command) => command.name() === "table");
  return known ??
    program.command("table").description("Read and edit the table");
}

function add(
  parent: Command,
  usage: string,
  options: { readonly about: string; readonly example: string },
): Command {
  const command = parent.command(usage).description(options.about)
    .option("--json", "print one JSON object");
  return command.addHelpText("after", `\nExample:\n  ${options.example}`);
}

function addEditFlags(command: Command): Command {
  return command
    .option("--yes", "apply without asking")
    .option("--dry-run", "show the difference and stop")
    .option("--note <text>", "why, for the history")
    .option("--wait", "return once every live daemon has it in force")
    .option(
      "--timeout <seconds>",
      "how long to go on while the platform cannot be reached",
      positive,
      10,
    )
    .option("--wait-timeout <seconds>", "longest wait", positive, 30);
}

function addTableReads(program: Command, run: Runner): void {
  const table = tableCommand(program);
  add(table, "get [section]", {
    about: "Show the rows, or a section: classes, workspaces, rows, services",
    example: "umbermastctl table get --workspace office",
  })
    .option("--workspace <name>", "only rows of this workspace")
    .option("--class <name>", "only rows of this class")
    .action((section: string | undefined, _, command: Command) => {
      const flags = command.optsWithGlobals();
      const options = section === undefined ? flags : { ...flags, section };
      return run((context) => tableGet(context, options), flags);
    });
  add(table, "export [file]", {
    about: "Write the rows as CSV, or the whole table as JSON",
    example: "umbermastctl table export rows.csv",
  })
    .option("--format <format>", "csv or json; by the file's name if absent")
    .option("--at <edit>", "the table right after this edit")
    .action((file: string | undefined, _, command: Command) => {
      const flags = command.optsWithGlobals();
      const options = file === undefined ? flags : { ...flags, file };
      return run((context) => tableExport(context, options), flags);
    });
  add(table, "history", {
    about: "Show who edited when and what, newest first",
    example: "umbermastctl table history --limit 5",
  })
    .option("--limit <count>", "edits to show", positive, DEFAULT_HISTORY)
    .action((_, command: Command) => {
      const flags = command.optsWithGlobals<GlobalFlags & { limit: number }>();
      return run((context) => tableHistory(context, flags), flags);
    });
}

function addTableWrites(program: Command, run: Runner): void {
  const table = tableCommand(program);
  addEditFlags(add(table, "set <class> <workspace> <field=value...>", {
    about: "Set fields of a row, adding the row if there is none",
    example: "umbermastctl table set quote office weight=3 inFlight=none --yes",
  })).action((
    className: string,
    workspace: string,
    fields: readonly string[],
    _,
    command: Command,
  ) => {
    const flags = command.optsWithGlobals<GlobalFlags & EditFlags>();
    const setting = { workspace, class: className, fields };
    return run((context) => tableSet(context, setting, flags), flags);
  });
  addEditFlags(add(table, "edit", {
    about: "Change several rows in one edit",
    example:
      "umbermastctl table edit --row office/quote:weight=3,inFlight=8 --remove fitters/quote",
  }))
    .option("--row <row>", "WORKSPACE/CLASS:FIELD=VALUE,...; repeat", collect)
    .option("--remove <row>", "WORKSPACE/CLASS; repeat", collect)
    .option("--csv", "replace all rows by the CSV on standard input")
    .action((_, command: Command) => {
      const flags = command.optsWithGlobals<GlobalFlags & RowEdits>();
      return run((context) => tableEdit(context, flags), flags);
    });
  addEditFlags(add(table, "import <file>", {
    about: 'Import rows from CSV or the whole table from JSON; "-" for stdin',
    example: "umbermastctl table import rows.csv --base e12-9f86d081884c7d65",
  }))
    .option("--base <edit>", "the edit that the file was exported at")
    .action((file: string, _, command: Command) => {
      const flags = command.optsWithGlobals<
        GlobalFlags & EditFlags & { base?: string }
      >();
      const { base } = flags;
      const options = base === undefined ? { file } : { file, base };
      return run((context) => tableImport(context, options, flags), flags);
    });
  addEditFlags(add(table, "rollback <edit>", {
    about: "Go back to the table right after an edit, by a new edit",
    example: "umbermastctl table rollback e12-9f86d081884c7d65",
  })).action((editId: string, _, command: Command) => {
    const flags = command.optsWithGlobals<GlobalFlags & EditFlags>();
    return run((context) => tableRollback(context, { editId }, flags), flags);
  });
  add(table, "resolve <edit>", {
    about: "Settle whether an edit was accepted",
    example: "umbermastctl table resolve e12-9f86d081884c7d65",
  }).action((editId: string, _, command: Command) => {
    const flags = command.optsWithGlobals<GlobalFlags>();
    return run((context) => tableResolve(context, { editId }), flags);
  });
}

function addFleet(program: Command, run: Runner): void {
  const plain = [
    { name: "status", about: "Show what each daemon says of itself", status },
    { name: "runners", about: "Show the runners", status: runners },
    { name: "daemons", about: "Show the daemons", status: daemons },
  ];
  for (const { name, about, status } of plain) {
    add(program, name, { about, example: `umbermastctl ${name} --json` })
      .action((_, command: Command) => run(status, command.optsWithGlobals()));
  }
  add(program, "why <request>", {
    about: "Show the decisions logged for a request",
    example: "umbermastctl why 01HZX3",
  }).action((requestId: string, _, command: Command) =>
    run((context) => why(context, requestId), command.optsWithGlobals())
  );
}

function positive(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new InvalidArgumentError("Expected a number above 0");
}

/** Gathers a repeated flag. A flag of many values would swallow the command. */
function collect(
  value: string,
  earlier: readonly string[] | undefined,
): readonly string[] {
  return [...(earlier ?? []), value];
}
