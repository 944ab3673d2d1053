import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fetchJson, type StackDaemon } from "../src/mod.ts";
import { deploy, type Deployed, LIMIT } from "./fixtures.ts";

const THREE = {
  daemons: 3,
  runners: 2,
  plainRunners: 0,
  proxies: { peers: true },
} as const;

/** What a daemon believes of the others, by name. */
async function beliefs(
  deployed: Deployed,
  daemon: StackDaemon,
): Promise<ReadonlyMap<string, string>> {
  const headers = { authorization: `Bearer ${deployed.stack.operatorToken}` };
  const { body } = await fetchJson(`${daemon.operatorUrl}/daemons`, {
    headers,
  });
  const { daemons } = body as {
    daemons: readonly { readonly name: string; readonly state: string }[];
  };
  return new Map(daemons.map(({ name, state }) => [name, state]));
}

/** Waits until each daemon believes that each is alive. */
async function allAlive(deployed: Deployed): Promise<void> {
  const { daemons } = deployed.stack;
  for (const daemon of daemons) {
    for (let alive = 0; alive < daemons.length;) {
      const states = [...(await beliefs(deployed, daemon)).values()];
      alive = states.filter((state) => state === "alive").length;
    }
  }
}

/** Sends a call through each daemon; each must be answered whole. */
async function eachServes(deployed: Deployed): Promise<void> {
  const calls = deployed.stack.daemons.map((_, at) =>
    deployed.caller(at, "front-office").chat(deployed.model, { testTokens: 5 })
  );
  for (const answer of await Promise.all(calls)) {
    assert.equal(answer.outcome, "complete", JSON.stringify(answer));
  }
}

describe("faults between daemons", LIMIT, () => {
  it("find one another through proxies and serve", async (t) => {
    const deployed = await deploy(t, THREE);
    await allAlive(deployed);
    await eachServes(deployed);
    const used = deployed.stack.daemons.map(({ peerProxy }) =>
      peerProxy?.accepted ?? 0
    );
    assert.ok(used.some((accepted) => accepted > 0), used.join());
  });

  // Every open connection between the daemons goes silent for good, while new
  // ones work. Callers must not notice.
  it("serve on when their links go silent", async (t) => {
    const deployed = await deploy(t, THREE);
    await allAlive(deployed);
    await eachServes(deployed);
    for (const { peerProxy } of deployed.stack.daemons) {
      peerProxy?.order({ fault: "silent" });
    }
    await eachServes(deployed);
    await allAlive(deployed);
    await eachServes(deployed);
  });

  // A daemon's host is paused: it answers nothing and nothing tells so. The
  // others go on without it; when it wakes it takes part again.
  it("serve on while one of them is paused, and take it back", async (t) => {
    const deployed = await deploy(t, { ...THREE, proxies: {} });
    await allAlive(deployed);
    const paused = deployed.daemon(2);
    paused.child.kill("SIGSTOP");
    for (let call = 0; call < 10; call++) {
      const caller = deployed.caller(call % 2, "front-office");
      const answer = await caller.chat(deployed.model, { testTokens: 5 });
      assert.equal(answer.outcome, "complete", JSON.stringify(answer));
    }
    paused.child.kill("SIGCONT");
    await allAlive(deployed);
    await eachServes(deployed);
  });
});
