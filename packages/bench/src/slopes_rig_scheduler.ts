/**
 * Slopes of entry and broker: in asks, in each other's number, in grants held
 * and in runners.
 *
 * @module
 */
import { rendezvous } from "@umbermast/coordination";
import {
  callAll,
  PROBE_MESSAGES,
  sampleLoads,
  sampleProcess,
  untilCalm,
  withProcesses,
} from "./slopes_process.ts";
import type { Sample } from "./slopes_result.ts";
import {
  type Measured,
  measured,
  type Rig,
  type RigOptions,
} from "./slopes_rig.ts";
import {
  checkGrants,
  findBroker,
  type SchedulerProcess,
  startRunners,
  startSchedulers,
} from "./slopes_scheduler_fleet.ts";

const ENTRIES = 4;
const ASK_RATES = [0, 20, 40, 100, 200];
const ENTRY_RATES = [0, 10, 20, 40, 80];
const RUNNER_COUNTS = [16, 64, 128, 256];
const GRANT_COUNTS = [0, 500, 1_000, 2_000, 4_000];
const PAIR_COUNTS = [0, 10, 20, 40];
const SLOTS_OF_PAIR = 5;
const RUNNERS = 16;
const HOLD_MS = 500;
const SETTLE_MS = 3_000;

/**
 * Names of lone members, then of a crowd that shares a process, none of which
 * hashing would name as broker of the first service.
 */
function groups(lone: number, crowd: number): readonly (readonly string[])[] {
  const alone = Array.from({ length: lone }, (_, i) => `daemon-${i}`);
  const others: string[] = [];
  for (let i = 0; others.length < crowd; i++) {
    const name = `crowd-${i}`;
    const [broker] = rendezvous("service-0", [...alone, name]);
    if (broker !== name) others.push(name);
  }
  const apart = alone.map((name) => [name]);
  return crowd === 0 ? apart : [...apart, others];
}

/** The broker is measured; the asks come from the other daemons. */
async function brokerSamples(
  fleet: Awaited<ReturnType<typeof findBroker>>,
  options: RigOptions,
): Promise<readonly Sample[]> {
  const { broker, entries } = fleet;
  const load = (rate: number) =>
    callAll(entries, {
      type: "load",
      asksPerSecond: rate / entries.length,
      holdMs: HOLD_MS,
    });
  const samples = await sampleLoads(broker, {
    loads: ASK_RATES,
    settleMs: SETTLE_MS,
    seconds: options.seconds,
    setLoad: load,
  });
  await load(0);
  return samples;
}

/** One daemon that does not broker is measured, and asks alone. */
async function entrySamples(
  entry: SchedulerProcess,
  options: RigOptions,
): Promise<readonly Sample[]> {
  const load = (asksPerSecond: number) =>
    entry.call({ type: "load", asksPerSecond, holdMs: HOLD_MS });
  const samples = await sampleLoads(entry, {
    loads: ENTRY_RATES,
    settleMs: SETTLE_MS,
    seconds: options.seconds,
    setLoad: load,
  });
  await load(0);
  return samples;
}

/** Grants are kept, so that only what is held grows. */
async function grantSamples(
  fleet: Awaited<ReturnType<typeof findBroker>>,
  options: RigOptions,
): Promise<readonly Sample[]> {
  const { broker, entries } = fleet;
  let held = 0;
  return await sampleLoads(broker, {
    loads: GRANT_COUNTS,
    settleMs: SETTLE_MS,
    seconds: options.seconds,
    setLoad: async (count) => {
      const slots = Math.round((count - held) / entries.length);
      await callAll(entries, { type: "hold", slots, services: 1 });
      held = count;
    },
  });
}

async function askSamples(options: RigOptions) {
  return await withProcesses(async (start) => {
    const ports = await startRunners(start, RUNNERS);
    const all = await startSchedulers(start, {
      groups: groups(ENTRIES + 1, 0),
      ports,
      services: 1,
    });
    const fleet = await findBroker(all);
    const broker = await brokerSamples(fleet, options);
    const [first] = fleet.entries;
    if (first === undefined) throw new Error("Cannot measure without an entry");
    const entry = await entrySamples(first, options);
    const grants = await grantSamples(fleet, options);
    await checkGrants(all);
    return { broker, entry, grants };
  });
}

