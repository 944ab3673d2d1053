import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { FakeClock } from "./fake_clock.ts";
import { Fleet } from "./fleet.ts";
import type { ActivityCounts, FleetShape, Member } from "./fleet.ts";

/** In the fleets from 72 daemons on, daemons are not all linked to each other. */
const SIZES: readonly FleetShape[] = [
  { daemons: 8, domains: 3 },
  { daemons: 72, domains: 3 },
  { daemons: 195, domains: 5 },
  { daemons: 380, domains: 6 },
];
const LARGE = SIZES.slice(1);
/** Factor by which a daemon's work may grow from the smallest large fleet to the largest. */
const GROWTH = 1.5;
/** Bound for the calls to the store, per daemon, when all start. */
const MAX_CALLS_AT_START = 1.5;
const SETTLED_MS = 8_000;
const REST_MS = 8_000;
/** Interval of heartbeats to each neighbour, in ms, by which failures are detected. */
const HEARTBEAT_MS = 400;
const WAIT_MS = 2_000;
/** Time after the last start until daemons have found each other, in ms. */
const DISCOVERY_MS = 2_000;
/** Time after the start within which all daemons are ready, in ms. */
const READY_MS = 250;

type Measures = ActivityCounts & { readonly links: number };

interface Phase {
  readonly mean: Measures;
  readonly most: Measures;
}

const FIELDS = [
  "messages",
  "bytes",
  "received",
  "dials",
  "calls",
  "links",
] as const;

function phaseOf(members: readonly Member[]): Phase {
  const measures = members.map(({ counts, links }) => ({
    ...counts,
    links: links.size,
  }));
  const ofAll = (aggregate: (values: readonly number[]) => number) =>
    Object.fromEntries(
      FIELDS.map((
        field,
      ) => [field, aggregate(measures.map((daemon) => daemon[field]))]),
    ) as unknown as Measures;
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  return {
    mean: ofAll((values) => sum(values) / values.length),
    most: ofAll((values) => Math.max(...values)),
  };
}

interface Measurement {
  /** Calls of all daemons to the store at the first start of all and at the second. */
  readonly calls: readonly number[];
  readonly start: Phase;
  readonly restart: Phase;
  readonly rest: Phase;
  readonly waiting: Phase;
}

/** Measures a start of all daemons, a rest, one waiting request, and a restart. */
async function measure(
  t: TestContext,
  shape: FleetShape,
): Promise<Measurement> {
  const clock = new FakeClock(t);
  const fleet = new Fleet(clock, shape);
  await fleet.startAll();
  await clock.advance(DISCOVERY_MS);
  const calls = [callsOf(fleet.members)];
  await clock.advance(SETTLED_MS);
  fleet.configure(1);
  await clock.advance(1_000);
  assert.ok(fleet.members.every(({ ready }) => ready));
  const start = phaseOf(fleet.members);
  fleet.resetCounts();
  await clock.advance(REST_MS);
  const rest = phaseOf(fleet.members);
  fleet.resetCounts();
  const load = fleet.members[5]!.loads.of("r-1");
  load.queue.add({
    rank: 0,
    arrivedAt: clock.now,
    startBy: clock.now + 1_000,
    requests: 1,
    unreadTokens: 5_000,
  });
  await clock.advance(WAIT_MS);
  const waiting = phaseOf(fleet.members);
  assert.ok(
    fleet.members.every(({ loads }) =>
      loads.of("r-1").queue.workAhead(
        { rank: 9, arrivedAt: 0, startBy: 0 },
        clock.now,
      )
        .requests === 1
    ),
  );
  await fleet.restartAll();
  await clock.advance(READY_MS);
  assert.ok(fleet.members.every(({ ready }) => ready));
  await clock.advance(DISCOVERY_MS);
  calls.push(callsOf(fleet.members));
  await clock.advance(SETTLED_MS);
  const restart = phaseOf(fleet.members);
  clock.restore();
  return { calls, start, restart, rest, waiting };
}

function callsOf(members: readonly Member[]): number {
  return members.reduce((sum, { counts }) => sum + counts.calls, 0);
}

function formatPhase({ mean, most }: Phase): string {
  return FIELDS.map((field) =>
    `${field} ${mean[field].toFixed(1)} (${most[field]})`
  ).join(", ");
}

// Guards against messages, dials and store calls per daemon that grow with the size of
// the fleet. With links between all, 195 daemons had 19,000 connections and sent 195
// addresses over each of them. When all lost power at once, each called the store 5.4
// times in the second in which all callers returned.
test("the work of a daemon stays the same from 72 to 380 daemons", async (t) => {
  const measurements = [];
  for (const shape of SIZES) {
    const measurement = await measure(t, shape);
    measurements.push({ shape, measurement });
    const { calls, ...phases } = measurement;
    t.diagnostic(`${shape.daemons} daemons: ${calls} calls when all start`);
    for (const [name, phase] of Object.entries(phases)) {
      t.diagnostic(`${shape.daemons} daemons, ${name}: ${formatPhase(phase)}`);
    }
  }
  // At rest only heartbeats are sent on each link, and they are not forwarded.
  for (const { shape, measurement } of measurements) {
    const { messages, links } = measurement.rest.mean;
    const heartbeats = links * REST_MS / HEARTBEAT_MS;
    assert.ok(messages <= heartbeats + 1, `${shape.daemons}: ${messages}`);
  }
  const [smallest, ...larger] = measurements.slice(-LARGE.length);
  for (const { shape, measurement } of larger) {
    for (const name of ["start", "restart", "rest", "waiting"] as const) {
      for (const field of ["messages", "bytes", "dials", "links"] as const) {
        const now = measurement[name].mean[field];
        const before = smallest!.measurement[name].mean[field];
        const place = `${shape.daemons} daemons, ${name}: ${field}`;
        assert.ok(now <= GROWTH * before + 1, `${place} ${before} -> ${now}`);
      }
    }
  }
  for (const { shape, measurement } of measurements.slice(1)) {
    for (const calls of measurement.calls) {
      const perDaemon = calls / shape.daemons;
      assert.ok(
        perDaemon < MAX_CALLS_AT_START,
        `${shape.daemons}: ${perDaemon} calls`,
      );
    }
  }
});
