import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { FakeClock } from "./fake_clock.ts";
import { Fleet } from "./fleet.ts";
import type { ActivityCounts, FleetShape, Member } from "./fleet.ts";

/** From the size from which daemons no longer all know each other on. */
const SIZES: readonly FleetShape[] = [
  { daemons: 8, domains: 3 },
  { daemons: 72, domains: 3 },
  { daemons: 195, domains: 5 },
  { daemons: 380, domains: 6 },
];
const LARGE = SIZES.slice(1);
/** How much more the largest fleet may take of a daemon than the least. */
const GROWTH = 1.5;
/** Calls to the store that a daemon may make when all start. */
const CALLS_AT_START = 1.5;
const SETTLED_MS = 8_000;
const REST_MS = 8_000;
/** Longest time that a neighbour may hear nothing, in ms, so that silence tells. */
const HEARTBEAT_MS = 400;
const WAIT_MS = 2_000;
/** Milliseconds after the last daemon has started in which the others are met. */
const STARTED_MS = 2_000;
/** Within this time after a start all are ready. */
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
  const each = members.map(({ counts, links }) => ({
    ...counts,
    links: links.size,
  }));
  const of = (add: (values: readonly number[]) => number) =>
    Object.fromEntries(
      FIELDS.map((field) => [field, add(each.map((one) => one[field]))]),
    ) as unknown as Measures;
  const sum = (values: readonly number[]) =>
    values.reduce((total, value) => total + value, 0);
  return {
    mean: of((values) => sum(values) / values.length),
    most: of((values) => Math.max(...values)),
  };
}

interface Life {
  /** Calls to the store of all daemons while all start, for the first time and again. */
  readonly calls: readonly number[];
  readonly start: Phase;
  readonly restart: Phase;
  readonly rest: Phase;
  readonly waiting: Phase;
}

/** A start of all, a rest, another start of all, and one request that waits. */
async function live(t: TestContext, shape: FleetShape): Promise<Life> {
  const clock = new FakeClock(t);
  const fleet = new Fleet(clock, shape);
  await fleet.startAll();
  await clock.advance(STARTED_MS);
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
  await clock.advance(STARTED_MS);
  calls.push(callsOf(fleet.members));
  await clock.advance(SETTLED_MS);
  const restart = phaseOf(fleet.members);
  clock.restore();
  return { calls, start, restart, rest, waiting };
}

function callsOf(members: readonly Member[]): number {
  return members.reduce((sum, { counts }) => sum + counts.calls, 0);
}

function shown({ mean, most }: Phase): string {
  return FIELDS.map((field) =>
    `${field} ${mean[field].toFixed(1)} (${most[field]})`
  ).join(", ");
}

// What a daemon sends, dials and calls must not grow with the number of daemons:
// with links between all, 195 daemons had 19,000 connections, told each other
// 195 addresses on each of them, and called the store 5.4 times each when all
// lost power at once, in the very second in which every caller came back.
test("what a daemon does stays the same from 72 to 380 daemons", async (t) => {
  const lives = [];
  for (const shape of SIZES) {
    const life = await live(t, shape);
    lives.push({ shape, life });
    const { calls, ...phases } = life;
    t.diagnostic(`${shape.daemons} daemons: ${calls} calls when all start`);
    for (const [name, phase] of Object.entries(phases)) {
      t.diagnostic(`${shape.daemons} daemons, ${name}: ${shown(phase)}`);
    }
  }
  // At rest each link has heartbeats alone, and they are not passed on.
  for (const { shape, life } of lives) {
    const { messages, links } = life.rest.mean;
    const heartbeats = links * REST_MS / HEARTBEAT_MS;
    assert.ok(messages <= heartbeats + 1, `${shape.daemons}: ${messages}`);
  }
  const [least, ...larger] = lives.slice(-LARGE.length);
  for (const { shape, life } of larger) {
    for (const name of ["start", "restart", "rest", "waiting"] as const) {
      for (const field of ["messages", "bytes", "dials", "links"] as const) {
        const now = life[name].mean[field];
        const before = least!.life[name].mean[field];
        const place = `${shape.daemons} daemons, ${name}: ${field}`;
        assert.ok(now <= GROWTH * before + 1, `${place} ${before} -> ${now}`);
      }
    }
  }
  for (const { shape, life } of lives.slice(1)) {
    for (const calls of life.calls) {
      const each = calls / shape.daemons;
      assert.ok(each < CALLS_AT_START, `${shape.daemons}: ${each} calls`);
    }
  }
});
