import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { SHARE_UNITS, WorkspaceShares } from "./workspace_shares.ts";
import type { CostSum, Flow } from "./workspace_shares.ts";

const HALF = SHARE_UNITS / 2;

function flowOf(workspace: string, rank = 0): Flow {
  return { service: "service", rank, workspace };
}

function startMany(
  shares: WorkspaceShares,
  flow: Flow,
  options: { readonly count: number; readonly now?: number },
): void {
  for (let index = 0; index < options.count; index += 1) {
    shares.recordStart(flow, 10, options.now ?? 0);
  }
}

test("a workspace's share is its part of recent cost by its weight", () => {
  const shares = new WorkspaceShares({
    log: SILENT_LOG,
    weightOf: (workspace) => workspace === "heavy" ? 3 : 1,
  });
  startMany(shares, flowOf("light"), { count: 100 });
  startMany(shares, flowOf("heavy"), { count: 300 });
  assert.equal(shares.share(flowOf("light"), 0), SHARE_UNITS / 4);
  assert.equal(shares.share(flowOf("heavy"), 0), SHARE_UNITS / 4);
  assert.equal(shares.share(flowOf("light", 1), 0), 0);
});

// Guards against a credit for idleness: after a quiet hour, a workspace would take
// everything from the others until it has caught up.
test("a workspace that was idle is ahead for a few half-lives at most", () => {
  const shares = new WorkspaceShares({ log: SILENT_LOG });
  startMany(shares, flowOf("busy"), { count: 1_000 });
  startMany(shares, flowOf("idle"), { count: 1_000 });
  const hour = 3_600_000;
  startMany(shares, flowOf("busy"), { count: 400, now: hour });
  startMany(shares, flowOf("idle"), { count: 200, now: hour + 2_000 });
  const at = hour + 2_000;
  assert.equal(shares.share(flowOf("idle"), at), HALF);
  assert.equal(shares.share(flowOf("busy"), at), HALF);
});

test("shares that differ by less than a typical request are equal", () => {
  const shares = new WorkspaceShares({ log: SILENT_LOG });
  for (const workspace of ["one", "other", "third", "third"]) {
    startMany(shares, flowOf(workspace), { count: 512 });
    shares.recordStart(flowOf(workspace), 5, 0);
  }
  shares.recordStart(flowOf("third"), 30, 0);
  shares.recordStart(flowOf("other"), 4, 0);
  const one = shares.share(flowOf("one"), 0);
  assert.equal(shares.share(flowOf("other"), 0), one);
  assert.ok(shares.share(flowOf("one"), 0, 2) > one);
});

test("a settled charge counts as if its cost had been known at the start", () => {
  const shares = new WorkspaceShares({ log: SILENT_LOG });
  const cheap = [], dear = [];
  for (let index = 0; index < 200; index += 1) {
    cheap.push(shares.recordStart(flowOf("cheap"), 30, 0));
    dear.push(shares.recordStart(flowOf("dear"), 10, 0));
  }
  for (const charge of cheap) shares.settle(charge, 10);
  for (const charge of dear) shares.settle(charge, 30);
  assert.equal(shares.share(flowOf("cheap"), 3_000), SHARE_UNITS / 4);
  const refused = shares.recordStart(flowOf("cheap"), 1_000, 3_000);
  shares.settle(refused, 0);
  assert.equal(shares.share(flowOf("cheap"), 3_000), SHARE_UNITS / 4);
});

// Guards against refunds that other daemons don't learn of: a workspace that is
// refused often, or whose estimates are high, would seem to have had more.
test("refunds lower the sums that neighbours get of later requests", () => {
  const near = new WorkspaceShares({ log: SILENT_LOG });
  const far = new WorkspaceShares({ log: SILENT_LOG });
  const flow = flowOf("a");
  const send = () => far.applyUpdates("near", near.sums([flow], () => true), 0);
  near.recordStart(flow, 100, 0);
  send();
  const before = far.costBefore("service", 1);
  for (let index = 0; index < 10; index += 1) {
    near.settle(near.recordStart(flow, 100, 0), index % 2 === 0 ? 0 : 40);
    send();
  }
  const added = far.costBefore("service", 1) - before;
  assert.ok(added >= 5 * 40 && added <= 5 * 40 + 100, `${added}`);
});

/** The sum of one workspace, as a neighbour reports it. */
function sumOf(cost: unknown, fields: Partial<CostSum> = {}): CostSum {
  return { ...flowOf("a"), cost: cost as number, ...fields };
}

// Guards against sums that jump when daemons join, leave or restart: a workspace
// would be charged for hours, or get a credit.
test("only increases since a neighbour's first report count", () => {
  const shares = new WorkspaceShares({ log: SILENT_LOG });
  const report = (cost: number) =>
    shares.applyUpdates("b", [sumOf(cost)], 0)[0]?.cost ?? 0;
  assert.equal(report(1e8), 0);
  assert.equal(report(1e8 + 7), 7);
  assert.equal(report(20), 0);
  assert.equal(report(25), 5);
  shares.removeNeighbour("b");
  assert.equal(report(1_000), 0);
  assert.equal(report(1_001), 1);
  assert.equal(shares.costBefore("service", 1), 13);
  assert.equal(shares.share(flowOf("a"), 0), SHARE_UNITS);
});

test("invalid sums are left out with one log line, and the others count", () => {
  const events: string[] = [];
  const shares = new WorkspaceShares({
    log: { event: (name) => void events.push(name), decision() {} },
  });
  const sums = [
    sumOf(1),
    sumOf(NaN, { workspace: "b" }),
    sumOf(-1, { workspace: "c" }),
    sumOf("5", { workspace: "d" }),
    sumOf(5, { rank: 0.5 }),
    sumOf(5, { service: undefined as unknown as string }),
    sumOf(5, { workspace: "x".repeat(1_000) }),
  ];
  shares.applyUpdates("n", sums, 0);
  shares.applyUpdates("n", [...sums.slice(1), sumOf(4)], 1);
  shares.applyUpdates("n", [sumOf(1e15)], 2);
  assert.equal(shares.costBefore("service", 1), 3);
  assert.deepEqual(shares.observed(2).map(({ workspace }) => workspace), ["a"]);
  assert.equal(shares.readShare("n", -3, 3), undefined);
  assert.equal(shares.readShare("n", 8, 3), 8);
  assert.deepEqual(events, ["shares_invalid"]);
});

test("shares are kept of the greatest workspaces, and not of idle ones", () => {
  const shares = new WorkspaceShares({ log: SILENT_LOG });
  startMany(shares, flowOf("large"), { count: 50 });
  for (let index = 0; index < 2_000; index += 1) {
    shares.recordStart(flowOf(`w-${index}`), 10, index);
  }
  const observed = shares.observed(2_000);
  assert.equal(observed.length, 310);
  assert.ok(observed.some(({ workspace }) => workspace === "large"));
  const total = observed.reduce((sum, { share }) => sum + share, 0);
  assert.ok(total > 0.99 && total < 1.01);
  const idle = flowOf("w-1999");
  shares.recordStart(flowOf("large"), 10, 100_000);
  assert.deepEqual(shares.sums([idle], () => true), []);
  assert.equal(shares.share(flowOf("large"), 100_000) > 0, true);
});
