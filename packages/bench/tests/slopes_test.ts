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
/** Milliseconds that a killed process may take to be gone. */
const KILL_MS = 300;

/** Holds up this process, so that it reads no event in between. */
function sleepBlocking(millis: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, millis);
}

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

// The test run ends with an uncaught EPIPE although every call is waited for.
// The child is killed; before the parent has read the end of the channel, it
// sends a command. The channel still counts as connected, so the check for an
// ended process passes and the write fails later, outside of the call.
test("a call to a process that was just killed is rejected", async () => {
  await withProcesses(async (start) => {
    const process = await start("members", { names: ["a"] });
    const stopped = process.stop();
    sleepBlocking(KILL_MS);
    await assert.rejects(process.call({ type: "alive" }));
    await stopped;
    await assert.rejects(process.call({ type: "alive" }));
    await process.stop();
  });
});

test("a part that cannot be made is reported, not waited for", async () => {
  await withProcesses(async (start) => {
    await assert.rejects(start("nothing", {}), /Cannot make part "nothing"/);
  });
});
