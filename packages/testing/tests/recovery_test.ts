import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { deploy, LIMIT, streamUnderWay } from "./fixtures.ts";

const ONE_ENGINE = {
  daemons: 1,
  runners: 1,
  plainRunners: 0,
  proxies: { runners: true },
} as const;

describe("recovery of an answer", LIMIT, () => {
  // The connection to the engine breaks in the middle of a stream. The engine
  // keeps the stream for a while, so the daemon takes it up on a new connection
  // after the last token that the caller has; the caller notices nothing.
  it("resumes a stream whose connection broke", async (t) => {
    const deployed = await deploy(t, ONE_ENGINE);
    const [runner] = deployed.modelRunners();
    const stream = await streamUnderWay(deployed);
    runner?.proxy?.order({ fault: "cut" });
    const answer = await stream.answer;
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    assert.equal(answer.tokens, 400);
    const runs = await deployed.ledger();
    assert.deepEqual(runs.map(({ end }) => end), ["complete"]);
    assert.ok((runs[0]?.resumes ?? 0) >= 1);
  });

  // Something between daemon and engine forgets the connection: no error, no
  // end, no token. The daemon gives the connection up after a while without
  // tokens and takes the stream up on a new one.
  it("resumes a stream whose connection went silent", async (t) => {
    const deployed = await deploy(t, ONE_ENGINE);
    const [runner] = deployed.modelRunners();
    const stream = await streamUnderWay(deployed);
    runner?.proxy?.order({ fault: "silent" });
    const answer = await stream.answer;
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    assert.equal(answer.tokens, 400);
    const runs = await deployed.ledger();
    assert.deepEqual(runs.map(({ end }) => end), ["complete"]);
  });

  // An engine dies with a whole answer half done. The caller has got nothing
  // yet and may be answered twice, so the request runs again at another engine.
  it("runs a repeatable request again when nothing was delivered", async (t) => {
    const deployed = await deploy(t, { ...ONE_ENGINE, runners: 2 });
    const caller = deployed.caller(0, "front-office");
    const call = caller.chat(deployed.model, {
      streamed: false,
      testTokens: 1000,
    });
    const { url } = await deployed.busyRunner();
    await deployed.stack.control(url, { fault: "crash-mid-answer" });
    const answer = await call;
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    const ends = (await deployed.ledger()).map(({ end }) => end);
    assert.deepEqual(ends.sort(), ["complete", "crashed"]);
  });

  // An engine dies for good. What comes later must go to the one that is left,
  // at the cost of nothing but a retry.
  it("serves on when one of two engines is gone", async (t) => {
    const deployed = await deploy(t, { ...ONE_ENGINE, runners: 2 });
    const [gone] = deployed.modelRunners();
    gone?.child.kill("SIGKILL");
    await gone?.child.ended;
    const caller = deployed.caller(0, "front-office");
    for (let call = 0; call < 10; call++) {
      const answer = await caller.chat(deployed.model, { testTokens: 5 });
      assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    }
  });

  // The connections kept to an engine went silent while they were idle. A quote
  // that is sent on one of them goes nowhere, and must not wait there for long:
  // a new connection would have worked.
  it("answers a quote when kept connections are silent", async (t) => {
    const deployed = await deploy(t, ONE_ENGINE);
    const caller = deployed.caller(0, "front-office");
    const before = await caller.chat(deployed.model, { testTokens: 5 });
    assert.equal(before.outcome, "complete", JSON.stringify(before));
    for (const { proxy } of deployed.modelRunners()) {
      proxy?.order({ fault: "silent" });
    }
    const answer = await caller.chat(deployed.model, { testTokens: 5 });
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    t.diagnostic(`first token after ${answer.firstTokenMs?.toFixed(0)} ms`);
  });
});
