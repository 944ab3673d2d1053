import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { describe, it, type TestContext } from "node:test";
import type {
  Answer,
  LedgerEntry,
  StackDaemon,
  StackOptions,
} from "../src/mod.ts";
import { deploy, type Deployed, firstTokens, LIMIT } from "./fixtures.ts";

/** One runner that serves one request at a time, so that the others wait. */
const NARROW = {
  daemons: 3,
  runners: 1,
  plainRunners: 1,
  engineConfig: { maxBatch: 1 },
  table: (table: Deployed["stack"]["table"]) => ({
    ...table,
    services: table.services.map((it) => ({ ...it, slotsPerRunner: 1 })),
  }),
} as const;
const WORKSPACE = "front-office";
const TOKENS = 120;
const CALLS = 6;

function grantsOf(daemon: StackDaemon): number {
  const log = readFileSync(daemon.logFile, "utf8");
  return log.split("event=slot_granted").length - 1;
}

/** Places of the daemons that do not broker. */
function entriesOf(deployed: Deployed, broker: StackDaemon): readonly number[] {
  return deployed.stack.daemons.map((it, at) => it === broker ? -1 : at)
    .filter((at) => at >= 0);
}

function send(deployed: Deployed, at: number): Promise<Answer> {
  return deployed.caller(at, WORKSPACE).chat(deployed.model, {
    testTokens: TOKENS,
  });
}

/**
 * Starts a deployment and calls it through every daemon until one daemon alone
 * grants: views differ at first, and then each brokers for itself.
 */
async function started(
  t: TestContext,
  options: StackOptions = {},
): Promise<{ readonly deployed: Deployed; readonly broker: StackDaemon }> {
  const deployed = await deploy(t, { ...NARROW, ...options });
  const { daemons } = deployed.stack;
  for (;;) {
    const before = daemons.map(grantsOf);
    const calls = daemons.map((_, at) => send(deployed, at));
    assertAllWhole(await Promise.all(calls));
    const grew = daemons.filter((it, at) => grantsOf(it) > before[at]!);
    const [broker, ...others] = grew;
    if (broker !== undefined && others.length === 0) {
      return { deployed, broker };
    }
  }
}

/** Sends calls through the entries, and waits until the first one streams. */
async function queueUp(
  deployed: Deployed,
  entries: readonly number[],
): Promise<readonly Promise<Answer>[]> {
  const { arrived, onTokens } = firstTokens();
  const calls = Array.from(
    { length: CALLS },
    (_, index) =>
      deployed.caller(entries[index % entries.length]!, WORKSPACE).chat(
        deployed.model,
        { testTokens: TOKENS, onTokens },
      ),
  );
  await arrived;
  return calls;
}

function assertAllWhole(answers: readonly Answer[]): void {
  for (const answer of answers) {
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
  }
}

function assertEachRanOnce(
  runs: readonly LedgerEntry[],
  answers: readonly Answer[],
): void {
  for (const { requestId } of answers) {
    const own = runs.filter((it) => it.requestId === requestId && !it.refused);
    assert.equal(own.length, 1, `${requestId} ran ${own.length} times`);
  }
}

describe("a broker that fails, with real processes", LIMIT, () => {
  // One call streams, five wait at the broker, which is killed. The waiting
  // ones are known to nobody but their entries now; each must be asked for
  // anew and run once, and what streams must not be cut.
  it("is killed with asks waiting, and every call is answered", async (t) => {
    const { deployed, broker } = await started(t);
    const calls = await queueUp(deployed, entriesOf(deployed, broker));
    broker.child.kill("SIGKILL");
    const answers = await Promise.all(calls);
    assertAllWhole(answers);
    assertEachRanOnce(await deployed.ledger(), answers);
  });

  // The broker is stopped with asks waiting and woken after they have been
  // served elsewhere. It still believes in them; a grant of it must start
  // nothing, and the daemon must serve again.
  it("is paused and wakes, and nothing runs twice", async (t) => {
    const { deployed, broker } = await started(t);
    const entries = entriesOf(deployed, broker);
    const calls = await queueUp(deployed, entries);
    broker.child.kill("SIGSTOP");
    const answers = await Promise.all(calls);
    broker.child.kill("SIGCONT");
    const at = deployed.stack.daemons.indexOf(broker);
    const later = await Promise.all([
      ...entries.map((entry) => send(deployed, entry)),
      send(deployed, at),
    ]);
    assertAllWhole([...answers, ...later]);
    assertEachRanOnce(await deployed.ledger(), [...answers, ...later]);
  });

  // Everything between the daemons goes silent for good while calls wait at the
  // broker: the open links swallow, and no end is told. Entries must stop
  // waiting for it; new links may or may not come up meanwhile.
  it("falls silent on all links, and every call is answered", async (t) => {
    const { deployed, broker } = await started(t, { proxies: { peers: true } });
    const calls = await queueUp(deployed, entriesOf(deployed, broker));
    for (const { peerProxy } of deployed.stack.daemons) {
      peerProxy?.order({ fault: "silent" });
    }
    const answers = await Promise.all(calls);
    assertAllWhole(answers);
    assertEachRanOnce(await deployed.ledger(), answers);
  });
});
