/**
 * `npm run stack`: a whole deployment that stays up until SIGTERM. The first
 * line on standard output is a JSON object that tells where everything is.
 *
 * @module
 */
import process from "node:process";
import { Command, InvalidArgumentError, Option } from "commander";
import { DEPLOYMENT_NAMES, type DeploymentName } from "./process/deployment.ts";
import { startStack } from "./process/launcher.ts";
import type { Stack } from "./process/stack_handle.ts";

interface Options {
  readonly daemons: number;
  readonly runners: number;
  readonly deployment: DeploymentName;
  readonly scheduler: "umbermast" | "fifo" | "random";
  readonly seed: number;
  readonly json?: boolean;
}

function count(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= 0) return value;
  throw new InvalidArgumentError("expected an integer of at least 0");
}

function describe(stack: Stack): object {
  return {
    daemons: stack.daemons.map(({ url, operatorUrl, pid }) => ({
      url,
      operatorUrl,
      pid,
    })),
    runners: stack.runners.map(({ name, url, service, pid }) => ({
      name,
      url,
      service,
      pid,
    })),
    platform: { url: stack.platform.url, pid: stack.platform.pid },
    hosts: { url: stack.platform.url },
    keys: stack.keys,
    operatorToken: stack.operatorToken,
    tableFile: stack.tableFile,
    logs: stack.logs,
  };
}

function print(stack: Stack, options: Options): void {
  if (options.json) {
    console.log(JSON.stringify(describe(stack)));
    return;
  }
  for (const { name, url } of stack.daemons) console.log(`${name} ${url}`);
  for (const { name, url } of stack.runners) console.log(`${name} ${url}`);
  console.log(`platform ${stack.platform.url}`);
  console.log(`logs ${stack.logs}`);
}

/** Aborts at the first SIGTERM or SIGINT. */
function stopSignal(): AbortSignal {
  const controller = new AbortController();
  const stop = () => controller.abort(new Error("Stopped while starting"));
  process.once("SIGTERM", stop);
  process.once("SIGINT", stop);
  return controller.signal;
}

async function run(options: Options): Promise<void> {
  const signal = stopSignal();
  const stack = await startStack({ ...options, signal, keepLogs: true });
  print(stack, options);
  if (!signal.aborted) {
    await new Promise((resolve) => signal.addEventListener("abort", resolve));
  }
  await stack.close();
}

await new Command("stack")
  .description("Starts a deployment of stand-ins and daemons until SIGTERM")
  .option("--daemons <count>", "daemons", count, 3)
  .option("--runners <count>", "model runners", count, 8)
  .addOption(
    new Option("--deployment <name>", "deployment")
      .choices(DEPLOYMENT_NAMES)
      .default("cooperative"),
  )
  .addOption(
    new Option("--scheduler <name>", "scheduler of the daemons")
      .choices(["umbermast", "fifo", "random"])
      .default("umbermast"),
  )
  .option("--seed <number>", "seed of keys and chance", count, 1)
  .option("--json", "print one JSON object")
  .action(run)
  .parseAsync();
