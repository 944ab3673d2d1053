import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Answer } from "../src/mod.ts";
import { drawMix, sendMixed } from "../src/request/mix.ts";
import { deploy, leaveAtFirstToken, LIMIT } from "./fixtures.ts";

const SMALL = { daemons: 1, runners: 1, plainRunners: 1 };

function assertWhole(answer: Answer): void {
  assert.equal(answer.outcome, "complete", JSON.stringify(answer));
}

describe("the path from caller to runner and back", LIMIT, () => {
  it("carries streamed, whole and plain calls, each run once", async (t) => {
    const deployed = await deploy(t, SMALL);
    const caller = deployed.caller(0, "front-office");
    const answers = [
      await caller.chat(deployed.model, { testTokens: 30 }),
      await caller.chat(deployed.model, { testTokens: 20, streamed: false }),
      await caller.plain(deployed.cardPath, { body: '{"card":1}' }),
    ];
    answers.forEach(assertWhole);
    assert.deepEqual(answers.map(({ tokens }) => tokens), [30, 20, 0]);
    const ran = await deployed.ledger();
    assert.deepEqual(
      ran.map(({ requestId }) => requestId).sort(),
      answers.map(({ requestId }) => requestId).sort(),
    );
    assert.ok(
      ran.every(({ attemptId, end }) =>
        attemptId !== null && end === "complete"
      ),
    );
  });

  it("passes the path, query, method and body of a plain call", async (t) => {
    const deployed = await deploy(t, SMALL);
    const caller = deployed.caller(0, "yard-desk");
    const answer = await caller.plain(`${deployed.cardPath}/7?full=yes`, {
      method: "PATCH",
      body: "seven",
      headers: {
        "x-colour": "umber",
        connection: "close, x-hop",
        "x-hop": "1",
      },
    });
    assertWhole(answer);
    assert.equal(answer.body?.method, "PATCH");
    assert.equal(answer.body?.path, "/cards/7?full=yes");
    assert.equal(answer.body?.headers["x-colour"], "umber");
    assert.equal(answer.body?.headers["x-hop"], undefined);
    assert.equal(answer.body?.headers.authorization, undefined);
  });

  // The caller hangs up in the middle of a long answer. The engine must stop
  // working for it, or its time is wasted on an answer that nobody reads.
  it("cancels at the engine when the caller leaves", async (t) => {
    const deployed = await deploy(t, SMALL);
    const caller = deployed.caller(0, "fitters-east");
    const answer = await caller.chat(deployed.model, {
      testTokens: 4000,
      ...leaveAtFirstToken(),
    });
    assert.equal(answer.outcome, "cancelled");
    const [run] = await deployed.ledgerWhen(([entry]) => entry?.end !== null);
    assert.equal(run?.end, "cancelled");
    assert.ok(run.tokens < 4000);
  });

  it("tells that a refused request was not run, and sends it nowhere", async (t) => {
    const deployed = await deploy(t, SMALL);
    const { model } = deployed;
    const good = deployed.caller(0, "front-office");
    const stranger = deployed.caller(0, "front-office", { key: "no-such-key" });
    const answers = [
      await stranger.chat(model),
      await good.chat("no-such-model"),
      await good.chat(model, { class: "no-such-class" }),
      await good.chat(model, { headers: { "umbermast-repeatable": "maybe" } }),
      await good.plain("/services/no-such-service/x"),
    ];
    for (const answer of answers) {
      assert.equal(answer.outcome, "not-run", JSON.stringify(answer));
      assert.ok(answer.status >= 400 && answer.status < 500);
      assert.notEqual(answer.code, undefined);
      assert.notEqual(answer.requestId, "");
    }
    assert.deepEqual(await deployed.ledger(), []);
  });

  it("gives each of many callers its own answer, by any daemon", async (t) => {
    const deployed = await deploy(t, {
      daemons: 3,
      runners: 3,
      plainRunners: 2,
      deployment: "metro",
    });
    const { stack, model } = deployed;
    const mix = drawMix(stack.deployment, { calls: 90, seed: 3, scale: 0.2 });
    const answers = await Promise.all(mix.map((call) => {
      const caller = deployed.caller(call.number % 3, call.workspace);
      return sendMixed(caller, call, { model, scale: 0.2 });
    }));
    answers.forEach(assertWhole);
    const ran = await deployed.ledger();
    assert.deepEqual(
      ran.map(({ requestId }) => requestId).sort(),
      answers.map(({ requestId }) => requestId).sort(),
    );
  });
});
