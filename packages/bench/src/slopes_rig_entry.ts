/**
 * Slopes of a whole daemon that serves callers: in requests, in token events
 * and in open streams.
 *
 * @module
 */
import { setMaxListeners } from "node:events";
import { setTimeout as pause } from "node:timers/promises";
import type { Table } from "@umbermast/table";
import { Caller, type Stack, startStack } from "@umbermast/testing";
import { ledgersOf } from "./judge_ledgers.ts";
import { sampleProc } from "./slopes_proc.ts";
import type { Sample } from "./slopes_result.ts";
import {
  type Measured,
  measured,
  type Rig,
  type RigOptions,
} from "./slopes_rig.ts";

const RUNNERS = 4;
const SLOTS = 256;
/** Twice the planned rate of a stream, so that half as many carry its tokens. */
const STEP_MS = 32;
const STREAM_COUNTS = [0, 48, 96, 192, 384];
const REQUEST_RATES = [0, 20, 40, 80];
const TOKENS_OF_REQUEST = 1;
const ENDLESS_TOKENS = 1_000_000;
const SETTLE_MS = 4_000;
const MILLIS = 1_000;
const SLACK_MS = 3_600_000;

/** Room and time for all, so that nothing but the load varies. */
function roomy(table: Table): Table {
  return {
    ...table,
    classes: table.classes.map((one) => ({
      ...one,
      target: {},
      timeoutMs: SLACK_MS,
    })),
    services: table.services.map((one) => ({ ...one, slotsPerRunner: SLOTS })),
  };
}

async function withStack<T>(
  run: (stack: Stack, caller: Caller) => Promise<T>,
): Promise<T> {
  const stack = await startStack({
    daemons: 1,
    runners: RUNNERS,
    plainRunners: 1,
    table: roomy,
    engineConfig: {
      maxBatch: SLOTS,
      baseStepMs: STEP_MS,
      stepMsPerSequence: 0,
    },
  });
  const [daemon] = stack.daemons;
  const [sender] = stack.deployment.senders;
  if (daemon === undefined || sender === undefined) {
    throw new Error("Cannot measure without a daemon and a sender");
  }
  const key = stack.keys[sender.workspace];
  const caller = new Caller(daemon.url, key === undefined ? {} : { key });
  try {
    return await run(stack, caller);
  } finally {
    caller.close();
    await stack.close();
  }
}

function pidOf(stack: Stack): number {
  const pid = stack.daemons[0]?.pid;
  if (pid === undefined) throw new Error("Cannot measure without a daemon");
  return pid;
}

async function tokensOf(stack: Stack): Promise<number> {
  const runs = await ledgersOf(stack);
  return runs.reduce((sum, run) => sum + run.tokens, 0);
}

/** Resident memory grows with garbage too, which is no state of a rate. */
function stateless(sample: Sample): Sample {
  return { ...sample, stateBytes: 0 };
}

/** Streams that do not end stay open while their tokens are relayed. */
async function streamSamples(options: RigOptions) {
  const byTokens: Sample[] = [];
  const byStreams: Sample[] = [];
  await withStack(async (stack, caller) => {
    const leave = new AbortController();
    // One signal ends all streams, each of which listens to it.
    setMaxListeners(0, leave.signal);
    const { model } = stack.deployment;
    let open = 0;
    for (const count of STREAM_COUNTS) {
      for (; open < count; open++) {
        void caller.chat(model, {
          testTokens: ENDLESS_TOKENS,
          signal: leave.signal,
        });
      }
      await pause(SETTLE_MS);
      const sample = await sampleProc(pidOf(stack), {
        seconds: options.seconds,
        loadOf: () => tokensOf(stack),
      });
      byTokens.push(stateless(sample));
      byStreams.push({ ...sample, x: count });
    }
    leave.abort();
  });
  return { byTokens, byStreams };
}

/** Short requests at an even rate; nearly all of their cost is not tokens'. */
async function requestSamples(options: RigOptions) {
  const samples: Sample[] = [];
  await withStack(async (stack, caller) => {
    const { model } = stack.deployment;
    for (const rate of REQUEST_RATES) {
      const timer = rate === 0 ? undefined : setInterval(() => {
        void caller.chat(model, { testTokens: TOKENS_OF_REQUEST });
      }, MILLIS / rate);
      await pause(SETTLE_MS);
      const sample = await sampleProc(pidOf(stack), {
        seconds: options.seconds,
        loadOf: async () => (await ledgersOf(stack)).length,
      });
      samples.push(stateless(sample));
      clearInterval(timer);
    }
  });
  return samples;
}

async function run(options: RigOptions): Promise<readonly Measured[]> {
  const requests = await requestSamples(options);
  const { byTokens, byStreams } = await streamSamples(options);
  const whole = `A whole daemon before ${RUNNERS} stand-in engines`;
  return [
    measured("entryRequest", requests, {
      run: options,
      per: "request/s",
      how: `${whole}; streamed requests of one token, both sides' HTTP, the ` +
        "scheduler at this daemon, log lines.",
    }),
    measured("entryToken", byTokens, {
      run: options,
      per: "token event/s",
      how: `${whole}; open streams of a token each ${STEP_MS} ms.`,
    }),
    measured("entryStream", byStreams, {
      run: options,
      per: "open stream",
      how: "The same; held bytes are resident memory.",
    }),
  ];
}

/** The rig of a daemon that serves callers. */
export const ENTRY_RIG: Rig = {
  name: "entry",
  roles: ["entryRequest", "entryToken", "entryStream"],
  run,
};
