import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Scope from "effect/Scope";
import { PauseDetector } from "../src/process/pause_detector.ts";
import { PublishedValue } from "../src/version/published_value.ts";
import type { PublishedValueOptions } from "../src/version/published_value.ts";
import {
  FakeClock,
  FakeMembership,
  memberNamed,
  MemoryNetwork,
  MemoryStore,
} from "../src/testing/mod.ts";
import type { FaultPlan } from "../src/testing/mod.ts";

const KIND = "table";
const NAME = "current";
const CHANNEL = "published/table/current";
const MEMBERS = ["a1", "a2", "a3", "b1", "b2", "b3"].map((name) =>
  memberNamed(name, { failureDomain: name.slice(0, 1) })
);

function decodeText(value: unknown): string {
  if (typeof value !== "string") throw new Error("Not a string");
  return value;
}

class Fleet {
  readonly store = new MemoryStore();
  readonly network = new MemoryNetwork();
  readonly #test: TestContext;

  constructor(t: TestContext) {
    this.#test = t;
  }

  async startDaemon(
    name: string,
    options: Partial<PublishedValueOptions<string>> & {
      readonly plan?: FaultPlan;
    } = {},
  ): Promise<PublishedValue<string>> {
    const { plan = () => "none" } = options;
    const self = MEMBERS.find((member) => member.name === name);
    if (self === undefined) throw new Error(`No member "${name}"`);
    const others = MEMBERS.filter((member) => member !== self);
    const published = new PublishedValue({
      store: this.store.withPlan(plan),
      peers: this.network.peers(name),
      membership: new FakeMembership(self, others),
      kind: KIND,
      name: NAME,
      decode: decodeText,
      ...options,
    });
    const scope = Scope.makeUnsafe();
    await Effect.runPromise(Scope.provide(published.start(), scope));
    this.#test.after(() => Effect.runPromise(Scope.close(scope, Exit.void)));
    return published;
  }

  async write(value: string): Promise<number> {
    const found = await Effect.runPromise(this.store.read(KIND, NAME));
    const object = { kind: KIND, name: NAME, value };
    const ifVersion = found?.version ?? 0;
    return Effect.runPromise(this.store.write(object, { ifVersion }));
  }
}

