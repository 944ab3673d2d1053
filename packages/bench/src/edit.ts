/**
 * The experiment "edit": two operators edit the table while things fail, and
 * every daemon is watched for what it has in force.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { HttpOperators } from "@umbermast/cli";
import { HttpStore } from "@umbermast/coordination";
import { readHistory, readTable } from "@umbermast/table";
import type { VersionedTable } from "@umbermast/table";
import {
  FaultProxy,
  fetchJson,
  seededRandom,
  type Stack,
  startStack,
} from "@umbermast/testing";
import * as Effect from "effect/Effect";
import { judgeEdits } from "./edit_judge.ts";
import type { EditResult } from "./edit_judge.ts";
import { workAsOperator } from "./edit_operator.ts";
import type { EditRecord, EditRun } from "./edit_record.ts";
import { SCENARIOS } from "./edit_scenarios.ts";
import type { Scenario, Scene } from "./edit_scenarios.ts";
import { VersionWatch } from "./edit_watch.ts";
import type { Experiment, Findings, Settings } from "./experiment.ts";

const OPERATORS = ["ana", "bo"];
const THINK_MS = 120;
/** One answer to an operator is lost at random intervals of up to this. */
const LOSE_REPLY_EVERY_MS = 2_000;
const SETTLE_LIMIT_MS = 30_000;
const SETTLE_CHECK_MS = 50;

/** Runs scenarios of faults under edits and judges each, then all as one. */
export const experiment: Experiment = {
  name: "edit",
  summary: "edits of the table by two operators, and when they are in force",
  options: [
    { name: "daemons", summary: "daemons to start", fallback: 9 },
    { name: "edits", summary: "edits in each scenario", fallback: 200 },
    {
      name: "withoutOffers",
      summary: "daemons learn of edits from the store and peers alone",
      fallback: false,
    },
    { name: "seed", summary: "seed of the operators' choices", fallback: 1 },
    {
      name: "scenarios",
      summary: `names with commas between; of ${
        Object.keys(SCENARIOS).join(", ")
      }`,
      fallback: Object.keys(SCENARIOS).join(","),
    },
  ],
  run,
};

async function run(settings: Settings): Promise<Findings> {
  const runs = new Map<string, EditRun>();
  for (const name of settings.text("scenarios").split(",")) {
    const scenario = SCENARIOS[name];
    if (scenario === undefined) {
      throw new RangeError(`Cannot run scenario "${name}": it does not exist`);
    }
    runs.set(name, await runScenario(scenario, settings));
  }
  const byScenario = Object.fromEntries(
    [...runs].map(([name, each]) => [name, judgeEdits([each])]),
  );
  const total = judgeEdits([...runs.values()]);
  return {
    result: { ...total, daemons: settings.number("daemons"), byScenario },
    grids: [gridOf({ ...byScenario, all: total })],
  };
}

async function runScenario(
  scenario: Scenario,
  settings: Settings,
): Promise<EditRun> {
  const stack = await startStack({
    daemons: settings.number("daemons"),
    runners: 1,
    plainRunners: 0,
    seed: settings.number("seed"),
    proxies: { platform: true },
  });
  try {
    return await editUnder(stack, scenario, settings);
  } finally {
    await stack.close();
  }
}

async function editUnder(
  stack: Stack,
  scenario: Scenario,
  settings: Settings,
): Promise<EditRun> {
  const watch = new VersionWatch(stack.operatorToken);
  for (const { name, operatorUrl } of stack.daemons) {
    watch.add(name, operatorUrl);
  }
  const done = new AbortController();
  const scene: Scene = {
    stack,
    daemons: new Map(stack.daemons.map((daemon) => [daemon.name, daemon])),
    watch,
    done: done.signal,
  };
  const startedAt = performance.now();
  const readsBefore = await platformReads(stack);
  const trouble = scenario(scene);
  const { edits, storeCalls } = await editAll(scene, settings);
  done.abort();
  await trouble;
  const last = await settle(scene);
  const readsAfter = await platformReads(stack);
  const durationMs = performance.now() - startedAt;
  await watch.stop();
  return {
    edits,
    sightings: watch.sightings,
    absences: watch.absences,
    daemons: stack.daemons.map(({ name }) => name),
    history: last.history,
    storeReads: readsAfter - readsBefore - storeCalls - last.storeCalls,
    durationMs,
  };
}

