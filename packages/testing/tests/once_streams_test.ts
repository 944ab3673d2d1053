import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { deploy, streamUnderWay } from "./fixtures.ts";

const ONE_ENGINE = {
  daemons: 1,
  runners: 1,
  plainRunners: 0,
  // Short limits, so that silence is seen soon; none is asserted on.
  daemonSettings: {
    attempts: { firstTokenMs: 3_000, betweenTokensMs: 1_000 },
  },
} as const;

describe("a streamed answer under faults, with real processes", () => {
  // Something between daemon and engine loses track of the connection in the
  // middle of a cut sheet: no byte comes, and no reset. The daemon asks for the
  // rest over a new connection; the caller sees each token once, and the engine
  // made each once.
  it("is resumed when its connection goes silent", async (t) => {
    const deployed = await deploy(t, {
      ...ONE_ENGINE,
      proxies: { runners: true },
    });
    const stream = await streamUnderWay(deployed);
    deployed.modelRunners()[0]?.proxy?.order({ fault: "silent" });
    const answer = await stream.answer;
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    assert.equal(answer.tokens, 400);
    const runs = await deployed.ledger();
    assert.equal(runs.length, 1);
    assert.ok((runs[0]?.resumes ?? 0) > 0);
  });

  // The connection is cut, not silent: the same rest is asked for at once.
  it("is resumed when its connection is cut", async (t) => {
    const deployed = await deploy(t, {
      ...ONE_ENGINE,
      proxies: { runners: true },
    });
    const stream = await streamUnderWay(deployed);
    const proxy = deployed.modelRunners()[0]?.proxy;
    proxy?.order({ fault: "cut", seconds: 0 });
    const answer = await stream.answer;
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    assert.equal((await deployed.ledger()).length, 1);
  });

  // The engine crashes in the middle of an answer and forgets the run. The
  // tokens that the caller has cannot be taken back and the rest is lost: the
  // answer ends in an error event and a broken end, never in the end mark.
  it("never looks whole after the engine crashed in it", async (t) => {
    const deployed = await deploy(t, ONE_ENGINE);
    const [runner] = deployed.modelRunners();
    await deployed.stack.control(runner?.url ?? "", {
      fault: "crash-mid-answer",
      afterTokens: 5,
      count: 1,
    });
    const caller = deployed.caller(0, "fitters-east");
    const answer = await caller.chat(deployed.model, { testTokens: 50 });
    assert.equal(answer.outcome, "truncated", JSON.stringify(answer));
    const [run] = await deployed.ledger();
    assert.equal(run?.end, "crashed");
  });

  // A runner process is gone, but the platform still lists it. Nothing was
  // sent to it, so the request is served by another runner.
  it("comes from another runner when the one chosen is down", async (t) => {
    const deployed = await deploy(t, { ...ONE_ENGINE, runners: 2 });
    const [first] = deployed.modelRunners();
    process.kill(first?.pid ?? 0, "SIGKILL");
    const caller = deployed.caller(0, "front-office");
    const answers = [];
    for (let at = 0; at < 4; at++) {
      answers.push(await caller.chat(deployed.model, { testTokens: 5 }));
    }
    for (const answer of answers) {
      assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    }
  });
});
