/**
 * Real daemons under edits by the real command-line tool.
 *
 * @module
 */
import { execFile } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { fetchJson, type Stack, type StackDaemon } from "../src/mod.ts";

const TOOL = fileURLToPath(
  new URL("../../../cli/dist/src/umbermastctl.js", import.meta.url),
);

/** What the tool printed, and its exit code. */
export interface ToolRun {
  readonly exit: number;
  /** The JSON object of `--json`; `undefined` when there is none. */
  readonly json: Readonly<Record<string, unknown>>;
  readonly error: string;
}

/** Runs `umbermastctl --json` with the platform of a stack and some daemons. */
export function umbermastctl(
  stack: Stack,
  args: readonly string[],
  options: { readonly daemons?: readonly StackDaemon[] } = {},
): Promise<ToolRun> {
  const { daemons = stack.daemons } = options;
  const urls = daemons.flatMap(({ operatorUrl }) => [
    "--operator-url",
    operatorUrl,
  ]);
  const flags = [
    "--json",
    "--platform-url",
    stack.platform.url,
    "--operator-token",
    stack.operatorToken,
    "--editor",
    "ana",
    ...urls,
  ];
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [TOOL, ...flags, ...args],
      (failure, out, error) => {
        const exit = typeof failure?.code === "number" ? failure.code : 0;
        resolve({ exit, json: parsed(out), error });
      },
    );
  });
}

function parsed(out: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(out);
  } catch {
    return {};
  }
}

/** Sets the weight of a row of the stack's table; gives the accepted version. */
export async function setWeight(
  stack: Stack,
  weight: number,
  options: {
    readonly daemons?: readonly StackDaemon[];
    readonly flags?: readonly string[];
  } = {},
): Promise<number> {
  const [row] = stack.table.rows;
  if (row === undefined) throw new Error("Cannot edit: the table has no rows");
  const { exit, json, error } = await umbermastctl(stack, [
    "table",
    "set",
    row.class,
    row.workspace,
    `weight=${weight}`,
    "--yes",
    ...(options.flags ?? []),
  ], options);
  if (exit !== 0) throw new Error(`Cannot edit: ${error}`);
  return json["version"] as number;
}

/** The version in force at a daemon; 0 while it knows none or is silent. */
export async function versionAt(
  stack: Stack,
  daemon: StackDaemon,
): Promise<number> {
  const headers = { authorization: `Bearer ${stack.operatorToken}` };
  try {
    const { body } = await fetchJson(`${daemon.operatorUrl}/table`, {
      headers,
    });
    return (body as { version?: number }).version ?? 0;
  } catch {
    return 0;
  }
}

/** Waits until a daemon has the version in force; no lower one may follow a higher. */
export async function inForceAt(
  stack: Stack,
  daemon: StackDaemon,
  version: number,
): Promise<void> {
  let highest = 0;
  while (highest < version) {
    const seen = await versionAt(stack, daemon);
    if (seen !== 0 && seen < highest) {
      throw new Error(`${daemon.name} reverts from ${highest} to ${seen}`);
    }
    highest = Math.max(highest, seen);
  }
}
