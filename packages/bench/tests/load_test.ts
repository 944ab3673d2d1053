import assert from "node:assert/strict";
import { test } from "node:test";
import { startStack } from "@umbermast/testing";
import { arrivals } from "../src/arrivals.ts";
import { mixOf } from "../src/arrivals_mixes.ts";
import { judge } from "../src/judge.ts";
import { ledgersOf } from "../src/judge_ledgers.ts";
import { sendAll } from "../src/load.ts";

const PATIENCE_MS = 60_000;
const CLASSES = ["quote", "query", "job-card", "cut-sheet"];

test("a mix sent through real daemons is judged from both ends", async () => {
  const sent = arrivals(mixOf("cooperative"), {
    seed: 5,
    phases: [{ name: "calm", seconds: 2, factor: 1 }],
  });
  const stack = await startStack({ daemons: 2, runners: 2, plainRunners: 1 });
  try {
    const records = await sendAll(sent, {
      urls: stack.daemons.map((daemon) => daemon.url),
      keys: stack.keys,
      plainPath: "/cards",
    }, { patienceMs: PATIENCE_MS, idempotencyKeys: false, runName: "test" });
    const runs = await ledgersOf(stack);
    const { breaches, classes } = judge(records, runs, {
      targets: CLASSES.map((name) => ({ class: name })),
      seconds: 2,
      until: Date.now(),
    });
    assert.deepEqual(breaches, []);
    assert.equal(records.length, sent.length);
    const complete = classes.reduce((sum, each) => sum + each.complete, 0);
    const findings = records
      .filter(({ answer }) => answer.outcome !== "complete")
      .map(({ answer }) => answer.finding);
    assert.equal(complete, sent.length, JSON.stringify(findings));
    assert.equal(runs.length, sent.length);
  } finally {
    await stack.close();
  }
});
