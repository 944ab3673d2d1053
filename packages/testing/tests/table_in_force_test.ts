import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fetchJson } from "../src/mod.ts";
import { deploy, LIMIT } from "./fixtures.ts";
import { inForceAt, setWeight, versionAt } from "./table_fixtures.ts";

const FLEET = {
  daemons: 3,
  runners: 1,
  plainRunners: 0,
  proxies: { platform: true },
} as const;
/** Longer than any test of the suite. */
const FOR_GOOD_SECONDS = 600;
const CUT = { fault: "cut", seconds: FOR_GOOD_SECONDS } as const;
const DOWN = { fault: "down", part: "objects", seconds: FOR_GOOD_SECONDS };

/** Operators' URL of a daemon whose log has come since, as it says itself. */
async function startedAt(
  logs: string,
  before: readonly string[],
): Promise<string> {
  for (;;) {
    const fresh = readdirSync(logs).filter((name) =>
      name.endsWith(".log") && !before.includes(name)
    );
    for (const name of fresh) {
      const text = readFileSync(join(logs, name), "utf8");
      const place = / operators=([\d.]+:\d+)/.exec(text)?.[1];
      if (place !== undefined) return `http://${place}`;
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe("an accepted edit", LIMIT, () => {
  it("is in force at every live daemon when --wait returns", async (t) => {
    const { stack } = await deploy(t, FLEET);
    const version = await setWeight(stack, 7, { flags: ["--wait"] });
    for (const daemon of stack.daemons) {
      assert.ok(await versionAt(stack, daemon) >= version);
    }
  });

  // One daemon cannot reach the store, its peers can. It must not go on with
  // the table of before: the version comes from a peer.
  it("reaches a daemon that is cut off from the store alone", async (t) => {
    const { stack, daemon } = await deploy(t, FLEET);
    daemon(0).platformProxy?.order(CUT);
    const version = await setWeight(stack, 7, { daemons: [] });
    await inForceAt(stack, daemon(0), version);
  });

  // The store accepts an edit and goes down before any daemon has read it, so
  // nothing but the tool still holds the version. The tool offers it to one
  // daemon, which passes it on to the others.
  it("is in force after an outage that begins right after it", async (t) => {
    const { stack, daemon } = await deploy(t, FLEET);
    for (const { platformProxy } of stack.daemons) platformProxy?.order(CUT);
    const version = await setWeight(stack, 7, { daemons: [daemon(1)] });
    await stack.control(stack.platform.url, DOWN);
    for (const each of stack.daemons) await inForceAt(stack, each, version);
  });

  // A host is replaced while the store is down. Its daemon knows nothing and
  // must not serve an older table than its peers have.
  it("is in force at a daemon that starts while the store is down", async (t) => {
    const { stack, daemon } = await deploy(t, FLEET);
    const version = await setWeight(stack, 7, { flags: ["--wait"] });
    await stack.control(stack.platform.url, DOWN);
    daemon(2).child.kill("SIGKILL");
    const started = await stack.startDaemon(daemon(2).name);
    assert.ok(await versionAt(stack, started) >= version);
  });

  // The store is down and no peer is there to ask. A daemon that served by no
  // table would refuse every caller as unknown; it says what it waits for.
  it("is waited for by a daemon that starts with neither store nor peer", async (t) => {
    const { stack, daemon } = await deploy(t, { ...FLEET, daemons: 1 });
    const version = await setWeight(stack, 7);
    await stack.control(stack.platform.url, DOWN);
    daemon(0).child.kill("SIGKILL");
    const before = readdirSync(stack.logs);
    const starting = stack.startDaemon(daemon(0).name);
    const operatorUrl = await startedAt(stack.logs, before);
    const headers = { authorization: `Bearer ${stack.operatorToken}` };
    const { status, body } = await fetchJson(`${operatorUrl}/readyz`, {
      headers,
    });
    assert.equal(status, 503);
    assert.match(JSON.stringify(body), /table_unread/);
    await stack.control(stack.platform.url, { fault: "none" });
    await inForceAt(stack, await starting, version);
  });

  // A daemon is paused over two edits and wakes with an old copy, while the
  // store is down. It must catch up from its peers, and they must not take its
  // older copy for news.
  it("outlives the older copy of a daemon that was paused", async (t) => {
    const { stack, daemon } = await deploy(t, FLEET);
    const others = [daemon(1), daemon(2)];
    daemon(0).child.kill("SIGSTOP");
    await setWeight(stack, 7, { daemons: others });
    const version = await setWeight(stack, 8, { daemons: others });
    for (const each of others) await inForceAt(stack, each, version);
    await stack.control(stack.platform.url, DOWN);
    daemon(0).child.kill("SIGCONT");
    await inForceAt(stack, daemon(0), version);
    for (const each of others) {
      assert.ok(await versionAt(stack, each) >= version);
    }
  });

  // Open watches go silent for good: nothing comes through them any more and
  // nothing tells their ends. New connections work.
  it("is in force when the watches have gone silent", async (t) => {
    const { stack } = await deploy(t, FLEET);
    for (const { platformProxy } of stack.daemons) {
      platformProxy?.order({ fault: "silent" });
    }
    const version = await setWeight(stack, 7, { daemons: [] });
    for (const each of stack.daemons) await inForceAt(stack, each, version);
  });
});
