/**
 * `bench overhead`: what a daemon adds to a request, and what it carries.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { setTimeout as pause } from "node:timers/promises";
import {
  type Answer,
  Caller,
  type Stack,
  startStack,
} from "@umbermast/testing";
import type { Experiment } from "./experiment.ts";
import { quantile } from "./report.ts";

const MS_PER_SECOND = 1_000;
/** Ticks a second of `/proc/PID/stat`; fixed on Linux. */
const CLOCK_TICKS = 100;
const USER_TICKS_FIELD = 11;
const SHORT_ANSWER_TOKENS = 4;
/** Sent first and not counted, so that both ways are warm. */
const WARM_UP_S = 2;
/** Share of the streams' tokens that is sent first and not counted. */
const WARM_UP_SHARE = 0.4;

interface FirstBytes {
  readonly straight: readonly number[];
  readonly through: readonly number[];
  readonly failed: number;
}

interface Carried {
  readonly tokens: number;
  readonly failed: number;
  readonly processorS: number;
  readonly wallS: number;
}

/** Where requests go, straight and through the daemon. */
class Ways {
  readonly #runners: readonly Caller[];
  readonly #daemon: Caller;
  readonly #stack: Stack;
  #sent = 0;

  constructor(stack: Stack) {
    const workspace = stack.deployment.senders[0]?.workspace ?? "";
    this.#stack = stack;
    this.#runners = stack.runners
      .filter(({ service }) => service === stack.deployment.modelService)
      .map(({ url }) => new Caller(url));
    this.#daemon = new Caller(stack.daemons[0]?.url ?? "", {
      key: stack.keys[workspace] ?? "",
    });
  }

  straight(tokens: number): Promise<Answer> {
    const at = this.#sent++;
    const requestId = `straight-${at}`;
    const runner = this.#runners[at % this.#runners.length]!;
    return runner.chat(this.#stack.deployment.model, {
      testTokens: tokens,
      headers: {
        "umbermast-request-id": requestId,
        "umbermast-attempt-id": requestId,
      },
    });
  }

  through(tokens: number): Promise<Answer> {
    return this.#daemon.chat(this.#stack.deployment.model, {
      testTokens: tokens,
    });
  }

  close(): void {
    this.#daemon.close();
    for (const runner of this.#runners) runner.close();
  }
}

/** Sends on a fixed clock, alternating between the two ways. */
async function compare(
  ways: Ways,
  options: { readonly rate: number; readonly seconds: number },
): Promise<FirstBytes> {
  const stepMs = MS_PER_SECOND / options.rate;
  const count = Math.round(options.rate * options.seconds);
  const answers: Promise<readonly [Answer, Answer]>[] = [];
  const startedAt = performance.now();
  for (let at = 0; at < count; at++) {
    const early = startedAt + at * stepMs - performance.now();
    if (early > 1) await pause(early);
    const straight = ways.straight(SHORT_ANSWER_TOKENS);
    await pause(stepMs / 2);
    answers.push(Promise.all([straight, ways.through(SHORT_ANSWER_TOKENS)]));
  }
  const pairs = await Promise.all(answers);
  const whole = pairs.filter((pair) =>
    pair.every(({ outcome }) => outcome === "complete")
  );
  return {
    straight: whole.map(([straight]) => straight.firstTokenMs ?? Infinity),
    through: whole.map(([, through]) => through.firstTokenMs ?? Infinity),
    failed: pairs.length - whole.length,
  };
}

/** Processor seconds that a process has used, user and system together. */
async function processorS(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const user = Number(fields[USER_TICKS_FIELD]);
  const system = Number(fields[USER_TICKS_FIELD + 1]);
  return (user + system) / CLOCK_TICKS;
}

/** Keeps streams open through the daemon and counts what arrives. */
async function carry(
  ways: Ways,
  options: {
    readonly pid: number;
    readonly streams: number;
    readonly tokens: number;
  },
): Promise<Carried> {
  const { pid, streams, tokens } = options;
  const before = await processorS(pid);
  const startedAt = performance.now();
  const answers = await Promise.all(
    Array.from({ length: streams }, () => ways.through(tokens)),
  );
  const wallS = (performance.now() - startedAt) / MS_PER_SECOND;
  const used = await processorS(pid) - before;
  return {
    tokens: answers.reduce((sum, answer) => sum + answer.tokens, 0),
    failed: answers.filter(({ outcome }) => outcome !== "complete").length,
    processorS: used,
    wallS,
  };
}

function round(value: number, decimals: number): number {
  return Number(value.toFixed(decimals));
}

function added(found: FirstBytes, share: number): number {
  const through = quantile(found.through, share) ?? NaN;
  const straight = quantile(found.straight, share) ?? NaN;
  return round(through - straight, 2);
}

/** Compares a request through a daemon with the same one sent straight. */
export const experiment: Experiment = {
  name: "overhead",
  summary: "Time that a daemon adds, and tokens that its processor carries",
  options: [
    { name: "rate", summary: "requests a second each way", fallback: 200 },
    { name: "seconds", summary: "length of the comparison", fallback: 15 },
    { name: "runners", summary: "runners of the streams", fallback: 4 },
    { name: "streams", summary: "streams held open at once", fallback: 64 },
    { name: "tokens", summary: "tokens of each stream", fallback: 1_500 },
  ],
  async run(settings) {
    const rate = settings.number("rate");
    // One runner, so that both ways meet the same engine: with several, where
    // the daemon sends a request would count as its overhead.
    const found = await onStack(1, async (ways) => {
      await compare(ways, { rate, seconds: WARM_UP_S });
      const seconds = settings.number("seconds");
      return await compare(ways, { rate, seconds });
    });
    const runners = settings.number("runners");
    const carried = await onStack(runners, async (ways, stack) => {
      const pid = stack.daemons[0]?.pid ?? 0;
      const streams = settings.number("streams");
      const tokens = settings.number("tokens");
      // A daemon just started compiles its code for seconds, on every core;
      // a daemon carries tokens for days.
      const first = Math.ceil(tokens * WARM_UP_SHARE);
      await carry(ways, { pid, streams, tokens: first });
      return await carry(ways, { pid, streams, tokens });
    });
    return findings(found, carried, rate);
  },
};

/** Measures on a stack of one daemon that ends with the measurement. */
async function onStack<A>(
  runners: number,
  measure: (ways: Ways, stack: Stack) => Promise<A>,
): Promise<A> {
  const stack = await startStack({ daemons: 1, runners, plainRunners: 0 });
  const ways = new Ways(stack);
  try {
    return await measure(ways, stack);
  } finally {
    ways.close();
    await stack.close();
  }
}

function findings(found: FirstBytes, carried: Carried, rate: number) {
  const result = {
    rate,
    pairs: found.through.length,
    failed: found.failed + carried.failed,
    addedP50Ms: added(found, 0.5),
    addedP95Ms: added(found, 0.95),
    addedP99Ms: added(found, 0.99),
    straightP50Ms: round(quantile(found.straight, 0.5) ?? NaN, 2),
    straightP99Ms: round(quantile(found.straight, 0.99) ?? NaN, 2),
    tokens: carried.tokens,
    tokensPerSecond: Math.round(carried.tokens / carried.wallS),
    processorSeconds: round(carried.processorS, 2),
    tokensPerProcessorSecond: Math.round(carried.tokens / carried.processorS),
  };
  const rows = Object.entries(result).map(([name, value]) => [
    name,
    String(value),
  ]);
  return { result, grids: [{ columns: ["measure", "value"], rows }] };
}
