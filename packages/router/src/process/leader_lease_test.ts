import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { FeedError } from "./feed.ts";
import { LeaderLease } from "./leader_lease.ts";
import type { LeaderRecord, StoredRecord } from "./leader_record.ts";

const LEASE_MS = 3_000;
const CALL_MS = 900;

/** How the store treats the calls of one host. */
type Mood = "sound" | "down" | "loses-answers" | "late";

/** Time that a test lets pass, and a store that may act late. */
class World {
  now = 0;
  stored: StoredRecord | undefined;
  /** Writes that the store will try later. */
  readonly #late: (() => void)[] = [];
  readonly calls: Call[] = [];

  read(mood: Mood): StoredRecord | undefined {
    if (mood === "down") throw new FeedError("unavailable", "down");
    return this.stored;
  }

  write(record: LeaderRecord, ifRevision: number, mood: Mood) {
    if (mood === "down") throw new FeedError("unavailable", "down");
    if (mood === "late") {
      this.#late.push(() => void this.#replace(record, ifRevision));
      throw new FeedError("unavailable", "no answer");
    }
    const written = this.#replace(record, ifRevision);
    if (mood === "loses-answers") {
      throw new FeedError("unavailable", "answer lost");
    }
    return written;
  }

  /** The store acts on what came late. */
  actLate(): void {
    for (const act of this.#late.splice(0)) act();
  }

  #replace(record: LeaderRecord, ifRevision: number) {
    const revision = this.stored?.revision ?? 0;
    if (revision !== ifRevision) {
      return { kind: "conflict", found: this.stored } as const;
    }
    this.stored = { revision: revision + 1, record };
    return { kind: "written", revision: revision + 1 } as const;
  }
}

/** A call to the platform that has arrived. */
interface Call {
  readonly host: number;
  readonly fencing: number;
  readonly at: number;
}

/** A host with clocks of its own, on which one daemon after the other runs. */
class Host {
  readonly #world: World;
  readonly #number: number;
  #lives = 0;
  /** What the steady clock lacks, because the host was suspended. */
  #suspendedMs = 0;
  #shownAheadMs = 0;
  /** When the last call has ended; a leader makes one at a time. */
  #busyUntil = 0;
  #lease: LeaderLease;
  mood: Mood = "sound";

  constructor(world: World, number: number) {
    this.#world = world;
    this.#number = number;
    this.#lease = this.#start();
  }

  restart(): void {
    this.#lease = this.#start();
  }

  suspended(ms: number): void {
    this.#suspendedMs += ms;
  }

  step(ms: number): void {
    this.#shownAheadMs += ms;
  }

  get leads(): boolean {
    return this.#lease.held;
  }

