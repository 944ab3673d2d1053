/**
 * Slopes of the daemons that watch the table and of those that get it from
 * them, in edits a second, and of any daemon in the table's rows.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { HttpStore, rendezvous } from "@umbermast/coordination";
import { TABLE_KIND, TABLE_NAME } from "@umbermast/table";
import * as Effect from "effect/Effect";
import type {
  PublishedCommand,
  PublishedInfo,
  PublishedMember,
} from "./slopes_part_published.ts";
import {
  callAll,
  type RigProcess,
  sampleProcess,
  type Start,
  untilCalm,
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
import { storedTableOf } from "./slopes_table.ts";

const ROWS = 1_860;
const EDIT_RATES = [0, 0.5, 1, 2];
const ROW_COUNTS = [60, 960, 3_000];
/** One failure domain of the planned size, and the watchers of the others. */
const DOMAIN_SIZE = 63;
const FOREIGN_WATCHERS = 10;
const FOREIGN_DOMAINS = 5;
const OWN_DOMAIN = "domain-0";
const MEMBERS_PER_PROCESS = 12;
/** Probes, and comparing with another member each second, with room. */
const COMPARING_MESSAGES = 14;
const SETTLE_MS = 6_000;
const MILLIS = 1_000;

/** Writes the table, without regard to who else does. */
class Editor {
  readonly #store: HttpStore;
  readonly #rows: number;
  #edits = 0;
  #version = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(storeUrl: string, rows: number) {
    this.#store = new HttpStore({ url: storeUrl });
    this.#rows = rows;
  }

  async edit(): Promise<void> {
    const value = storedTableOf(this.#rows, this.#edits++);
    const write = this.#store.write(
      { kind: TABLE_KIND, name: TABLE_NAME, value },
      { ifVersion: this.#version },
    );
    this.#version = await Effect.runPromise(write);
  }

  /** Edits so often from now on; 0 for never. */
  every(editsPerSecond: number): void {
    clearInterval(this.#timer);
    if (editsPerSecond === 0) return;
    this.#timer = setInterval(() => void this.edit(), MILLIS / editsPerSecond);
  }
}

/** Members of the measured domain in the order in which they become watchers. */
function inWatcherOrder(names: readonly string[]): readonly string[] {
  return rendezvous(`published/${TABLE_KIND}/${TABLE_NAME}`, names);
}

/** A watcher calls the store and a follower does not, or others were measured. */
function checkParts(
  watching: readonly Sample[],
  following: readonly Sample[],
): void {
  if (!watching.every(({ storeCalls }) => storeCalls > 0)) {
    throw new Error("Cannot measure: the watcher does not watch the store");
  }
  if (!following.every(({ storeCalls }) => storeCalls === 0)) {
    throw new Error("Cannot measure: the follower watches the store");
  }
}

function members(): readonly PublishedMember[] {
  const own = Array.from({ length: DOMAIN_SIZE }, (_, i) => `own-${i}`);
  const foreign = Array.from({ length: FOREIGN_WATCHERS }, (_, i) => ({
    name: `foreign-${i}`,
    failureDomain: `domain-${1 + i % FOREIGN_DOMAINS}`,
  }));
  const ordered = inWatcherOrder(own);
  return [
    ...ordered.map((name) => ({ name, failureDomain: OWN_DOMAIN })),
    ...foreign,
  ];
}

async function startMembers(
  start: Start,
  storeUrl: string,
): Promise<readonly RigProcess<PublishedCommand>[]> {
  const all = members();
  const watcher = all.slice(0, 1);
  const follower = all.slice(DOMAIN_SIZE - 1, DOMAIN_SIZE);
  const rest = all.filter((each) =>
    !watcher.includes(each) && !follower.includes(each)
  );
  const groups = [watcher, follower];
  for (let first = 0; first < rest.length; first += MEMBERS_PER_PROCESS) {
    groups.push(rest.slice(first, first + MEMBERS_PER_PROCESS));
  }
  const processes = await Promise.all(
    groups.map((group) =>
      start<PublishedCommand>("published", { members: group, storeUrl })
    ),
  );
  const hosts = processes.flatMap((each) => (each.info as PublishedInfo).hosts);
  await callAll(processes, { type: "hosts", hosts });
  await pause(SETTLE_MS);
  await callAll(processes, { type: "follow" });
  await pause(SETTLE_MS);
  return processes;
}

async function editSamples(options: RigOptions, storeUrl: string) {
  const editor = new Editor(storeUrl, ROWS);
  await editor.edit();
  return await withProcesses(async (start) => {
    const [watcher, follower] = await startMembers(start, storeUrl);
    if (watcher === undefined || follower === undefined) {
      throw new Error("Cannot measure without a watcher and a follower");
    }
    await untilCalm(watcher, COMPARING_MESSAGES);
    const watching: Sample[] = [];
    const following: Sample[] = [];
    for (const x of EDIT_RATES) {
      editor.every(x);
      await pause(SETTLE_MS);
      // Few edits a second: twice the time sees enough of them.
      const sample = { x, seconds: 2 * options.seconds };
      const [one, other] = await Promise.all([
        sampleProcess(watcher, sample),
        sampleProcess(follower, sample),
      ]);
      watching.push(one);
      following.push(other);
    }
    editor.every(0);
    checkParts(watching, following);
    return { watching, following };
  });
}

async function rowSamples(options: RigOptions): Promise<readonly Sample[]> {
  const samples: Sample[] = [];
  for (const rows of ROW_COUNTS) {
    await withPlatform(async (storeUrl) => {
      await new Editor(storeUrl, rows).edit();
      await withProcesses(async (start) => {
        const lone = await start<PublishedCommand>("published", {
          members: [{ name: "lone", failureDomain: OWN_DOMAIN }],
          storeUrl,
        });
        await lone.call({
          type: "hosts",
          hosts: (lone.info as PublishedInfo).hosts,
        });
        await lone.call({ type: "follow" });
        await pause(SETTLE_MS);
        const { seconds } = options;
        samples.push(await sampleProcess(lone, { x: rows, seconds }));
      });
    });
  }
  return samples;
}

function run(options: RigOptions): Promise<readonly Measured[]> {
  return withPlatform(async (storeUrl) => {
    const { watching, following } = await editSamples(options, storeUrl);
    const rows = await rowSamples(options);
    const fleet = `${DOMAIN_SIZE} daemons of a failure domain and the ` +
      `${FOREIGN_WATCHERS} watchers of five others, ${ROWS} rows`;
    return [
      measured("watcher", watching, {
        run: options,
        per: "edit/s",
        how: `One of the two watchers among ${fleet}.`,
      }),
      measured("follower", following, {
        run: options,
        per: "edit/s",
        how: `A daemon that does not watch, among ${fleet}.`,
      }),
      measured("watcherRow", rows, {
        run: options,
        per: "row",
        how: "A lone daemon that has so many rows in force.",
      }),
    ];
  });
}

/** The watcher's rig. */
export const PUBLISHED_RIG: Rig = {
  name: "published",
  roles: ["watcher", "follower", "watcherRow"],
  run,
};
