import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { FeedError } from "./feed.ts";
import { LeaderLease } from "./leader_lease.ts";
import type { LeaderRecord, StoredRecord } from "./leader_record.ts";
import { counterOf, storeRevision } from "./store_revision.ts";

const LEASE_MS = 3_000;
const CALL_MS = 900;

/** How the store handles the calls of one host. */
type StoreMode = "normal" | "down" | "loses-responses" | "late";

/** The leader's record, with the store's revision in the present epoch. */
interface Versioned {
  readonly counter: number;
  readonly record: LeaderRecord | undefined;
}

/** Simulated time, a store that may delay writes, and the platform's calls. */
class World {
  now = 0;
  #stored: Versioned = { counter: 0, record: undefined };
  #copy = this.#stored;
  #epoch = 1;
  /** Delayed writes. */
  readonly #delayed: (() => void)[] = [];
  readonly calls: Call[] = [];
  /** Runs once, after a host has read the record and before it writes. */
  beforeNextWrite: (() => Promise<void>) | undefined;

  read(mode: StoreMode): StoredRecord {
    if (mode === "down") throw new FeedError("unavailable", "down");
    const { counter, record } = this.#stored;
    return { revision: storeRevision(this.#epoch, counter), record };
  }

  /** Copies the store, for a later restore. */
  copy(): void {
    this.#copy = this.#stored;
  }

  /** Loses all that was written since the copy. */
  restore(): void {
    this.#stored = this.#copy;
    this.#epoch += 1;
  }

  write(record: LeaderRecord, ifRevision: number, mode: StoreMode) {
    if (mode === "down") throw new FeedError("unavailable", "down");
    if (mode === "late") {
      this.#delayed.push(() => void this.#replace(record, ifRevision));
      throw new FeedError("unavailable", "no response");
    }
    const result = this.#replace(record, ifRevision);
    if (mode === "loses-responses") {
      throw new FeedError("unavailable", "response lost");
    }
    return result;
  }

  /** Tries the delayed writes now. */
  applyDelayed(): void {
    for (const apply of this.#delayed.splice(0)) apply();
  }

  #replace(record: LeaderRecord, ifRevision: number) {
    // As the store does, without regard to the epoch.
    if (this.#stored.counter !== counterOf(ifRevision)) {
      return { kind: "conflict", found: this.read("normal") } as const;
    }
    this.#stored = { counter: this.#stored.counter + 1, record };
    const { revision } = this.read("normal");
    return { kind: "written", revision } as const;
  }
}

/** A call that has reached the platform. */
interface Call {
  readonly host: number;
  readonly fencing: number;
  readonly at: number;
}

/** A host with its own clocks, on which one daemon runs at a time. */
class Host {
  readonly #world: World;
  readonly #number: number;
  #starts = 0;
  /** Time that the monotonic clock lacks, because the host was suspended. */
  #suspendedMs = 0;
  #wallAheadMs = 0;
  /** When the last call ends; a leader makes one call at a time. */
  #busyUntil = 0;
  #lease: LeaderLease;
  storeMode: StoreMode = "normal";

  constructor(world: World, number: number) {
    this.#world = world;
    this.#number = number;
    this.#lease = this.#start();
  }

  restart(): void {
    this.#lease = this.#start();
  }

  suspend(ms: number): void {
    this.#suspendedMs += ms;
  }

  stepWallClock(ms: number): void {
    this.#wallAheadMs += ms;
  }

  get leads(): boolean {
    return this.#lease.held;
  }

  /** Renews the lease, or tries to take it. */
  async renewOrTake(): Promise<void> {
    if (this.#lease.held) await this.#lease.update(this.#lease.state);
    else await this.#lease.tryTake();
  }

  /** Stores a decision with a renewal of the lease. */
  async decide(nextWindow: number): Promise<void> {
    await this.#lease.update({ ...this.#lease.state, nextWindow });
  }

  async release(): Promise<void> {
    if (this.#world.now < this.#busyUntil) return;
    await this.#lease.release();
  }

  /** Calls the platform if allowed; the call arrives after `delayMs`. */
  act(delayMs: number): void {
    const { fencing } = this.#lease;
    if (this.#world.now < this.#busyUntil) return;
    if (fencing === undefined || !this.#lease.mayAct(CALL_MS)) return;
    this.#lease.recordAction();
    const at = this.#world.now + delayMs;
    this.#busyUntil = at;
    this.#world.calls.push({ host: this.#number, fencing, at });
  }

  #start(): LeaderLease {
    this.#starts += 1;
    return new LeaderLease({
      store: {
        read: () => this.#call(() => this.#world.read(this.storeMode)),
        write: async (record, revision) => {
          const { beforeNextWrite } = this.#world;
          this.#world.beforeNextWrite = undefined;
          await beforeNextWrite?.();
          return this.#world.write(record, revision, this.storeMode);
        },
      },
      own: {
        name: `host-${this.#number}`,
        incarnation: `${this.#number}-${this.#starts}`,
      },
      leaseMs: LEASE_MS,
      clock: {
        monotonic: () => this.#world.now - this.#suspendedMs,
        now: () => this.#world.now + this.#wallAheadMs,
      },
      log: SILENT_LOG,
    });
  }

  #call<T>(call: () => T): Promise<T> {
    return new Promise((resolve) => resolve(call()));
  }
}

type Step =
  | {
    readonly kind: "renewOrTake" | "release" | "restart";
    readonly host: number;
  }
  | { readonly kind: "act"; readonly host: number; readonly ms: number }
  | { readonly kind: "pass"; readonly ms: number }
  | { readonly kind: "suspend"; readonly host: number; readonly ms: number }
  | { readonly kind: "stepClock"; readonly host: number; readonly ms: number }
  | { readonly kind: "mode"; readonly host: number; readonly mode: StoreMode }
  | { readonly kind: "applyDelayed" | "copy" | "restore" };

const HOSTS = 2;
const host = fc.nat(HOSTS - 1);

function steps(): fc.Arbitrary<readonly Step[]> {
  const renewOrTake = fc.record({
    kind: fc.constant("renewOrTake" as const),
    host,
  });
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
      kind: fc.constant("stepClock" as const),
      host,
      ms: fc.constantFrom(-2_400, 700, 2_400),
    }),
    fc.record({
      kind: fc.constant("mode" as const),
      host,
      mode: fc.constantFrom<StoreMode>(
        "normal",
        "down",
        "loses-responses",
        "late",
      ),
    }),
    fc.record({
      kind: fc.constantFrom(
        "applyDelayed" as const,
        "copy" as const,
        "restore" as const,
      ),
    }),
  );
  return fc.array(
    fc.oneof(
      { weight: 5, arbitrary: renewOrTake },
      { weight: 5, arbitrary: act },
      { weight: 4, arbitrary: pass },
      { weight: 3, arbitrary: others },
    ),
    { minLength: 20, maxLength: 120, size: "max" },
  );
}

/** Runs a history, and returns its calls in the order of their arrival. */
async function replay(history: readonly Step[]): Promise<readonly Call[]> {
  const world = new World();
  const hosts = Array.from({ length: HOSTS }, (_, at) => new Host(world, at));
  // Late enough that a host may act as soon as it leads.
  world.now = 2 * LEASE_MS;
  for (const step of history) {
    switch (step.kind) {
      case "renewOrTake":
        await hosts[step.host]!.renewOrTake();
        break;
      case "act":
        hosts[step.host]!.act(step.ms);
        break;
      case "pass":
        world.now += step.ms;
        break;
      case "suspend":
        // The time passes in one step; the other hosts do nothing meanwhile.
        world.now += step.ms;
        hosts[step.host]!.suspend(step.ms);
        break;
      case "stepClock":
        hosts[step.host]!.stepWallClock(step.ms);
        break;
      case "mode":
        hosts[step.host]!.storeMode = step.mode;
        break;
      case "applyDelayed":
        world.applyDelayed();
        break;
      case "copy":
        world.copy();
        break;
      case "restore":
        world.restore();
        break;
      case "release":
        await hosts[step.host]!.release();
        break;
      case "restart":
        hosts[step.host]!.restart();
        break;
    }
  }
  return [...world.calls].sort((a, b) => a.at - b.at);
}

/** Returns the first violation in the calls as the platform sees them. */
function violationIn(calls: readonly Call[]): string | undefined {
  for (const [at, call] of calls.entries()) {
    const before = calls.slice(0, at);
    const text = JSON.stringify(call);
    if (before.some(({ fencing }) => fencing > call.fencing)) {
      return `fencing token decreased: ${text}`;
    }
    const shared = before.some((other) =>
      other.fencing === call.fencing && other.host !== call.host
    );
    if (shared) return `fencing token used by two hosts: ${text}`;
    const recent = before.filter((other) => other.at > call.at - LEASE_MS);
    const first = recent.findIndex((other) => other.host === call.host);
    const between = recent.slice(first + 1)
      .some((other) => other.host !== call.host);
    if (first >= 0 && between) return `calls of two hosts alternate: ${text}`;
  }
  return undefined;
}

test("two hosts never act as leaders at once or alternately", async () => {
  let calls = 0;
  let changes = 0;
  await fc.assert(
    fc.asyncProperty(steps(), async (history) => {
      const made = await replay(history);
      calls += made.length;
      changes += made.filter(({ host }, at) =>
        at > 0 && host !== made[at - 1]!.host
      ).length;
      assert.equal(violationIn(made), undefined);
    }),
    { numRuns: 6_000, seed: 20_261_203 },
  );
  // Histories without calls or changes of the leader would test nothing.
  assert.ok(calls > 1_000 && changes > 100, `${calls} calls, ${changes}`);
});

/** Returns two hosts, of which one has taken the lease and acted. */
async function ledBy(first: number) {
  const world = new World();
  const hosts = Array.from({ length: 2 }, (_, at) => new Host(world, at));
  world.now = 10_000;
  // Both hosts have known the store for as long as a lease lasts.
  for (const host of hosts) await host.renewOrTake();
  world.now += LEASE_MS;
  await hosts[first]!.renewOrTake();
  world.now += 300;
  hosts[first]!.act(0);
  assert.equal(world.calls.length, 1);
  return { world, hosts };
}

test("a released lease is taken at once", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[0]!.release();
  await hosts[1]!.renewOrTake();
  world.now += 300;
  hosts[1]!.act(0);
  assert.equal(world.calls.length, 2);
  assert.ok(world.calls[1]!.fencing > world.calls[0]!.fencing);
});

