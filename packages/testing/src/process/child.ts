/**
 * Child processes of the launcher: started, waited for and ended by their pid.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** A running child. */
export interface Child {
  readonly pid: number;
  /** Gives the exit status when the process has ended; null after a signal. */
  readonly ended: Promise<number | null>;
  /** Sends a signal. */
  kill(signal: NodeJS.Signals): void;
  /** Sends SIGTERM, and SIGKILL when the process has not ended in time. */
  stop(graceMs: number): Promise<void>;
}

/** A stand-in in a process of its own. */
export interface StandInChild extends Child {
  readonly url: string;
}

const START_LIMIT_MS = 30_000;
const POLL_MS = 10;
const STAND_IN = fileURLToPath(new URL("../stand_in.js", import.meta.url));

function adopt(child: ChildProcess): Child {
  const ended = new Promise<number | null>((resolve) => {
    child.once("close", resolve);
    child.once("error", () => resolve(null));
  });
  return {
    pid: child.pid ?? 0,
    ended,
    kill: (signal) => {
      child.kill(signal);
    },
    stop: async (graceMs) => {
      child.kill("SIGTERM");
      // A stopped process takes no SIGTERM until it is woken.
      child.kill("SIGCONT");
      const timer = setTimeout(() => child.kill("SIGKILL"), graceMs);
      await ended;
      clearTimeout(timer);
    },
  };
}

/** Starts `engine`, `plain` or `platform` and waits for its URL. */
export async function startStandIn(
  kind: "engine" | "plain" | "platform",
  config: object,
): Promise<StandInChild> {
  const spawned = spawn(process.execPath, [
    STAND_IN,
    kind,
    "--until-stdin-ends",
    "--config",
    JSON.stringify(config),
  ], { stdio: ["pipe", "pipe", "inherit"] });
  const child = adopt(spawned);
  const line = await firstLine(spawned, child);
  if (line !== undefined) {
    return { ...child, url: (JSON.parse(line) as { url: string }).url };
  }
  await child.stop(0);
  throw new Error(`Cannot start "${kind}": no first line on standard output`);
}

async function firstLine(
  spawned: ChildProcess,
  child: Child,
): Promise<string | undefined> {
  const line = new Promise<string>((resolve) => {
    let text = "";
    spawned.stdout?.on("data", (chunk) => {
      text += chunk;
      const end = text.indexOf("\n");
      if (end !== -1) resolve(text.slice(0, end));
    });
  });
  const limit = new Promise<undefined>((resolve) => {
    setTimeout(resolve, START_LIMIT_MS, undefined).unref();
  });
  return await Promise.race([line, child.ended.then(() => undefined), limit]);
}

/** A child that writes its log to a file. */
export interface LoggedChild extends Child {
  /** Waits until the log holds a match, and returns it. */
  logged(pattern: RegExp): Promise<RegExpMatchArray>;
}

/** Starts a Node program whose output goes to a file. */
export function startLogged(
  args: readonly string[],
  options: {
    readonly logFile: string;
    readonly env?: Readonly<Record<string, string>>;
  },
): LoggedChild {
  // The file is the child's own, so that a chatty log costs this process nothing.
  const log = openSync(options.logFile, "a");
  const spawned = spawn(process.execPath, [...args], {
    stdio: ["ignore", log, log],
    env: { ...process.env, ...options.env },
  });
  closeSync(log);
  const child = adopt(spawned);
  let over = false;
  child.ended.then(() => over = true);
  return {
    ...child,
    logged: async (pattern) => {
      const until = Date.now() + START_LIMIT_MS;
      while (Date.now() < until) {
        const last = over;
        const found = readFileSync(options.logFile, "utf8").match(pattern);
        if (found !== null) return found;
        if (last) break;
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      }
      const tail = readFileSync(options.logFile, "utf8").slice(-2000);
      throw new Error(`Cannot find ${pattern} in ${options.logFile}:\n${tail}`);
    },
  };
}

/** Waits for all, also when one fails, so that none is left starting. */
export async function settled<T>(
  starts: readonly Promise<T>[],
): Promise<readonly T[]> {
  await Promise.allSettled(starts);
  return await Promise.all(starts);
}
