/**
 * Slopes of a member: in the members of the view, and in the links in use.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { Host } from "@umbermast/coordination";
import type { MembersCommand, MembersInfo } from "./slopes_part_members.ts";
import {
  callAll,
  PROBE_MESSAGES,
  type RigProcess,
  sampleLoads,
  sampleProcess,
  type Start,
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

const VIEW_SIZES = [20, 80, 200, 380];
const LINK_COUNTS = [0, 20, 60, 120, 180];
/** Members that share a process when they are not measured themselves. */
const MEMBERS_PER_PROCESS = 10;
const USE_SETTLE_MS = 6_000;
const USE_EVERY_MS = 4_000;
const POLL_MS = 250;
const SETTLE_LIMIT_MS = 60_000;

type MembersProcess = RigProcess<MembersCommand>;

interface Fleet {
  readonly measured: MembersProcess;
  readonly others: readonly MembersProcess[];
  readonly names: readonly string[];
}

function hostsOf(process: RigProcess): readonly Host[] {
  return (process.info as MembersInfo).hosts;
}

/** Starts `count` members: one in a process of its own, the others packed. */
async function startFleet(start: Start, count: number): Promise<Fleet> {
  const own = await start<MembersCommand>("members", { names: ["member-0"] });
  const starts: Promise<MembersProcess>[] = [];
  for (let first = 1; first < count; first += MEMBERS_PER_PROCESS) {
    const size = Math.min(MEMBERS_PER_PROCESS, count - first);
    const names = Array.from({ length: size }, (_, i) => `member-${first + i}`);
    starts.push(start<MembersCommand>("members", { names }));
  }
  const others = await Promise.all(starts);
  const all = [own, ...others];
  const hosts = all.flatMap(hostsOf);
  await callAll(all, { type: "hosts", hosts });
  await settled(all, count);
  await untilCalm(own, PROBE_MESSAGES);
  const names = others.flatMap(hostsOf).map((host) => host.name);
  return { measured: own, others, names };
}

/** Waits until every member sees all of them alive. */
async function settled(
  processes: readonly MembersProcess[],
  count: number,
): Promise<void> {
  const until = performance.now() + SETTLE_LIMIT_MS;
  while (true) {
    const counts = await callAll(processes, {
      type: "alive",
    }) as readonly (readonly number[])[];
    if (counts.flat().every((alive) => alive === count)) break;
    if (performance.now() > until) {
      throw new Error(`Cannot measure: not all of ${count} members are seen`);
    }
    await pause(POLL_MS);
  }
}

async function viewSamples(options: RigOptions): Promise<{
  readonly samples: readonly Sample[];
  readonly rssBytes: number;
}> {
  const samples: Sample[] = [];
  let rssBytes = 0;
  for (const count of VIEW_SIZES) {
    await withProcesses(async (start) => {
      const fleet = await startFleet(start, count);
      samples.push(
        await sampleProcess(fleet.measured, {
          x: count,
          seconds: options.seconds,
        }),
      );
      rssBytes = (await fleet.measured.read()).rssBytes;
    });
  }
  return { samples, rssBytes };
}

async function linkSamples(options: RigOptions): Promise<readonly Sample[]> {
  return await withProcesses(async (start) => {
    const most = Math.max(...LINK_COUNTS);
    const fleet = await startFleet(start, most + 1);
    return await sampleLoads(fleet.measured, {
      loads: LINK_COUNTS,
      settleMs: USE_SETTLE_MS,
      seconds: options.seconds,
      setLoad: (count) => {
        const names = fleet.names.slice(0, count);
        const everyMs = USE_EVERY_MS;
        return fleet.measured.call({ type: "use", names, everyMs });
      },
    });
  });
}

/** The member's rig. */
export const MEMBER_RIG: Rig = {
  name: "member",
  roles: ["member", "link"],
  async run(options): Promise<readonly Measured[]> {
    const { samples, rssBytes } = await viewSamples(options);
    const links = await linkSamples(options);
    return [
      {
        ...measured("member", samples, {
          run: options,
          per: "member in the view",
          how: "One member in a process of its own, the others ten to a " +
            "process, all started by `startNode`; after every view is whole and " +
            "the news of the joins has gone round, or after two minutes.",
        }),
        rssBytes,
      },
      measured("link", links, {
        run: options,
        // The first links start timers that further ones share.
        withoutIdle: true,
        per: "link in use",
        how: "The same; one member sends a small message to each of so many " +
          `others every ${USE_EVERY_MS / 1_000} s.`,
      }),
    ];
  },
};