test("a lease that is not renewed is taken after its duration", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[1]!.renewOrTake();
  world.now += LEASE_MS;
  await hosts[1]!.renewOrTake();
  world.now += 300;
  hosts[1]!.act(0);
  assert.equal(world.calls.length, 2);
});

test("a leader that was suspended does not act before it reads the lease", async () => {
  const { world, hosts } = await ledBy(0);
  world.now += 5_000;
  hosts[0]!.suspend(5_000);
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 1);
});

test("a lost response to a renewal does not end the term", async () => {
  const { world, hosts } = await ledBy(0);
  for (let times = 0; times < 6; times++) {
    hosts[0]!.storeMode = times % 2 === 0 ? "loses-responses" : "normal";
    world.now += 700;
    await hosts[0]!.renewOrTake();
  }
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 2);
  assert.equal(world.calls[1]!.fencing, world.calls[0]!.fencing);
});

test("a lease is not taken before its duration has passed", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[1]!.renewOrTake();
  world.now += LEASE_MS - 1;
  await hosts[1]!.renewOrTake();
  assert.equal(hosts[1]!.leads, false);
});

test("a host that led before does not act alternately with another one", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[0]!.release();
  await hosts[1]!.renewOrTake();
  world.now += 300;
  hosts[1]!.act(0);
  await hosts[1]!.release();
  await hosts[0]!.renewOrTake();
  world.now += LEASE_MS - 600;
  await hosts[0]!.renewOrTake();
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 2);
  world.now += 700;
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 3);
});