  async look(): Promise<void> {
    if (this.#lease.held) await this.#lease.update(this.#lease.state);
    else await this.#lease.tryTake();
  }

  async release(): Promise<void> {
    if (this.#world.now < this.#busyUntil) return;
    await this.#lease.release();
  }

  /** Calls the platform if it may; the call arrives some time later. */
  act(takesMs: number): void {
    const { fencing } = this.#lease;
    if (this.#world.now < this.#busyUntil) return;
    if (fencing === undefined || !this.#lease.mayAct(CALL_MS)) return;
    this.#lease.recordAction();
    const at = this.#world.now + takesMs;
    this.#busyUntil = at;
    this.#world.calls.push({ host: this.#number, fencing, at });
  }

  #start(): LeaderLease {
    this.#lives += 1;
    return new LeaderLease({
      store: {
        read: () => this.#ask(() => this.#world.read(this.mood)),
        write: (record, revision) =>
          this.#ask(() => this.#world.write(record, revision, this.mood)),
      },
      own: {
        name: `host-${this.#number}`,
        incarnation: `${this.#number}-${this.#lives}`,
      },
      leaseMs: LEASE_MS,
      clock: {
        monotonic: () => this.#world.now - this.#suspendedMs,
        now: () => this.#world.now + this.#shownAheadMs,
      },
      log: SILENT_LOG,
    });
  }

  #ask<T>(ask: () => T): Promise<T> {
    return new Promise((resolve) => resolve(ask()));
  }
}

type Step =
  | { readonly kind: "look" | "release" | "restart"; readonly host: number }
  | { readonly kind: "act"; readonly host: number; readonly ms: number }
  | { readonly kind: "pass"; readonly ms: number }
  | { readonly kind: "suspend"; readonly host: number; readonly ms: number }
  | { readonly kind: "jump"; readonly host: number; readonly ms: number }
  | { readonly kind: "mood"; readonly host: number; readonly mood: Mood }
  | { readonly kind: "late" };

const HOSTS = 2;
const host = fc.nat(HOSTS - 1);

function steps(): fc.Arbitrary<readonly Step[]> {
  const look = fc.record({ kind: fc.constant("look" as const), host });
  const act = fc.record({
    kind: fc.constant("act" as const),
    host,
    ms: fc.constantFrom(0, CALL_MS),
  });
  const pass = fc.record({
    kind: fc.constant("pass" as const),
    ms: fc.constantFrom(50, 300, 700, 1_200, 2_500),
  });
  const others = fc.oneof(
    fc.record({
      kind: fc.constantFrom("release" as const, "restart" as const),
      host,
    }),
    fc.record({
      kind: fc.constant("suspend" as const),
      host,
      ms: fc.constantFrom(400, 2_000, 6_000),
    }),
    fc.record({
      kind: fc.constant("jump" as const),
      host,
      ms: fc.constantFrom(-2_400, 700, 2_400),
    }),
    fc.record({
      kind: fc.constant("mood" as const),
      host,
      mood: fc.constantFrom<Mood>("sound", "down", "loses-answers", "late"),
    }),
    fc.record({ kind: fc.constant("late" as const) }),
  );
  return fc.array(
    fc.oneof(
      { weight: 5, arbitrary: look },
      { weight: 5, arbitrary: act },
      { weight: 4, arbitrary: pass },
      { weight: 3, arbitrary: others },
    ),
    { minLength: 20, maxLength: 120, size: "max" },
  );
}

async function play(history: readonly Step[]): Promise<readonly Call[]> {
  const world = new World();
  const hosts = Array.from({ length: HOSTS }, (_, at) => new Host(world, at));
  // By then a host may act as soon as it leads.
  world.now = 2 * LEASE_MS;
  for (const step of history) {
    switch (step.kind) {
      case "look":
        await hosts[step.host]!.look();
        break;
      case "act":
        hosts[step.host]!.act(step.ms);
        break;
      case "pass":
        world.now += step.ms;
        break;
      case "suspend":
        // All time passes at once; the others find the lease as it was.
        world.now += step.ms;
        hosts[step.host]!.suspended(step.ms);
        break;
      case "jump":
        hosts[step.host]!.step(step.ms);
        break;
      case "mood":
        hosts[step.host]!.mood = step.mood;
        break;
      case "late":
        world.actLate();
        break;
      case "release":
        await hosts[step.host]!.release();
        break;
      case "restart":
        hosts[step.host]!.restart();
        break;
    }
  }
  return [...world.calls].sort((one, other) => one.at - other.at);
}

/** What is wrong with the calls as the platform sees them. */
function faultIn(calls: readonly Call[]): string | undefined {
  for (const [at, call] of calls.entries()) {
    const before = calls.slice(0, at);
    const shown = JSON.stringify(call);
    if (before.some(({ fencing }) => fencing > call.fencing)) {
      return `a lower number after a higher one: ${shown}`;
    }
    const same = before.some((each) =>
      each.fencing === call.fencing && each.host !== call.host
    );
    if (same) return `a number of two hosts: ${shown}`;
    const lately = before.filter((each) => each.at > call.at - LEASE_MS);
    const first = lately.findIndex((each) => each.host === call.host);
    const between = lately.slice(first + 1)
      .some((each) => each.host !== call.host);
    if (first >= 0 && between) return `in turns with another host: ${shown}`;
  }
  return undefined;
}

test("no history has two hosts act as leaders at once or in turns", async () => {
  let calls = 0;
  let changes = 0;
  await fc.assert(
    fc.asyncProperty(steps(), async (history) => {
      const made = await play(history);
      calls += made.length;
      changes += made.filter(({ host }, at) =>
        at > 0 && host !== made[at - 1]!.host
      ).length;
      assert.equal(faultIn(made), undefined);
    }),
    { numRuns: 6_000, seed: 20_261_203 },
  );
  // Histories without calls or changes of the leader would prove nothing.
  assert.ok(calls > 1_000 && changes > 100, `${calls} calls, ${changes}`);
});

/** Hosts of which the first has led, and the world. */
async function ledBy(first: number) {
  const world = new World();
  const hosts = Array.from({ length: 2 }, (_, at) => new Host(world, at));
  world.now = 10_000;
  await hosts[first]!.look();
  world.now += 300;
  hosts[first]!.act(0);
  assert.equal(world.calls.length, 1);
  return { world, hosts };
}

test("a leader that gives up is followed at once", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[0]!.release();
  await hosts[1]!.look();
  world.now += 300;
  hosts[1]!.act(0);
  assert.equal(world.calls.length, 2);
  assert.ok(world.calls[1]!.fencing > world.calls[0]!.fencing);
});

test("a silent leader is followed after its lease", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[1]!.look();
  world.now += LEASE_MS;
  await hosts[1]!.look();
  world.now += 300;
  hosts[1]!.act(0);
  assert.equal(world.calls.length, 2);
});

test("a leader that was suspended does nothing before it has looked again", async () => {
  const { world, hosts } = await ledBy(0);
  world.now += 5_000;
  hosts[0]!.suspended(5_000);
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 1);
});

test("a lost answer to a renewal does not end the term", async () => {
  const { world, hosts } = await ledBy(0);
  for (let times = 0; times < 6; times++) {
    hosts[0]!.mood = times % 2 === 0 ? "loses-answers" : "sound";
    world.now += 700;
    await hosts[0]!.look();
  }
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 2);
  assert.equal(world.calls[1]!.fencing, world.calls[0]!.fencing);
});

test("a lease that stands for less than its duration is not taken", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[1]!.look();
  world.now += LEASE_MS - 1;
  await hosts[1]!.look();
  assert.equal(hosts[1]!.leads, false);
});

test("a host that led before does not act in turns with another one", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[0]!.release();
  await hosts[1]!.look();
  world.now += 300;
  hosts[1]!.act(0);
  await hosts[1]!.release();
  await hosts[0]!.look();
  world.now += LEASE_MS - 600;
  await hosts[0]!.look();
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 2);
  world.now += 700;
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 3);
});

test("a renewal that the store has not taken yet gives no more time", async () => {
  const { world, hosts } = await ledBy(0);
  hosts[0]!.mood = "late";
  for (let times = 0; times < 3; times++) {
    world.now += 500;
    await hosts[0]!.look();
  }
  world.now += 100;
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 1);
});
