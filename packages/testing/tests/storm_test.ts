import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type Answer,
  Caller,
  drawMix,
  type LedgerEntry,
  type MixResult,
  seededRandom,
  sendMixed,
} from "../src/mod.ts";
import { ANSWER_OF_A_RUN, deploy, type Deployed, LIMIT } from "./fixtures.ts";

const SEED = 7;
const CALLS = 240;
const SPACING_MS = 15;
/** A caller's patience; silent connections are not waited for any longer. */
const IDLE_MS = 8_000;
const SCALE = 0.3;
/** A fault strikes before every so many calls. */
const FAULT_EVERY = 8;
const KILL_DAEMON_AT = 160;
const KILL_RUNNER_AT = 80;

/** The answers of the next two runs, and not of polls in between. */
const TWO_RUNS = { count: 2, match: ANSWER_OF_A_RUN };

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Faults in a seeded order; each hits a runner or the way to it. */
function stormOver(deployed: Deployed, seed: number): () => Promise<void> {
  const random = seededRandom(`storm/${seed}`);
  function pick<T>(items: readonly T[]): T {
    return items[Math.floor(random() * items.length)] as T;
  }
  const { stack } = deployed;
  return async () => {
    const { proxy, url } = pick(stack.runners);
    const strike = pick([
      () => proxy?.order({ fault: "cut" }),
      () => proxy?.order({ fault: "silent" }),
      () => proxy?.order({ fault: "silent", direction: "down" }),
      () => proxy?.order({ fault: "lose-reply", ...TWO_RUNS }),
      () => proxy?.order({ fault: "reorder", holdMs: 300, ...TWO_RUNS }),
      () => proxy?.order({ fault: "delay", delayMs: 80, seconds: 1 }),
      () => stack.control(url, { fault: "crash-mid-answer", count: 2 }),
      () => stack.control(url, { fault: "lose-reply", count: 2 }),
      () => stack.control(url, { fault: "straggle", factor: 8, seconds: 1 }),
      () => stack.control(stack.platform.url, { fault: "down", seconds: 1 }),
    ]);
    // A runner that has been killed takes no orders any more.
    await Promise.resolve(strike()).catch(() => undefined);
  };
}

/** Sends a mix while faults strike and processes die. */
async function sendThroughStorm(
  deployed: Deployed,
  seed: number,
): Promise<readonly MixResult[]> {
  const { stack, model } = deployed;
  const strike = stormOver(deployed, seed);
  const mix = drawMix(stack.deployment, { calls: CALLS, seed, scale: SCALE });
  const results: Promise<MixResult>[] = [];
  for (const call of mix) {
    if (call.number % FAULT_EVERY === 0) await strike();
    if (call.number === KILL_RUNNER_AT) {
      deployed.modelRunners()[0]?.child.kill("SIGKILL");
    }
    if (call.number === KILL_DAEMON_AT) {
      deployed.daemon(0).child.kill("SIGKILL");
    }
    const { url } = deployed.daemon(call.number % stack.daemons.length);
    const key = stack.keys[call.workspace] ?? "";
    const caller = new Caller(url, { key });
    const options = { model, scale: SCALE, idleMs: IDLE_MS };
    results.push(
      sendMixed(caller, call, options).then((answer) => {
        caller.close();
        return { call, answer };
      }),
    );
    await pause(SPACING_MS);
  }
  return await Promise.all(results);
}

/** Runs that began; a refusal before the start is none. */
function startedRuns(ledger: readonly LedgerEntry[]): readonly LedgerEntry[] {
  return ledger.filter(({ refused }) => !refused);
}

function describeAnswer(answer: Answer): string {
  return JSON.stringify(answer);
}

describe("a storm of faults", LIMIT, () => {
  // Connections break, go silent and lose replies; answers come late; engines
  // crash and straggle; the platform goes away; a runner and a daemon die. No
  // caller may get tokens that are not its own, or a part as if it were whole;
  // what was called "not run" must stand in no runner's ledger; what may not be
  // repeated must stand there at most once.
  it("mixes no answers, repeats no job card, and tells no lie", async (t) => {
    const deployed = await deploy(t, {
      daemons: 3,
      runners: 4,
      plainRunners: 2,
      proxies: { runners: true },
    });
    const results = await sendThroughStorm(deployed, SEED);
    const runs = startedRuns(await deployed.ledger());
    const counts = new Map<string, number>();
    for (const { call, answer } of results) {
      const { outcome, requestId } = answer;
      const name = `${call.traffic.class} ${outcome}`;
      counts.set(name, (counts.get(name) ?? 0) + 1);
      assert.notEqual(outcome, "corrupt", describeAnswer(answer));
      const own = runs.filter((run) => run.requestId === requestId);
      if (outcome === "not-run") {
        assert.deepEqual(own, [], describeAnswer(answer));
      }
      if (call.traffic.repeatable) continue;
      const key = `${call.workspace}-${call.number}`;
      const sent = runs.filter((run) => run.idempotencyKey === key);
      assert.ok(sent.length <= 1, `${key}: ${JSON.stringify(sent)}`);
      if (outcome === "not-run") assert.deepEqual(sent, [], key);
    }
    t.diagnostic(JSON.stringify(Object.fromEntries(counts)));
    // Neither a deployment that answers nothing nor a storm that harms nothing
    // would have shown anything.
    const whole = results.filter(({ answer }) => answer.outcome === "complete");
    assert.ok(whole.length > CALLS / 10);
    assert.ok(whole.length < CALLS);
  });
});