test("a delayed renewal does not extend the lease", async () => {
  const { world, hosts } = await ledBy(0);
  hosts[0]!.storeMode = "late";
  for (let times = 0; times < 3; times++) {
    world.now += 500;
    await hosts[0]!.renewOrTake();
  }
  world.now += 100;
  hosts[0]!.act(0);
  assert.equal(world.calls.length, 1);
});

// Guards against two leaders at once, as the restored store calls the lease free.
test("a lease that a restore has lost is not taken while it may be held", async () => {
  const { world, hosts } = await ledBy(0);
  world.restore();
  await hosts[1]!.renewOrTake();
  world.now += LEASE_MS - 1;
  await hosts[1]!.renewOrTake();
  assert.equal(hosts[1]!.leads, false);
  world.now += 1;
  await hosts[1]!.renewOrTake();
  world.now += 300;
  hosts[1]!.act(0);
  assert.equal(world.calls.length, 2);
  assert.ok(world.calls[1]!.fencing > world.calls[0]!.fencing);
});

// Guards against a gap in leadership, and against decisions that are made anew and
// otherwise, after a restore.
test("a leader goes on after a restore, and stores its state again", async () => {
  const { world, hosts } = await ledBy(0);
  world.copy();
  world.now += 300;
  await hosts[0]!.decide(7);
  world.restore();
  for (let renewals = 0; renewals < 6; renewals++) {
    world.now += 700;
    await hosts[0]!.renewOrTake();
    await hosts[1]!.renewOrTake();
  }
  assert.deepEqual(hosts.map(({ leads }) => leads), [true, false]);
  const { record } = world.read("normal");
  assert.equal(record?.work.nextWindow, 7);
  // A successor trusts the state, as it was written after the restore.
  assert.equal(record.epoch, 2);
  hosts[0]!.act(0);
  assert.equal(world.calls[1]!.fencing, world.calls[0]!.fencing);
});

// Guards against two hosts with one fencing token, of which the restored store has
// forgotten the first.
test("a write that a restore lets pass does not begin a term", async () => {
  const { world, hosts } = await ledBy(0);
  await hosts[0]!.release();
  world.copy();
  world.beforeNextWrite = async () => {
    await hosts[0]!.renewOrTake();
    assert.equal(hosts[0]!.leads, true);
    world.restore();
  };
  await hosts[1]!.renewOrTake();
  assert.equal(hosts[1]!.leads, false);
});
