/**
 * `npm run demo`: the co-operative's mix through three daemons, in a minute.
 *
 * @module
 */
import process from "node:process";
import { Caller } from "./client.ts";
import { reportClasses } from "./process/class_report.ts";
import { startStack } from "./process/launcher.ts";
import type { Stack } from "./process/stack_handle.ts";
import { drawMix, sendMixed } from "./request/mix.ts";
import { mixFindings, type MixResult } from "./request/mix_findings.ts";

const DAEMONS = 3;
const RUNNERS = 4;
const PLAIN_RUNNERS = 2;
const CALLS = 240;
/** Time between the starts of two calls, in milliseconds. */
const SPACING_MS = 25;
const SEED = 1;
const SCALE = 0.5;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Sends the mix, each call through the next daemon in turn. */
async function sendAll(stack: Stack): Promise<readonly MixResult[]> {
  const callers = stack.daemons.map((daemon) =>
    new Map(
      Object.entries(stack.keys).map(([workspace, key]) =>
        [workspace, new Caller(daemon.url, { key })] as const
      ),
    )
  );
  const { model } = stack.deployment;
  const mix = drawMix(stack.deployment, {
    calls: CALLS,
    seed: SEED,
    scale: SCALE,
  });
  const results: Promise<MixResult>[] = [];
  for (const call of mix) {
    const daemon = callers[call.number % callers.length];
    const caller = daemon?.get(call.workspace);
    if (caller === undefined) continue;
    results.push(
      sendMixed(caller, call, { model, scale: SCALE })
        .then((answer) => ({ call, answer })),
    );
    await pause(SPACING_MS);
  }
  const all = await Promise.all(results);
  for (const daemon of callers) {
    for (const caller of daemon.values()) caller.close();
  }
  return all;
}

function print(stack: Stack, results: readonly MixResult[]): void {
  const classes = stack.deployment.traffic.map((traffic) => traffic.class);
  console.log(reportClasses(classes, (name) =>
    results
      .filter(({ call }) => call.traffic.class === name)
      .map(({ answer }) => answer)));
  console.log(`
Where to look:
  ${stack.logs}/*.log    each daemon's routing decisions, a line each
  ${stack.tableFile}     the operators' table
  npm run stack          the same, staying up, with addresses and keys
  docs/                  pages for operators and developers`);
}

const stack = await startStack({
  daemons: DAEMONS,
  runners: RUNNERS,
  plainRunners: PLAIN_RUNNERS,
  deployment: "cooperative",
  seed: SEED,
  keepLogs: true,
});
try {
  const results = await sendAll(stack);
  print(stack, results);
  const findings = mixFindings(results, { sent: CALLS });
  for (const finding of findings) console.error(finding);
  if (findings.length > 0) process.exitCode = 1;
} finally {
  await stack.close();
}