/** A lone daemon brokers for itself and watches more and more runners. */
async function runnerSamples(options: RigOptions): Promise<readonly Sample[]> {
  const { seconds } = options;
  return await withProcesses(async (start) => {
    const ports = await startRunners(start, Math.max(...RUNNER_COUNTS));
    const [daemon] = await startSchedulers(start, {
      groups: groups(1, 0),
      ports: ports.slice(0, 1),
      services: 1,
    });
    if (daemon === undefined) throw new Error("Cannot start a daemon");
    const idle = await sampleProcess(daemon, { x: 0, seconds });
    await daemon.call({ type: "hold", slots: 1, services: 1 });
    const samples = await sampleLoads(daemon, {
      loads: RUNNER_COUNTS,
      settleMs: SETTLE_MS,
      seconds,
      setLoad: (count) =>
        daemon.call({ type: "runners", ports: ports.slice(0, count) }),
    });
    return [idle, ...samples];
  });
}

/** More and more entries hold a few slots each at one broker. */
async function brokerEntrySamples(
  options: RigOptions,
): Promise<readonly Sample[]> {
  return await withProcesses(async (start) => {
    const ports = await startRunners(start, 1);
    const most = Math.max(...PAIR_COUNTS);
    const all = await startSchedulers(start, {
      groups: groups(ENTRIES + 1, most),
      ports,
      services: 1,
    });
    const crowd = all.at(-1);
    if (crowd === undefined) throw new Error("Cannot start a crowd");
    const { broker } = await findBroker(all.slice(0, -1));
    await untilCalm(broker, PROBE_MESSAGES);
    const slots = SLOTS_OF_PAIR;
    return await sampleLoads(broker, {
      loads: PAIR_COUNTS,
      settleMs: SETTLE_MS,
      seconds: options.seconds,
      setLoad: (members) =>
        crowd.call({ type: "hold", slots, services: 1, members }),
    });
  });
}

/** One entry holds a few slots at more and more services' brokers. */
async function entryBrokerSamples(
  options: RigOptions,
): Promise<readonly Sample[]> {
  return await withProcesses(async (start) => {
    const ports = await startRunners(start, 1);
    const most = Math.max(...PAIR_COUNTS);
    const [entry] = await startSchedulers(start, {
      groups: groups(1, 2 * most),
      ports,
      services: most,
    });
    if (entry === undefined) throw new Error("Cannot start an entry");
    await untilCalm(entry, PROBE_MESSAGES);
    return await sampleLoads(entry, {
      loads: PAIR_COUNTS,
      settleMs: SETTLE_MS,
      seconds: options.seconds,
      setLoad: (services) =>
        entry.call({ type: "hold", slots: SLOTS_OF_PAIR, services }),
    });
  });
}

async function run(options: RigOptions): Promise<readonly Measured[]> {
  const { broker, entry, grants } = await askSamples(options);
  const runners = await runnerSamples(options);
  const brokerEntries = await brokerEntrySamples(options);
  const entryBrokers = await entryBrokerSamples(options);
  return [
    measured("entry", entry, {
      run: options,
      per: "request/s",
      how: "A daemon's scheduler asks another daemon for slots and releases " +
        `each after ${HOLD_MS} ms; the callers' and runners' HTTP is not ` +
        "part of it.",
    }),
    measured("entryBroker", entryBrokers, {
      run: options,
      per: "broker used",
      how: `A daemon holds ${SLOTS_OF_PAIR} slots at each of so many ` +
        "services, brokered by others.",
    }),
    measured("broker", broker, {
      run: options,
      per: "ask/s",
      how: `The daemon that brokers for ${ENTRIES} others, ${RUNNERS} ` +
        "runners; ask, grant, release.",
    }),
    measured("brokerEntry", brokerEntries, {
      run: options,
      per: "entry",
      how: `The broker while so many entries hold ${SLOTS_OF_PAIR} slots each.`,
    }),
    measured("brokerGrant", grants, {
      run: options,
      per: "grant held",
      how: `The broker while ${ENTRIES} others hold so many slots.`,
    }),
    measured("brokerRunner", runners, {
      run: options,
      per: "runner watched",
      how: "A daemon that brokers and asks so many runners for their load.",
    }),
  ];
}

/** The scheduler's rig. */
export const SCHEDULER_RIG: Rig = {
  name: "scheduler",
  roles: [
    "entry",
    "entryBroker",
    "broker",
    "brokerEntry",
    "brokerGrant",
    "brokerRunner",
  ],
  run,
};
