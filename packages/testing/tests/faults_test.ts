import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Answer } from "../src/mod.ts";
import { ANSWER_OF_A_RUN, deploy, firstTokens, LIMIT } from "./fixtures.ts";

const BEHIND_PROXIES = {
  daemons: 1,
  runners: 1,
  plainRunners: 1,
  proxies: { runners: true },
} as const;
const LONG = 4000;
/** Long enough that no test waits for its end. */
const HOLD_MS = 600_000;

/** An answer that broke off must say so. */
function assertHonest(answer: Answer): void {
  const { outcome } = answer;
  assert.ok(
    outcome === "complete" || outcome === "truncated" || outcome === "failed",
    JSON.stringify(answer),
  );
}

describe("faults between daemon and runner", LIMIT, () => {
  // The runner makes the job card, and its answer is lost on the way back. The
  // caller said not to repeat it, so it is told that the outcome is unknown; a
  // second send would put two vans on the road.
  it("runs a lost job card once and calls it unknown", async (t) => {
    const deployed = await deploy(t, BEHIND_PROXIES);
    const [runner] = deployed.plainRunners();
    runner?.proxy?.order({
      fault: "lose-reply",
      match: "umbermast-attempt-id",
    });
    const caller = deployed.caller(0, "yard-desk");
    const answer = await caller.plain(deployed.cardPath, {
      repeatable: false,
      body: "{}",
    });
    assert.equal(answer.outcome, "unknown", JSON.stringify(answer));
    assert.equal((await deployed.ledger()).length, 1);
  });

  // Two answers come crossed: the first one asked for arrives last. Each must
  // still reach the caller that asked for it.
  it("keeps crossed answers apart", async (t) => {
    const deployed = await deploy(t, BEHIND_PROXIES);
    const [runner] = deployed.modelRunners();
    const first = deployed.caller(0, "front-office");
    const second = deployed.caller(0, "homeowners");
    runner?.proxy?.order({
      fault: "reorder",
      holdMs: HOLD_MS,
      match: ANSWER_OF_A_RUN,
    });
    const held = first.chat(deployed.model, { streamed: false, testTokens: 9 });
    await deployed.ledgerWhen(([entry]) => entry?.end === "complete");
    const passing = await second.chat(deployed.model, { testTokens: 12 });
    assert.equal(passing.outcome, "complete", JSON.stringify(passing));
    runner?.proxy?.order({ fault: "none" });
    const late = await held;
    assert.equal(late.outcome, "complete", JSON.stringify(late));
    assert.equal(late.tokens, 9);
  });

  // The engine dies in the middle of a streamed answer. What the caller has is
  // not whole; it must not look as if it were.
  it("never ends a broken stream as if it were whole", async (t) => {
    const deployed = await deploy(t, BEHIND_PROXIES);
    const [runner] = deployed.modelRunners();
    const caller = deployed.caller(0, "fitters-east");
    const tokens = firstTokens();
    const call = caller.chat(deployed.model, {
      testTokens: LONG,
      onTokens: tokens.onTokens,
    });
    await tokens.arrived;
    runner?.child.kill("SIGKILL");
    const answer = await call;
    assert.equal(answer.outcome, "truncated", JSON.stringify(answer));
    assert.notEqual(answer.code, undefined);
  });

  it("says of a broken whole answer that it failed or is unknown", async (t) => {
    const deployed = await deploy(t, BEHIND_PROXIES);
    const [runner] = deployed.modelRunners();
    await deployed.stack.control(runner?.url ?? "", {
      fault: "crash-mid-answer",
    });
    const caller = deployed.caller(0, "fitters-east");
    const answer = await caller.chat(deployed.model, {
      streamed: false,
      repeatable: false,
      testTokens: 50,
    });
    assert.ok(answer.status >= 500, JSON.stringify(answer));
    assert.notEqual(answer.outcome, "complete");
    assert.notEqual(answer.outcome, "not-run");
    assert.equal((await deployed.ledger()).length, 1);
  });
});

describe("faults around the daemon", LIMIT, () => {
  // The host is to be replaced: SIGTERM comes while a stream is under way. The
  // caller gets the rest of it, and only then the process ends.
  it("finishes what is in flight at SIGTERM", async (t) => {
    const deployed = await deploy(t, BEHIND_PROXIES);
    const caller = deployed.caller(0, "front-office");
    const tokens = firstTokens();
    const call = caller.chat(deployed.model, {
      testTokens: 300,
      onTokens: tokens.onTokens,
    });
    await tokens.arrived;
    const { child } = deployed.daemon(0);
    child.kill("SIGTERM");
    const answer = await call;
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    assert.equal(await child.ended, 0);
  });

  // The platform's store and host list go away for longer than the test. What
  // the daemons know already is enough to serve.
  it("serves through an outage of the platform", async (t) => {
    const deployed = await deploy(t, BEHIND_PROXIES);
    const { stack, model } = deployed;
    await stack.control(stack.platform.url, { fault: "down" });
    const caller = deployed.caller(0, "front-office");
    for (let call = 0; call < 5; call++) {
      const answer = await caller.chat(model, { testTokens: 5 });
      assertHonest(answer);
      assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    }
  });
});
