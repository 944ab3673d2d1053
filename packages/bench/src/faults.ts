/**
 * `bench faults`: the co-operative's traffic while faults strike, alone and in
 * pairs, judged only from both ends.
 *
 * @module
 */
import process from "node:process";
import { setTimeout as pause } from "node:timers/promises";
import {
  DEPLOYMENT_NAMES,
  fetchJson,
  type LedgerEntry,
  type OrderEntry,
  seededRandom,
  type Stack,
  startStack,
} from "@umbermast/testing";
import { arrivals } from "./arrivals.ts";
import { mixOf } from "./arrivals_mixes.ts";
import type { Experiment, Grid } from "./experiment.ts";
import { sendStories } from "./faults_callers.ts";
import { FaultyStack } from "./faults_effects.ts";
import { FAULT_KINDS, LEAD_S, schedule, type Slot } from "./faults_schedule.ts";
import {
  type FaultVerdict,
  faultVerdict,
  type RunnerRuns,
  type SlotStories,
} from "./faults_verdict.ts";

const MS_PER_SECOND = 1_000;

async function strikeAll(faulty: FaultyStack, slot: Slot): Promise<void> {
  await pause(LEAD_S * MS_PER_SECOND);
  await Promise.all(
    slot.faults.map((kind) => faulty.strike(kind, slot.holdS)),
  );
}

async function runSlot(
  stack: Stack,
  faulty: FaultyStack,
  options: {
    readonly slot: Slot;
    readonly seed: number;
    readonly mix: ReturnType<typeof mixOf>;
  },
): Promise<SlotStories> {
  const { slot, seed, mix } = options;
  const sent = arrivals(mix, {
    seed,
    phases: [{ name: slot.name, seconds: slot.seconds, factor: 1 }],
  });
  const [stories] = await Promise.all([
    sendStories(sent, {
      urls: () => faulty.daemons.map(({ url }) => url),
      keys: stack.keys,
      plainPath: "/cards",
      slotName: `${slot.name}-${seed}`,
    }),
    strikeAll(faulty, slot),
  ]);
  return { name: slot.name, stories };
}

async function runnerRuns(stack: Stack): Promise<readonly RunnerRuns[]> {
  return await Promise.all(stack.runners.map(async ({ url, service }) => {
    const { body } = await fetchJson(`${url}/ledger`);
    const orders = service === stack.deployment.modelService
      ? (await fetchJson(`${url}/orders-ledger`)).body
      : [];
    const fencing = (orders as readonly OrderEntry[])
      .filter(({ accepted }) => accepted)
      .map((order) => order.fencing);
    return { url, runs: body as readonly LedgerEntry[], fencing };
  }));
}

function deploymentOf(name: string) {
  const found = DEPLOYMENT_NAMES.find((known) => known === name);
  if (found !== undefined) return found;
  throw new RangeError(`Cannot find deployment "${name}"`);
}

/** Sends traffic through real processes while faults strike. */
export const experiment: Experiment = {
  name: "faults",
  summary: `Judge answers under ${FAULT_KINDS.length} faults, alone and paired`,
  options: [
    {
      name: "deployment",
      summary: "cooperative or metro",
      fallback: "cooperative",
    },
    { name: "seed", summary: "seed of faults and arrivals", fallback: 1 },
    {
      name: "seconds",
      summary: "length; what the faults alone leave goes to pairs",
      fallback: 300,
    },
    { name: "scale", summary: "factor on each fault's length", fallback: 1 },
    { name: "rate", summary: "requests a second", fallback: 20 },
    {
      name: "only",
      summary: "one slot alone, such as daemon-kill",
      fallback: "",
    },
  ],
  async run(settings) {
    const seed = settings.number("seed");
    const deployment = deploymentOf(settings.text("deployment"));
    const mix = mixOf(deployment, {
      requestsPerSecond: settings.number("rate"),
    });
    const only = settings.text("only");
    const slots = schedule({
      seed,
      seconds: settings.number("seconds"),
      scale: settings.number("scale"),
    }).filter(({ name }) => only === "" || name === only);
    const stack = await startStack({
      deployment,
      seed,
      daemons: 3,
      proxies: { runners: true, callers: true },
    });
    const startedAt = Date.now();
    try {
      const faulty = new FaultyStack(stack, seededRandom(`strikes/${seed}`));
      const done: SlotStories[] = [];
      for (const [at, slot] of slots.entries()) {
        process.stderr.write(`${slot.name}\n`);
        done.push(
          await runSlot(stack, faulty, { slot, mix, seed: seed * 1_000 + at }),
        );
      }
      const verdict = faultVerdict(done, {
        runners: await runnerRuns(stack),
        departures: faulty.departures,
        shutdowns: faulty.shutdowns,
        seconds: (Date.now() - startedAt) / MS_PER_SECOND,
      });
      return { result: verdict, grids: gridsOf(verdict) };
    } finally {
      await stack.close();
    }
  },
};

function gridsOf(verdict: FaultVerdict): readonly Grid[] {
  const { byFault, breaches, ...totals } = verdict;
  return [
    {
      columns: ["measure", "value"],
      rows: Object.entries(totals).map(([name, value]) => [
        name,
        String(value),
      ]),
    },
    {
      columns: ["fault", "requests", "complete", "share", "others"],
      rows: Object.entries(byFault).map(([name, slot]) => [
        name,
        String(slot.requests),
        String(slot.complete),
        String(slot.share),
        JSON.stringify(slot.others),
      ]),
    },
    {
      columns: ["violation", "request", "detail"],
      rows: breaches.map((each) => [
        each.violation,
        each.requestId,
        each.detail,
      ]),
    },
  ];
}
