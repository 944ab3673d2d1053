/**
 * `npm run bench -- NAME`: runs one experiment. Results go to standard output,
 * all else to standard error.
 *
 * @module
 */
import process from "node:process";
import { Command } from "commander";
import { type Experiment, Settings } from "./experiment.ts";
import { EXPERIMENTS } from "./experiments.ts";
import { alignedGrid } from "./report.ts";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

function flagsOf(option: Experiment["options"][number]): string {
  const kebab = option.name.replace(/[A-Z]/g, (x) => `-${x.toLowerCase()}`);
  if (typeof option.fallback === "boolean") return `--${kebab}`;
  return `--${kebab} <${typeof option.fallback}>`;
}

async function runExperiment(
  experiment: Experiment,
  given: Readonly<Record<string, unknown>>,
): Promise<void> {
  const settings = new Settings(experiment.options, given);
  const findings = await experiment.run(settings);
  if (given["json"] === true) {
    process.stdout.write(`${JSON.stringify(findings.result)}\n`);
    return;
  }
  for (const grid of findings.grids) {
    process.stdout.write(`${alignedGrid(grid)}\n`);
  }
}

function commandOf(experiment: Experiment): Command {
  const command = new Command(experiment.name)
    .description(experiment.summary)
    .option("--json", "print one JSON object as the last line");
  for (const option of experiment.options) {
    command.option(
      flagsOf(option),
      `${option.summary} (default: ${option.fallback})`,
    );
  }
  return command.action((given) => runExperiment(experiment, given));
}

async function main(argv: readonly string[]): Promise<void> {
  const name = argv[2] ?? "";
  const load = Object.hasOwn(EXPERIMENTS, name) ? EXPERIMENTS[name] : undefined;
  if (load === undefined) {
    const names = Object.keys(EXPERIMENTS).join(", ");
    const isHelp = name === "--help" || name === "-h";
    const stream = isHelp ? process.stdout : process.stderr;
    if (!isHelp && name !== "") {
      stream.write(`Cannot run experiment "${name}": it does not exist\n`);
    }
    stream.write(
      `Usage: npm run bench -- NAME [--json] [OPTION...]\n` +
        `NAME is one of: ${names}\n` +
        `npm run bench -- NAME --help tells of its options\n`,
    );
    process.exitCode = isHelp ? 0 : EXIT_USAGE;
    return;
  }
  const { experiment } = await load();
  const program = commandOf(experiment);
  await program.parseAsync(["node", name, ...argv.slice(3)]);
}

try {
  await main(process.argv);
} catch (error) {
  const text = error instanceof Error ? error.stack ?? error.message : error;
  process.stderr.write(`${text}\n`);
  process.exitCode = EXIT_FAILED;
}
