import assert from "node:assert/strict";
import { test } from "node:test";
import { SYSTEM_CLOCK } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { assignBrokers } from "../../src/process/scheduling/broker_assignment.ts";
import { requestOf, SETTLED } from "./ask_fixture.ts";
import { daemonsOf, until } from "./daemons_fixture.ts";
import type { TestDaemon } from "./daemons_fixture.ts";
import { TestNetwork } from "./network_fixture.ts";
import { runnerOf, SERVICE } from "./runner_fixture.ts";

const NAMES = ["daemon-1", "daemon-2", "daemon-3"];
const TIME_LIMIT = { timeout: 30_000 };

/** The daemons as a service's rank has them: the broker, its successor, another. */
interface Roles {
  readonly broker: TestDaemon;
  readonly successor: TestDaemon;
  readonly entry: TestDaemon;
  readonly network: TestNetwork;
}

function withRoles(
  runners: number,
  body: (roles: Roles) => Effect.Effect<void, unknown>,
): Promise<void> {
  const network = new TestNetwork();
  const [first, second, third] = assignBrokers(NAMES, [SERVICE]).get(SERVICE)!;
  const program = Effect.gen(function* () {
    const daemons = yield* daemonsOf(network, {
      names: NAMES,
      runners: Array.from(
        { length: runners },
        (_, i) => runnerOf(`runner-${i}`),
      ),
    });
    const find = (name?: string) => daemons.find((it) => it.name === name)!;
    yield* body({
      broker: find(first),
      successor: find(second),
      entry: find(third),
      network,
    });
  });
  return Effect.runPromise(Effect.scoped(program));
}

function inFlight(daemon: TestDaemon): number {
  return daemon.host.find(SERVICE)?.inFlight ?? 0;
}

function waiting(daemon: TestDaemon): number {
  return daemon.host.find(SERVICE)?.waitingCount ?? 0;
}

test(
  "asks the daemon that the view names, and gives the slot back",
  TIME_LIMIT,
  () =>
    withRoles(1, ({ broker, entry }) =>
      Effect.gen(function* () {
        const grant = yield* entry.scheduler.acquire(requestOf(SYSTEM_CLOCK));
        assert.equal(inFlight(broker), 1);
        grant.release(SETTLED);
        grant.release(SETTLED);
        yield* until(() => inFlight(broker) === 0);
      })),
);

test(
  "withdraws the ask of a caller that leaves",
  TIME_LIMIT,
  () =>
    withRoles(1, ({ broker, entry }) =>
      Effect.gen(function* () {
        for (let i = 0; i < 2; i++) {
          yield* entry.scheduler.acquire(requestOf(SYSTEM_CLOCK));
        }
        const caller = yield* Effect.forkChild(
          entry.scheduler.acquire(requestOf(SYSTEM_CLOCK)),
        );
        yield* until(() => waiting(broker) === 1);
        yield* Fiber.interrupt(caller);
        yield* until(() => waiting(broker) === 0);
      })),
);

test(
  "gets a slot from the successor of a broker that fell silent",
  TIME_LIMIT,
  () =>
    // The broker is gone without a sign: links accept messages and lose them. An
    // entry that waited for the membership's verdict would hold its callers for
    // seconds; it passes the silent broker over by its missing answers instead.
    withRoles(1, ({ broker, successor, entry, network }) =>
      Effect.gen(function* () {
        network.isolate(broker.name);
        const grant = yield* entry.scheduler.acquire(requestOf(SYSTEM_CLOCK));
        assert.equal(inFlight(successor), 1);
        grant.release(SETTLED);
        yield* until(() =>
          inFlight(successor) === 0
        );
      })),
);

test("grants on its own, within a cap, when nobody answers", TIME_LIMIT, () =>
  // The daemon reaches no other. Its callers still get answers, but it must not
  // fill runners that the others are using too: one slot a runner of two.
  withRoles(2, ({ entry, network }) =>
    Effect.gen(function* () {
      network.isolate(entry.name);
      for (let i = 0; i < 2; i++) {
        yield* entry.scheduler.acquire(requestOf(SYSTEM_CLOCK));
      }
      const third = yield* Effect.forkChild(
        entry.scheduler.acquire(requestOf(SYSTEM_CLOCK)),
      );
      yield* until(() => waiting(entry) === 1);
      assert.equal(inFlight(entry), 2);
      yield* Fiber.interrupt(third);
    })));

test("hands waiting and held slots over on a change of view", TIME_LIMIT, () =>
  // The broker dies with one slot held and one ask waiting. The new broker has
  // never heard of either; were the held one unknown to it, the runner would
  // get more than its slots, and were the waiting one, its caller would wait in
  // vain.
  withRoles(1, ({ broker, successor, entry, network }) =>
    Effect.gen(function* () {
      const held = [];
      for (let i = 0; i < 2; i++) {
        held.push(yield* entry.scheduler.acquire(requestOf(SYSTEM_CLOCK)));
      }
      const caller = yield* Effect.forkChild(
        entry.scheduler.acquire(requestOf(SYSTEM_CLOCK)),
      );
      yield* until(() =>
        waiting(broker) === 1
      );
      network.isolate(broker.name);
      for (const daemon of [successor, entry]) {
        daemon.membership.set([successor.name, entry.name]);
      }
      yield* until(() => inFlight(successor) === 2 && waiting(successor) === 1);
      held[0]!.release(SETTLED);
      const grant = yield* Fiber.join(caller);
      assert.equal(inFlight(successor), 2);
      grant.release(SETTLED);
      held[1]!.release(SETTLED);
      yield* until(() => inFlight(successor) === 0);
    })));

test(
  "gets a grant that its link lost, and holds one slot for it",
  TIME_LIMIT,
  () =>
    // The broker grants, the link drops the grant, both ends live on. The entry
    // waits, the broker counts the slot as used: the slot would be lost for good.
    // Their beats differ, so the entry presents what it has and is told again.
    withRoles(1, ({ broker, entry, network }) =>
      Effect.gen(function* () {
        network.cut(broker.name, entry.name);
        const caller = yield* Effect.forkChild(
          entry.scheduler.acquire(requestOf(SYSTEM_CLOCK)),
        );
        yield* until(() => inFlight(broker) === 1);
        network.mend();
        const grant = yield* Fiber.join(caller);
        grant.release(SETTLED);
        yield* until(() => inFlight(broker) === 0);
      })),
);

test(
  "frees the slots of an entry that died",
  TIME_LIMIT,
  () =>
    withRoles(1, ({ broker, entry, network }) =>
      Effect.gen(function* () {
        for (let i = 0; i < 2; i++) {
          yield* entry.scheduler.acquire(requestOf(SYSTEM_CLOCK));
        }
        network.isolate(entry.name);
        yield* until(() => inFlight(broker) === 0);
      })),
);

test("serves every entry although their views differ", TIME_LIMIT, () =>
  // One daemon sees the broker as gone, the others do not. Two daemons broker
  // the same runners for a while; every request must still get a slot.
  withRoles(2, ({ broker, successor, entry }) =>
    Effect.gen(function* () {
      entry.membership.set([successor.name, entry.name]);
      const one = yield* entry.scheduler.acquire(requestOf(SYSTEM_CLOCK));
      const other = yield* successor.scheduler.acquire(requestOf(SYSTEM_CLOCK));
      assert.deepEqual([inFlight(broker), inFlight(successor)], [1, 1]);
      entry.membership.set(NAMES);
      yield* until(() => inFlight(broker) === 2 && inFlight(successor) === 0);
      one.release(SETTLED);
      other.release(SETTLED);
      yield* until(() => inFlight(broker) === 0);
    })));
