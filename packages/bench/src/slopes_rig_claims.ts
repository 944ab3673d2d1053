/**
 * Slopes of a partition owner: in claims a second, and in claims kept.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type {
  ClaimsCommand,
  ClaimsCounts,
  ClaimsInfo,
} from "./slopes_part_claims.ts";
import {
  callAll,
  type RigProcess,
  sampleLoads,
  withProcesses,
} from "./slopes_process.ts";
import { withPlatform } from "./slopes_platform.ts";
import type { Sample } from "./slopes_result.ts";
import {
  type Measured,
  measured,
  type Rig,
  type RigOptions,
} from "./slopes_rig.ts";

const CLAIM_RATES = [0, 10, 20, 44, 80];
const KEPT_COUNTS = [0, 2_000, 4_000, 8_000];
const MEMBERS = 4;
/** One of sixteen partitions with its part of the writes. */
const PARTITIONS = 1;
const WRITES_PER_SECOND = 7;
const SETTLE_MS = 4_000;

type ClaimsProcess = RigProcess<ClaimsCommand>;

interface Fleet {
  readonly owner: ClaimsProcess;
  readonly others: readonly ClaimsProcess[];
}

/** The owner is the one that writes when another claims. */
async function findOwner(processes: readonly ClaimsProcess[]): Promise<Fleet> {
  const before = await Promise.all(processes.map((each) => each.read()));
  await callAll(processes, { type: "make", claims: 20 });
  const after = await Promise.all(processes.map((each) => each.read()));
  const calls = after.map((reading, i) =>
    reading.storeCalls - (before[i]?.storeCalls ?? 0)
  );
  const owner = processes[calls.indexOf(Math.max(...calls))];
  if (owner === undefined) throw new Error("Cannot find the owner");
  return { owner, others: processes.filter((each) => each !== owner) };
}

async function checkClaims(processes: readonly ClaimsProcess[]): Promise<void> {
  for (const process of processes) {
    const counts = await process.call({ type: "counts" }) as ClaimsCounts;
    if (counts.failed <= counts.claimed / 100) continue;
    throw new Error(`Cannot measure: ${counts.failed} claims failed`);
  }
}

async function rateSamples(
  fleet: Fleet,
  options: RigOptions,
): Promise<readonly Sample[]> {
  const { owner, others } = fleet;
  const samples = await sampleLoads(owner, {
    loads: CLAIM_RATES,
    settleMs: SETTLE_MS,
    seconds: options.seconds,
    setLoad: (rate) =>
      callAll(others, { type: "load", claimsPerSecond: rate / others.length }),
  });
  await callAll(others, { type: "load", claimsPerSecond: 0 });
  await pause(SETTLE_MS);
  return samples;
}

/** Claims stay for the window, so that only what is kept grows. */
async function keptSamples(
  fleet: Fleet,
  options: RigOptions,
): Promise<readonly Sample[]> {
  const { owner, others } = fleet;
  let kept = 0;
  return await sampleLoads(owner, {
    loads: KEPT_COUNTS,
    settleMs: SETTLE_MS,
    seconds: options.seconds,
    setLoad: async (count) => {
      const claims = Math.round((count - kept) / others.length);
      await callAll(others, { type: "make", claims });
      kept = count;
    },
  });
}

function run(options: RigOptions): Promise<readonly Measured[]> {
  return withPlatform((storeUrl) =>
    withProcesses(async (start) => {
      const processes = await Promise.all(
        Array.from({ length: MEMBERS }, (_, i) =>
          start<ClaimsCommand>("claims", {
            name: `daemon-${i}`,
            storeUrl,
            partitions: PARTITIONS,
            writesPerSecond: WRITES_PER_SECOND,
          })),
      );
      const hosts = processes.map((each) => (each.info as ClaimsInfo).host);
      await callAll(processes, { type: "hosts", hosts });
      await pause(SETTLE_MS);
      const fleet = await findOwner(processes);
      const rates = await rateSamples(fleet, options);
      const kept = await keptSamples(fleet, options);
      await checkClaims(processes);
      return [
        measured("partitionOwner", rates, {
          run: options,
          // Writes are paced, so that their cost is there from the first few
          // claims a second on.
          withoutIdle: true,
          per: "claim/s",
          how: `The owner of one of sixteen partitions (${WRITES_PER_SECOND} ` +
            `writes/s); ${MEMBERS - 1} other daemons claim and settle.`,
        }),
        measured("claimKept", kept, {
          run: options,
          per: "claim kept",
          how: "The same owner after so many more claims, all within the " +
            "window.",
        }),
      ];
    })
  );
}

/** The partition owner's rig. */
export const CLAIMS_RIG: Rig = {
  name: "claims",
  roles: ["partitionOwner", "claimKept"],
  run,
};