/** Lets both operators edit at once; their path to the platform loses replies. */
async function editAll(
  { stack, watch, done }: Scene,
  settings: Settings,
): Promise<{
  readonly edits: readonly EditRecord[];
  readonly storeCalls: number;
}> {
  const seed = settings.number("seed");
  const { hostname, port } = new URL(stack.platform.url);
  const proxy = await FaultProxy.start({
    address: hostname,
    port: Number(port),
  });
  const random = seededRandom(`edit-${seed}`);
  const losing = setInterval(() => {
    if (random() < 0.5) proxy.order({ fault: "lose-reply" });
  }, LOSE_REPLY_EVERY_MS / 2);
  const stores = OPERATORS.map(() => new HttpStore({ url: proxy.url }));
  const work = OPERATORS.map((name, at) =>
    workAsOperator({
      name,
      store: stores[at] as HttpStore,
      operators: new HttpOperators(stack.operatorToken),
      urls: () => watch.urls(),
      offers: !settings.flag("withoutOffers"),
      random: seededRandom(`edit-${seed}-${name}`),
      edits: Math.ceil(settings.number("edits") / OPERATORS.length),
      thinkMs: THINK_MS,
    })
  );
  const told = await Effect.runPromise(
    Effect.all(work, { concurrency: "unbounded" }),
  );
  clearInterval(losing);
  const storeCalls = stores.reduce(
    (sum, { counters }) => sum + counters.reads,
    0,
  );
  for (const store of stores) store.close();
  await proxy.close();
  if (done.aborted) throw new Error("Cannot edit: the scene is over");
  return { edits: told.flat(), storeCalls };
}

/** Waits until every daemon has the last version, for a bounded time. */
async function settle(
  { stack, watch }: Scene,
): Promise<{
  readonly history: readonly string[];
  readonly storeCalls: number;
}> {
  const store = new HttpStore({ url: stack.platform.url });
  const giveUpAt = performance.now() + SETTLE_LIMIT_MS;
  let read: VersionedTable | undefined;
  while (read === undefined || !watch.allAt(read.version)) {
    if (read !== undefined && performance.now() > giveUpAt) break;
    await pause(SETTLE_CHECK_MS);
    read = await Effect.runPromise(
      Effect.orElseSucceed(readTable(store), () => undefined),
    );
  }
  const entries = await Effect.runPromise(
    readHistory(store, read.stored, { after: 0 }),
  );
  store.close();
  return {
    history: entries.map(({ editId }) => editId),
    storeCalls: store.counters.reads,
  };
}

async function platformReads(stack: Stack): Promise<number> {
  const { body } = await fetchJson(`${stack.platform.url}/calls`);
  const { reads, lists, watches } = body as Readonly<Record<string, number>>;
  return (reads ?? 0) + (lists ?? 0) + (watches ?? 0);
}

function gridOf(results: Readonly<Record<string, EditResult>>) {
  const columns = [
    "scenario",
    "edits",
    "accepted",
    "conflicts",
    "p50 ms",
    "p99 ms",
    "max ms",
    "never",
    "reverts",
    "lost",
    "twice",
    "reads/s",
  ];
  const rows = Object.entries(results).map(([name, each]) =>
    [
      name,
      each.edits,
      each.accepted,
      each.conflicts,
      each.inForceMs.p50,
      each.inForceMs.p99,
      each.inForceMs.max,
      each.neverInForce,
      each.reverts,
      each.lost,
      each.appliedTwice,
      each.storeReadsPerSecond,
    ].map(String)
  );
  return { columns, rows };
}
