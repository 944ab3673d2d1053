import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { MembersInfo } from "../src/slopes_part_members.ts";
import {
  type RigProcess,
  sampleProcess,
  withProcesses,
} from "../src/slopes_process.ts";

const POLL_MS = 50;
const SECONDS = 2;

async function allAlive(
  processes: readonly RigProcess[],
  count: number,
): Promise<void> {
  while (true) {
    const seen = await Promise.all(
      processes.map((process) => process.call({ type: "alive" })),
    ) as readonly (readonly number[])[];
    if (seen.flat().every((alive) => alive === count)) return;
    await pause(POLL_MS);
  }
}

test("members in processes of their own are seen, counted and ended", async () => {
  const ended: RigProcess[] = [];
  await withProcesses(async (start) => {
    const lone = await start("members", { names: ["a"] });
    const pair = await start("members", { names: ["b", "c"] });
    ended.push(lone, pair);
    const all = [lone, pair];
    const hosts = all.flatMap((process) => (process.info as MembersInfo).hosts);
    assert.deepEqual(hosts.map((host) => host.name), ["a", "b", "c"]);
    await Promise.all(
      all.map((process) => process.call({ type: "hosts", hosts })),
    );
    await allAlive(all, hosts.length);
    const sample = await sampleProcess(lone, { x: 3, seconds: SECONDS });
    assert.equal(sample.x, 3);
    assert.ok(sample.messages > 0, "probes are counted");
    assert.ok(sample.bytes > 0, "their bytes are counted");
    assert.ok(sample.cpuMicros > 0);
    assert.ok(sample.stateBytes > 0);
  });
  for (const process of ended) {
    await assert.rejects(process.call({ type: "alive" }));
  }
});

test("a part that cannot be made is reported, not waited for", async () => {
  await withProcesses(async (start) => {
    await assert.rejects(start("nothing", {}), /Cannot make part "nothing"/);
  });
});
