import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { StoredTable, Table } from "@umbermast/table";
import { Caller, digestKey, fetchJson, type Stack } from "../src/mod.ts";
import { deploy, type Deployed, LIMIT } from "./fixtures.ts";

const SMALL = { daemons: 2, runners: 2, plainRunners: 0 } as const;
const NEW_KEY = "um-new-key";

/** Edits the table as an operator would, over the version just read. */
async function editTable(
  stack: Stack,
  change: (table: Table) => Table,
): Promise<void> {
  const place = `${stack.platform.url}/objects/tables/main`;
  const { body } = await fetchJson(place);
  const { version, value } = body as { version: number; value: StoredTable };
  const edited: StoredTable = {
    ...value,
    table: change(value.table),
    sequence: value.sequence + 1,
    editId: `e${value.sequence}-0`,
  };
  const { status } = await fetchJson(place, {
    method: "PUT",
    headers: { "if-version": `${version}` },
    body: edited,
  });
  assert.equal(status, 200);
}

function withNewKey(table: Table): Table {
  const workspaces = table.workspaces.map((workspace) =>
    workspace.name === "front-office"
      ? { ...workspace, keyDigests: [digestKey(NEW_KEY)] }
      : workspace
  );
  return { ...table, workspaces };
}

/** Waits until each daemon takes the new key, and refuses the old one. */
async function newKeyInForce(deployed: Deployed): Promise<void> {
  for (const { url } of deployed.stack.daemons) {
    const caller = new Caller(url, { key: NEW_KEY });
    let outcome = "";
    while (outcome !== "complete") {
      const answer = await caller.chat(deployed.model, { testTokens: 1 });
      outcome = answer.outcome;
      assert.ok(outcome === "complete" || outcome === "not-run");
    }
    caller.close();
  }
  const old = await deployed.caller(0, "front-office").chat(deployed.model);
  assert.equal(old.outcome, "not-run");
}

describe("faults of the platform", LIMIT, () => {
  it("puts an edit in force at every daemon", async (t) => {
    const deployed = await deploy(t, SMALL);
    const editedAt = performance.now();
    await editTable(deployed.stack, withNewKey);
    await newKeyInForce(deployed);
    const elapsedMs = performance.now() - editedAt;
    t.diagnostic(`in force everywhere after ${elapsedMs.toFixed(0)} ms`);
  });

  // The watches of the daemons go silent: their connections stay open and
  // nothing comes any more. An edit made afterwards must reach them all the
  // same, over connections that are opened anew.
  it("puts an edit in force when watches are silent", async (t) => {
    const deployed = await deploy(t, { ...SMALL, proxies: { platform: true } });
    for (const { platformProxy } of deployed.stack.daemons) {
      platformProxy?.order({ fault: "silent" });
    }
    const editedAt = performance.now();
    await editTable(deployed.stack, withNewKey);
    await newKeyInForce(deployed);
    const elapsedMs = performance.now() - editedAt;
    t.diagnostic(`in force everywhere after ${elapsedMs.toFixed(0)} ms`);
  });

  it("catches up with an edit made in an outage", async (t) => {
    const deployed = await deploy(t, { ...SMALL, proxies: { platform: true } });
    for (const { platformProxy } of deployed.stack.daemons) {
      platformProxy?.order({ fault: "cut", seconds: 3 });
    }
    const editedAt = performance.now();
    await editTable(deployed.stack, withNewKey);
    await newKeyInForce(deployed);
    const elapsedMs = performance.now() - editedAt;
    t.diagnostic(`in force everywhere after ${elapsedMs.toFixed(0)} ms`);
  });

  // A runner is about to go. Once a daemon has seen so, nothing new may go
  // there: it would be cut off.
  it("gives a leaving runner nothing new", async (t) => {
    const deployed = await deploy(t, { ...SMALL, daemons: 1 });
    const { stack, model } = deployed;
    const [leaving] = deployed.modelRunners();
    assert.ok(leaving);
    await stack.setHost({ ...leaving.host, state: "leaving" });
    const headers = { authorization: `Bearer ${stack.operatorToken}` };
    const runners = `${deployed.daemon(0).operatorUrl}/runners`;
    for (let seen = false; !seen;) {
      const { body } = await fetchJson(runners, { headers });
      seen = JSON.stringify(body).includes('"leaving"');
    }
    const caller = deployed.caller(0, "front-office");
    const answers = await Promise.all(
      Array.from({ length: 12 }, () => caller.chat(model, { testTokens: 5 })),
    );
    assert.ok(answers.every(({ outcome }) => outcome === "complete"));
    assert.deepEqual((await fetchJson(`${leaving.url}/ledger`)).body, []);
  });
});