function waitForVersion(
  published: PublishedValue<string>,
  version: number,
): Promise<string> {
  return new Promise((done) => {
    const check = () => {
      const current = published.current();
      if (current !== undefined && current.version >= version) {
        done(current.value);
      }
    };
    published.subscribe(check);
    check();
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise((done) => setTimeout(done, ms));
}

/** Waits for a condition; fails after 10 s. */
async function waitUntil(condition: () => boolean): Promise<void> {
  for (let waitedMs = 0; !condition(); waitedMs += 10) {
    assert.ok(waitedMs < 10_000, "The condition was not met within 10 s");
    await sleep(10);
  }
}

function whenReady(published: PublishedValue<string>) {
  return Effect.runPromise(published.ready);
}

test("an edit reaches all members, and two in each domain watch the store", async (t) => {
  const fleet = new Fleet(t);
  await fleet.write("first");
  const watching = new Set<string>();
  const daemons = await Promise.all(
    MEMBERS.map(({ name }) =>
      fleet.startDaemon(name, {
        plan: ({ operation }) => {
          if (operation === "watch") watching.add(name.slice(0, 1) + name);
          return "none";
        },
      })
    ),
  );
  await Promise.all(daemons.map(whenReady));
  const version = await fleet.write("second");
  const values = await Promise.all(
    daemons.map((daemon) => waitForVersion(daemon, version)),
  );
  assert.deepEqual(new Set(values), new Set(["second"]));
  assert.equal(watching.size, 4);
});

test("a daemon without access to the store receives edits from its peers", async (t) => {
  const fleet = new Fleet(t);
  await fleet.write("first");
  const isolated = await fleet.startDaemon("a1", { plan: () => "refuse" });
  const rest = await Promise.all(
    ["a2", "a3", "b1"].map((name) => fleet.startDaemon(name)),
  );
  await Promise.all(rest.map(whenReady));
  assert.equal((await whenReady(isolated)).value, "first");
  const version = await fleet.write("second");
  assert.equal(await waitForVersion(isolated, version), "second");
});

test("an edit accepted just before an outage of the store reaches all members", async (t) => {
  // The store accepts the edit and goes down before any watch returns it. No
  // daemon can read the store, so the one that made the edit must broadcast it.
  const fleet = new Fleet(t);
  await fleet.write("first");
  let down = false;
  const plan: FaultPlan = ({ operation }) =>
    operation === "watch" ? Effect.never : down ? "refuse" : "none";
  const daemons = await Promise.all(
    MEMBERS.map(({ name }) => fleet.startDaemon(name, { plan })),
  );
  await Promise.all(daemons.map(whenReady));
  down = true;
  const version = await fleet.write("second");
  daemons[0]?.publish({ version, value: "second" });
  const values = await Promise.all(
    daemons.map((daemon) => waitForVersion(daemon, version)),
  );
  assert.deepEqual(new Set(values), new Set(["second"]));
});

test("an edit whose broadcasts are all lost is found by comparing versions", async (t) => {
  const fleet = new Fleet(t);
  await fleet.write("first");
  // Each knows only the other, so that it compares with no third member.
  const [self = memberNamed(""), peer = memberNamed("")] = MEMBERS;
  const isolated = await fleet.startDaemon("a1", {
    plan: () => "refuse",
    membership: new FakeMembership(self, [peer]),
  });
  const other = await fleet.startDaemon("a2");
  await Promise.all([whenReady(isolated), whenReady(other)]);
  fleet.network.intercept = ({ kind }) => kind === "send" ? "lose" : "deliver";
  const version = await fleet.write("second");
  assert.equal(await waitForVersion(isolated, version), "second");
});

test("a version on a heartbeat is fetched from its sender", async (t) => {
  const fleet = new Fleet(t);
  const from = await fleet.startDaemon("b1", { plan: () => "refuse" });
  const to = await fleet.startDaemon("a1", { plan: () => "refuse" });
  fleet.network.intercept = ({ kind }) => kind === "send" ? "lose" : "deliver";
  from.publish({ version: 7, value: "seventh" });
  to.digest.receive("b1", from.digest.read());
  assert.equal(await waitForVersion(to, 7), "seventh");
});

test("a stale copy from a peer does not revert the current value", async (t) => {
  // A peer resumes after a pause or a partition and broadcasts its old version.
  // Applying it would undo an accepted edit.
  const fleet = new Fleet(t);
  const daemon = await fleet.startDaemon("a1", { plan: () => "refuse" });
  daemon.publish({ version: 9, value: "ninth" });
  const stale = fleet.network.peers("b1");
  const update = { kind: "whole", version: 8, value: "eighth" };
  const answer = await Effect.runPromise(
    stale.request("a1", { channel: CHANNEL, body: update }, {
      timeoutMs: 10_000,
    }),
  );
  assert.equal(answer, null);
  assert.deepEqual(daemon.current(), { version: 9, value: "ninth" });
});

test("a daemon that starts while the store is down applies its peers' highest version", async (t) => {
  const fleet = new Fleet(t);
  const versions = [["a2", 4], ["b1", 6], ["b2", 5]] as const;
  fleet.network.intercept = () => "lose";
  for (const [name, version] of versions) {
    const peer = await fleet.startDaemon(name, { plan: () => "refuse" });
    peer.publish({ version, value: `version ${version}` });
  }
  fleet.network.intercept = () => "deliver";
  const late = await fleet.startDaemon("a1", { plan: () => "refuse" });
  assert.deepEqual(await whenReady(late), { version: 6, value: "version 6" });
});

test("a daemon that starts without store and peers waits for one of them", async (t) => {
  const fleet = new Fleet(t);
  await fleet.write("first");
  const readAttempted = Deferred.makeUnsafe<void>();
  let down = true;
  const daemon = await fleet.startDaemon("a1", {
    plan: ({ operation }) => {
      if (operation === "read") Deferred.doneUnsafe(readAttempted, Effect.void);
      return down ? "refuse" : "none";
    },
  });
  await Effect.runPromise(Deferred.await(readAttempted));
  assert.equal(daemon.isReady, false);
  down = false;
  assert.equal((await whenReady(daemon)).value, "first");
});

test("a paused daemon compares versions before it is ready again", async (t) => {
  // The process is paused while an edit is applied elsewhere. When it resumes,
  // it holds a stale value, which it must not serve before it has compared
  // versions.
  const fleet = new Fleet(t);
  const clock = new FakeClock();
  const pauseWatch = new PauseDetector({ clock });
  await fleet.write("first");
  let down = false;
  const plan: FaultPlan = ({ operation }) =>
    operation === "watch" ? Effect.never : down ? "refuse" : "none";
  const daemon = await fleet.startDaemon("a1", {
    plan,
    clock,
    pauseDetector: pauseWatch,
  });
  await whenReady(daemon);
  fleet.network.intercept = () => "lose";
  const peer = await fleet.startDaemon("a2", { plan: () => "refuse" });
  const version = await fleet.write("second");
  peer.publish({ version, value: "second" });
  fleet.network.intercept = () => "deliver";
  down = true;
  clock.advance(60_000);
  assert.equal(daemon.isReady, false);
  assert.equal(daemon.current()?.value, "first");
  assert.deepEqual(await whenReady(daemon), { version, value: "second" });
});

test("a daemon without contact to any peer reads the store itself", async (t) => {
  const fleet = new Fleet(t);
  fleet.network.intercept = () => "refuse";
  await fleet.write("first");
  const clock = new FakeClock();
  // One of the three is not a watcher. No pause is detected, so only isolation
  // makes it read.
  const pauseWatch = new PauseDetector({ clock: new FakeClock() });
  const isolated = await Promise.all(
    ["a1", "a2", "a3"].map((name) =>
      fleet.startDaemon(name, {
        clock,
        pauseDetector: pauseWatch,
        plan: ({ operation }) => operation === "watch" ? Effect.never : "none",
      })
    ),
  );
  await Promise.all(isolated.map(whenReady));
  const version = await fleet.write("second");
  clock.advance(5_000);
  const first = await Promise.race(
    isolated.map((daemon) => waitForVersion(daemon, version)),
  );
  assert.equal(first, "second");
});

// Guards against members that trust each other while all watchers are cut off.
test("members whose watchers are cut off from the store read it themselves", async (t) => {
  const fleet = new Fleet(t);
  await fleet.write("first");
  const clock = new FakeClock();
  const pauseWatch = new PauseDetector({ clock: new FakeClock() });
  const watching = new Set<string>();
  let cut = false;
  const daemons = await Promise.all(
    MEMBERS.map(({ name }) =>
      fleet.startDaemon(name, {
        clock,
        pauseDetector: pauseWatch,
        plan: ({ operation }) => {
          if (operation === "watch") {
            watching.add(name);
            return Effect.never;
          }
          return cut && watching.has(name) ? "refuse" : "none";
        },
      })
    ),
  );
  await Promise.all(daemons.map(whenReady));
  await waitUntil(() => watching.size === 4);
  cut = true;
  const version = await fleet.write("second");
  // All members hear each other all the while.
  for (let second = 0; second < 8; second += 1) {
    clock.advance(1_000);
    for (const daemon of daemons) daemon.digest.receive("b9", 1);
  }
  const isNew = (daemon: PublishedValue<string>) =>
    daemon.current()?.version === version;
  await waitUntil(() => daemons.every(isNew));
});

test("members whose watchers reach the store leave the reading to them", async (t) => {
  const fleet = new Fleet(t);
  await fleet.write("first");
  const clock = new FakeClock();
  const pauseWatch = new PauseDetector({ clock: new FakeClock() });
  let reads = 0;
  const daemons = await Promise.all(
    MEMBERS.map(({ name }) =>
      fleet.startDaemon(name, {
        clock,
        pauseDetector: pauseWatch,
        plan: ({ operation }) => {
          if (operation === "read") reads += 1;
          return "none";
        },
      })
    ),
  );
  await Promise.all(daemons.map(whenReady));
  const before = reads;
  for (let step = 0; step < 200; step += 1) {
    clock.advance(50);
    await sleep(50);
  }
  assert.equal(reads, before);
});

test("an invalid value is rejected and the current one stays in effect", async (t) => {
  const fleet = new Fleet(t);
  const rejected: number[] = [];
  const daemon = await fleet.startDaemon("a1", {
    plan: () => "refuse",
    onRejected: (version) => rejected.push(version),
  });
  daemon.publish({ version: 3, value: "third" });
  daemon.publish({ version: 4, value: 4 });
  assert.equal(daemon.current()?.version, 3);
  assert.deepEqual(rejected, [4]);
  daemon.publish({ version: 5, value: "fifth" });
  assert.equal(daemon.current()?.version, 5);
});

/** Starts a daemon that knows no other, with the faults that it reports. */
async function startAlone(
  fleet: Fleet,
  options: Partial<PublishedValueOptions<string>> = {},
) {
  const [self = memberNamed("")] = MEMBERS;
  const faults: unknown[] = [];
  const daemon = await fleet.startDaemon(self.name, {
    membership: new FakeMembership(self, []),
    onFault: (error) => faults.push(error),
    ...options,
  });
  return { daemon, faults };
}

// Guards against a daemon that stays at one version for good, without a word,
// because a part of it failed once.
test("a listener that throws does not end the watch, nor keep the value from others", async (t) => {
  const fleet = new Fleet(t);
  const { daemon, faults } = await startAlone(fleet);
  const fault = new Error("listener");
  let throwing = true;
  daemon.subscribe(() => {
    if (throwing) throw fault;
  });
  const seen: string[] = [];
  daemon.subscribe(({ value }) => seen.push(value));
  await fleet.write("first");
  await waitUntil(() => daemon.isReady);
  assert.equal(daemon.current()?.value, "first");
  assert.deepEqual(faults, [fault]);
  throwing = false;
  const version = await fleet.write("second");
  await waitUntil(() => daemon.current()?.version === version);
  assert.deepEqual(seen, ["first", "second"]);
});

test("an error while the store's value is taken does not end the watch", async (t) => {
  const fleet = new Fleet(t);
  await fleet.write("first");
  const fault = new Error("reporter");
  const { daemon, faults } = await startAlone(fleet, {
    decode: (value) => {
      if (value === "bad") throw new Error("Bad");
      return decodeText(value);
    },
    onRejected: () => {
      throw fault;
    },
  });
  await whenReady(daemon);
  await fleet.write("bad");
  await waitUntil(() => faults.length > 0);
  assert.deepEqual(faults, [fault]);
  const version = await fleet.write("second");
  await waitUntil(() => daemon.current()?.version === version);
});

/** Starts a daemon whose one peer gives the answers in turn, then the last. */
async function startBesidePeer(
  fleet: Fleet,
  answers: readonly unknown[],
  options: Partial<PublishedValueOptions<string>> = {},
) {
  const [self = memberNamed(""), peer = memberNamed("")] = MEMBERS;
  let asked = 0;
  fleet.network.peers(peer.name).handle(CHANNEL, (_, message) => {
    const { ask } = message as { readonly ask: string };
    if (ask !== "update") {
      return Effect.succeed({ kind: "version", version: 0 });
    }
    asked += 1;
    return Effect.succeed(answers[Math.min(asked, answers.length) - 1]);
  });
  const faults: unknown[] = [];
  const daemon = await fleet.startDaemon(self.name, {
    plan: () => "refuse",
    membership: new FakeMembership(self, [peer]),
    onFault: (error) => faults.push(error),
    ...options,
  });
  daemon.publish({ version: 1, value: "first" });
  return { daemon, faults };
}

test("a delta that does not fit is replaced by the whole value", async (t) => {
  const delta = { op: "splice", head: 1, tail: 1, items: [] };
  const { daemon, faults } = await startBesidePeer(new Fleet(t), [
    { kind: "delta", version: 2, from: 1, delta },
    { kind: "whole", version: 2, value: "second" },
  ]);
  await waitUntil(() => daemon.current()?.value === "second");
  assert.match(String(faults), /^DeltaMismatch/);
});

test("an error while a peer's value is taken does not end the pulls", async (t) => {
  const fault = new Error("reporter");
  const { daemon, faults } = await startBesidePeer(new Fleet(t), [
    { kind: "whole", version: 2, value: 2 },
    { kind: "whole", version: 3, value: "third" },
  ], {
    onRejected: () => {
      throw fault;
    },
  });
  await waitUntil(() => daemon.current()?.value === "third");
  assert.deepEqual(faults, [fault]);
});

// Guards against one damaged copy that keeps the store's valid value out.
test("a damaged copy of a peer does not bar the store's value of that version", async (t) => {
  const fleet = new Fleet(t);
  const rejected: number[] = [];
  const { daemon } = await startAlone(fleet, {
    onRejected: (version) => rejected.push(version),
  });
  await fleet.write("first");
  await waitUntil(() => daemon.isReady);
  const copy = { kind: "whole", version: 2, value: 2 };
  for (let sent = 0; sent < 3; sent += 1) {
    fleet.network.peers("b1").send("a1", CHANNEL, copy);
  }
  await waitUntil(() => rejected.length > 0);
  assert.equal(await fleet.write("second"), 2);
  await waitUntil(() => daemon.current()?.value === "second");
  assert.deepEqual(rejected, [2]);
});

test("a member that does not watch reads the store after a damaged copy", async (t) => {
  const fleet = new Fleet(t);
  await fleet.write("first");
  await fleet.write("second");
  const watching = new Set<string>();
  let reads = 0;
  const daemons = await Promise.all(
    ["a1", "a2", "a3"].map((name) =>
      fleet.startDaemon(name, {
        plan: ({ operation }) => {
          if (operation === "watch") watching.add(name);
          if (operation === "read") reads += 1;
          return "none";
        },
      })
    ),
  );
  await Promise.all(daemons.map(whenReady));
  await waitUntil(() => watching.size === 2);
  const name = ["a1", "a2", "a3"].find((name) => !watching.has(name))!;
  const before = reads;
  const copy = { kind: "whole", version: 3, value: 3 };
  fleet.network.peers("b1").send(name, CHANNEL, copy);
  await waitUntil(() => reads > before);
  const version = await fleet.write("third");
  await waitUntil(() =>
    daemons.every((daemon) => daemon.current()?.version === version)
  );
});

test("peerVersions lists the members that are behind or unreachable", async (t) => {
  const fleet = new Fleet(t);
  const daemon = await fleet.startDaemon("a1", { plan: () => "refuse" });
  await fleet.startDaemon("a2", { plan: () => "refuse" });
  fleet.network.intercept = ({ kind }) => kind === "send" ? "lose" : "deliver";
  daemon.publish({ version: 3, value: "third" });
  const versions = await Effect.runPromise(daemon.peerVersions());
  assert.equal(versions.get("a2"), 0);
  assert.equal(versions.get("b1"), undefined);
  assert.equal(versions.size, MEMBERS.length - 1);
});
