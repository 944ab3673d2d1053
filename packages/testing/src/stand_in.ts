/**
 * One stand-in as a process of its own:
 * `node stand_in.js engine|plain|platform|proxy --config JSON`.
 *
 * The first line on standard output is a JSON object with its URL and pid.
 *
 * @module
 */
import process from "node:process";
import { Command } from "commander";
import { startEngine } from "./engine.ts";
import { PLAIN_DEFAULTS, startPlainService } from "./plain_service.ts";
import { PLATFORM_DEFAULTS, startPlatform } from "./platform.ts";
import { readConfig } from "./process/config.ts";
import { ENGINE_DEFAULTS } from "./process/engine_config.ts";
import { PROXY_DEFAULTS, startProxy } from "./proxy.ts";
import type { StandIn } from "./process/http_server.ts";

const EXIT_CONFIG = 78;

interface Options {
  readonly config: string;
  readonly untilStdinEnds?: boolean;
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Reads the settings, or ends the process with all their faults. */
function settle<T extends object>(defaults: T, options: Options): T {
  const config = readConfig(defaults, parse(options.config));
  if (config.isOk()) return config.value;
  for (const { path, message } of config.error) {
    console.error(`${path}: ${message}`);
  }
  process.exit(EXIT_CONFIG);
}

async function announce(
  started: Promise<StandIn>,
  options: Options,
): Promise<void> {
  const standIn = await started;
  const end = () => process.exit(0);
  process.once("SIGTERM", end);
  process.once("SIGINT", end);
  // A launcher that dies without a word leaves nothing running behind it.
  if (options.untilStdinEnds) process.stdin.resume().once("end", end);
  const { url, controlUrl } = standIn;
  console.log(JSON.stringify({ url, controlUrl, pid: process.pid }));
}

const program = new Command("stand_in").description("Runs one stand-in");

function command<T extends object>(
  name: string,
  options: {
    readonly defaults: T;
    readonly start: (config: T) => Promise<StandIn>;
  },
): void {
  program.command(name)
    .option("--config <json>", "settings, as a JSON object", "{}")
    .option("--until-stdin-ends", "end when standard input ends")
    .action((given: Options) => {
      const config = settle(options.defaults, given);
      return announce(options.start(config), given);
    });
}

command("engine", { defaults: ENGINE_DEFAULTS, start: startEngine });
command("plain", { defaults: PLAIN_DEFAULTS, start: startPlainService });
command("platform", { defaults: PLATFORM_DEFAULTS, start: startPlatform });
command("proxy", { defaults: PROXY_DEFAULTS, start: startProxy });
await program.parseAsync();
