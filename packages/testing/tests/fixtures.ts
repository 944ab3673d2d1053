/**
 * Whole deployments for tests: real processes, with callers and ledgers.
 *
 * @module
 */
import type { TestContext } from "node:test";
import {
  type Answer,
  Caller,
  type CallerOptions,
  fetchJson,
  type LedgerEntry,
  type Stack,
  type StackDaemon,
  type StackOptions,
  type StackRunner,
  startStack,
} from "../src/mod.ts";

/** Ends a suite that waits for something that never comes. */
export const LIMIT = { timeout: 180_000 };

/**
 * A header that the answers of runs have, and answers to polls of a runner's
 * load have not: by it a proxy strikes the answer that a test means.
 */
export const ANSWER_OF_A_RUN = "umbermast-attempt-id";

/** Tokens of an answer that is long enough to meet a fault on its way. */
const STREAM_TOKENS = 400;

/** A deployment under test. */
export interface Deployed {
  readonly stack: Stack;
  readonly model: string;
  /** Path of a call of the plain service. */
  readonly cardPath: string;
  /** A caller of one daemon, by the daemon's place; closed after the test. */
  caller(daemon: number, workspace: string, options?: CallerOptions): Caller;
  daemon(at: number): StackDaemon;
  modelRunners(): readonly StackRunner[];
  plainRunners(): readonly StackRunner[];
  /** The runner where something runs, once something does. */
  busyRunner(): Promise<StackRunner>;
  /** Every run of every runner that still answers. */
  ledger(): Promise<readonly LedgerEntry[]>;
  /** Waits until the ledger is as wanted, and returns it. */
  ledgerWhen(
    wanted: (entries: readonly LedgerEntry[]) => boolean,
  ): Promise<readonly LedgerEntry[]>;
}

/** Starts a deployment that ends after the test or suite. */
export async function deploy(
  t: Pick<TestContext, "after">,
  options: StackOptions,
): Promise<Deployed> {
  const stack = await startStack(options);
  const callers: Caller[] = [];
  t.after(async () => {
    for (const caller of callers) caller.close();
    await stack.close();
  });
  const { modelService, plainService, model } = stack.deployment;

  async function ledgerOf(url: string): Promise<readonly LedgerEntry[]> {
    const answer = await fetchJson(`${url}/ledger`).catch(() => undefined);
    return (answer?.body ?? []) as readonly LedgerEntry[];
  }

  async function ledger(): Promise<readonly LedgerEntry[]> {
    const lists = stack.runners.map(({ url }) => ledgerOf(url));
    return (await Promise.all(lists)).flat();
  }

  async function busyRunner(): Promise<StackRunner> {
    for (;;) {
      for (const runner of stack.runners) {
        const runs = await ledgerOf(runner.url);
        if (runs.some(({ end }) => end === null)) return runner;
      }
    }
  }

  function daemon(at: number): StackDaemon {
    const found = stack.daemons[at];
    if (found === undefined) throw new Error(`Cannot find daemon ${at}`);
    return found;
  }

  return {
    stack,
    model,
    cardPath: `/services/${plainService}/cards`,
    daemon,
    caller(at, workspace, given = {}) {
      const key = stack.keys[workspace] ?? "";
      const caller = new Caller(daemon(at).url, { key, ...given });
      callers.push(caller);
      return caller;
    },
    modelRunners: () =>
      stack.runners.filter(({ service }) => service === modelService),
    plainRunners: () =>
      stack.runners.filter(({ service }) => service === plainService),
    busyRunner,
    ledger,
    async ledgerWhen(wanted) {
      for (;;) {
        const entries = await ledger();
        if (wanted(entries)) return entries;
      }
    },
  };
}

/** A signal that aborts once tokens arrive. */
export function leaveAtFirstToken(): {
  readonly signal: AbortSignal;
  readonly onTokens: () => void;
} {
  const controller = new AbortController();
  return { signal: controller.signal, onTokens: () => controller.abort() };
}

/** A promise that the first tokens of a call resolve. */
export function firstTokens(): {
  readonly arrived: Promise<void>;
  readonly onTokens: () => void;
} {
  let resolve = () => {};
  const arrived = new Promise<void>((settle) => resolve = settle);
  return { arrived, onTokens: () => resolve() };
}

/** A long streamed answer of the first daemon, once its first tokens are here. */
export async function streamUnderWay(
  deployed: Deployed,
): Promise<{ readonly answer: Promise<Answer> }> {
  const tokens = firstTokens();
  const answer = deployed.caller(0, "fitters-east").chat(deployed.model, {
    testTokens: STREAM_TOKENS,
    onTokens: tokens.onTokens,
  });
  await tokens.arrived;
  return { answer };
}
