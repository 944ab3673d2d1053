/**
 * What members spend and wrongly believe during one phase.
 *
 * @module
 */
import { type ChildProcess, fork } from "node:child_process";
import { availableParallelism } from "node:os";
import { fileURLToPath } from "node:url";
import { setTimeout as pause } from "node:timers/promises";
import type { Traffic } from "@umbermast/coordination";
import type { MemberFleet, Sighting } from "./membership_fleet.ts";
import type { MemberSample } from "./membership_message.ts";

const BURNER = fileURLToPath(
  new URL("./membership_burner.js", import.meta.url),
);
const MS_PER_SECOND = 1000;
/** Headers of IP and UDP before each datagram. */
const DATAGRAM_HEADER_BYTES = 28;

/** Means over the members, a second; sums where the name says false. */
export interface Phase {
  readonly seconds: number;
  /** Times that a member came to suspect a live one. */
  readonly falseSuspicions: number;
  /** Times that a member removed a live one. */
  readonly falseRemovals: number;
  /** Sent and received, with the headers of IP and UDP. */
  readonly bytesPerSecond: number;
  readonly datagramsPerSecond: number;
  readonly cpuMicrosPerSecond: number;
  readonly rssBytes: number;
  readonly heapBytes: number;
}

function bytesOf(traffic: Traffic): number {
  const datagrams = traffic.sent + traffic.received;
  return traffic.sentBytes + traffic.receivedBytes +
    datagrams * DATAGRAM_HEADER_BYTES;
}

function meanOf(
  samples: ReadonlyMap<string, MemberSample>,
  value: (sample: MemberSample, name: string) => number,
): number {
  let total = 0;
  for (const [name, sample] of samples) total += value(sample, name);
  return total / samples.size;
}

/** Watches a fleet in which nobody leaves or dies. */
export async function measurePhase(
  fleet: MemberFleet,
  seconds: number,
): Promise<Phase> {
  const sightings = fleet.sightings.length;
  const startedAt = Date.now();
  const before = await fleet.sample();
  await pause(seconds * MS_PER_SECOND);
  const after = await fleet.sample();
  const elapsed = (Date.now() - startedAt) / MS_PER_SECOND;
  const wrong = fleet.sightings.slice(sightings);
  const count = (state: Sighting["state"]) =>
    wrong.filter((sighting) => sighting.state === state).length;
  const rate = (value: (sample: MemberSample) => number) =>
    meanOf(after, (sample, name) => {
      const earlier = before.get(name);
      return earlier === undefined ? 0 : value(sample) - value(earlier);
    }) / elapsed;
  return {
    seconds: elapsed,
    falseSuspicions: count("suspect"),
    falseRemovals: count("removed"),
    bytesPerSecond: rate(({ traffic }) => bytesOf(traffic.probes)),
    datagramsPerSecond: rate(({ traffic }) =>
      traffic.probes.sent + traffic.probes.received
    ),
    cpuMicrosPerSecond: rate(({ cpuMicros }) => cpuMicros),
    rssBytes: meanOf(after, ({ rssBytes }) => rssBytes),
    heapBytes: meanOf(after, ({ heapBytes }) => heapBytes),
  };
}

/** As {@linkcode measurePhase}, with every processor kept busy by others. */
export async function measureBusyPhase(
  fleet: MemberFleet,
  seconds: number,
): Promise<Phase> {
  const burners: ChildProcess[] = [];
  for (let i = 0; i < availableParallelism(); i++) {
    burners.push(fork(BURNER, [], { stdio: "ignore" }));
  }
  try {
    return await measurePhase(fleet, seconds);
  } finally {
    for (const burner of burners) burner.kill("SIGKILL");
  }
}
