/**
 * Slopes of a limit's owner, and of a daemon that holds parts of limits, in the
 * parts that are owned or held.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { rendezvous } from "@umbermast/coordination";
import type { SharesCommand, SharesInfo } from "./slopes_part_shares.ts";
import { callAll, sampleProcess, withProcesses } from "./slopes_process.ts";
import type { Sample } from "./slopes_result.ts";
import {
  type Measured,
  measured,
  type Rig,
  type RigOptions,
} from "./slopes_rig.ts";

const HOLDERS = 4;
/** Limits that each holder has a part of. */
const LIMIT_COUNTS = [0, 10, 25, 50, 100];
const OWNER = "owner";
const SETTLE_MS = 5_000;

/** Limits that hashing gives to the measured owner. */
function limitsOwned(
  names: readonly string[],
  count: number,
): readonly string[] {
  const found: string[] = [];
  for (let i = 0; found.length < count; i++) {
    const limit = `workspace-${i}/class-${i % 6}/tokens`;
    if (rendezvous(`shares/${limit}`, names)[0] === OWNER) found.push(limit);
  }
  return found;
}

async function run(options: RigOptions): Promise<readonly Measured[]> {
  const { seconds } = options;
  const owning: Sample[] = [];
  const holding: Sample[] = [];
  await withProcesses(async (start) => {
    const owner = await start<SharesCommand>("shares", { name: OWNER });
    const holders = await Promise.all(
      Array.from(
        { length: HOLDERS },
        (_, i) => start<SharesCommand>("shares", { name: `holder-${i}` }),
      ),
    );
    const all = [owner, ...holders];
    const hosts = all.map((each) => (each.info as SharesInfo).host);
    await callAll(all, { type: "hosts", hosts });
    const names = hosts.map((host) => host.name);
    const most = limitsOwned(names, Math.max(...LIMIT_COUNTS));
    const [holder] = holders;
    if (holder === undefined) throw new Error("Cannot measure no holder");
    for (const count of LIMIT_COUNTS) {
      const limits = most.slice(0, count);
      await callAll(holders, { type: "hold", limits, holders: HOLDERS });
      await pause(SETTLE_MS);
      const [one, other] = await Promise.all([
        sampleProcess(owner, { x: count * HOLDERS, seconds }),
        sampleProcess(holder, { x: count, seconds }),
      ]);
      owning.push(one);
      holding.push(other);
    }
  });
  return [
    measured("shareOwner", owning, {
      run: options,
      per: "part owned",
      how:
        `The owner of limits of which ${HOLDERS} daemons hold a part each; ` +
        "a report for each part twice a second.",
    }),
    measured("shareHolder", holding, {
      run: options,
      per: "part held",
      how: "One of the daemons that hold a part of each limit.",
    }),
  ];
}

/** The share owner's rig. */
export const SHARES_RIG: Rig = {
  name: "shares",
  roles: ["shareOwner", "shareHolder"],
  run,
};
