/**
 * What goes wrong while the table is edited.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { Stack, StackDaemon } from "@umbermast/testing";
import type { VersionWatch } from "./edit_watch.ts";

/** A deployment under edits. */
export interface Scene {
  readonly stack: Stack;
  /** Daemons that run now, by name. */
  readonly daemons: Map<string, StackDaemon>;
  readonly watch: VersionWatch;
  /** Aborted when all edits have been made. */
  readonly done: AbortSignal;
}

/** A scenario: makes trouble until the edits are done. */
export type Scenario = (scene: Scene) => Promise<void>;

const CALM_MS = 1_500;
const OUTAGE_SECONDS = 3;
const CUT_SECONDS = 4;

/** The scenarios by name. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  calm: () => Promise.resolve(),
  outage: whileEditing(async ({ stack }) => {
    const fault = { fault: "down", part: "objects", seconds: OUTAGE_SECONDS };
    await stack.control(stack.platform.url, fault);
    await pause(OUTAGE_SECONDS * 1_000);
  }),
  cut: whileEditing(async ({ daemons }, round) => {
    const cut = [...daemons.values()].filter((_, at) => at % 3 === round % 3);
    for (const { platformProxy } of cut) {
      platformProxy?.order({ fault: "cut", seconds: CUT_SECONDS });
    }
    await pause(CUT_SECONDS * 1_000);
  }),
  silent: whileEditing(async ({ daemons }) => {
    for (const { platformProxy } of daemons.values()) {
      platformProxy?.order({ fault: "silent" });
    }
    await pause(CALM_MS);
  }),
  restart: whileEditing(async (scene, round) => {
    const names = [...scene.daemons.keys()];
    const name = names[round % names.length];
    if (name !== undefined) await restart(scene, name);
  }),
};

/** Repeats a fault with calm times between, until the edits are done. */
function whileEditing(
  fault: (scene: Scene, round: number) => Promise<void>,
): Scenario {
  return async (scene) => {
    for (let round = 0; !scene.done.aborted; round += 1) {
      await pause(CALM_MS);
      if (scene.done.aborted) return;
      await fault(scene, round);
    }
  };
}

/** Kills a daemon and starts another one under its name. */
async function restart(scene: Scene, name: string): Promise<void> {
  const { daemons, stack, watch } = scene;
  const daemon = daemons.get(name);
  if (daemon === undefined) return;
  watch.remove(name);
  daemon.child.kill("SIGKILL");
  const started = await stack.startDaemon(name);
  daemons.set(name, started);
  watch.add(name, started.operatorUrl);
}
