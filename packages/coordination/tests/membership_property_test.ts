import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
import { advanceSeconds, memberNamed, withFleet } from "./fleet_fixture.ts";
import type { Fleet } from "./fleet_fixture.ts";

const MEMBERS = 5;
const NAMES = Array.from({ length: MEMBERS }, (_, i) => `m${i + 1}`);
const RUNS = 25;
/** Fixed for reproducible runs; 400 more with random seeds were run by hand. */
const SEED = 6;
/** Long enough for a member removed by all others to rejoin. */
const SETTLING_S = 60;

type Fault =
  | { readonly kind: "lossy"; readonly share: number }
  | { readonly kind: "one-way"; readonly from: string; readonly to: string }
  | { readonly kind: "partition"; readonly side: readonly string[] }
  | { readonly kind: "kill"; readonly name: string }
  | { readonly kind: "restart"; readonly name: string };

interface Step {
  readonly fault: Fault;
  readonly seconds: number;
}

const NAME = fc.constantFrom(...NAMES);
const FAULT: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant("lossy" as const),
    share: fc.double({ min: 0, max: 0.9, noNaN: true }),
  }),
  fc.record({ kind: fc.constant("one-way" as const), from: NAME, to: NAME }),
  fc.record({
    kind: fc.constant("partition" as const),
    side: fc.subarray(NAMES),
  }),
  fc.record({ kind: fc.constant("kill" as const), name: NAME }),
  fc.record({ kind: fc.constant("restart" as const), name: NAME }),
);
const STEPS: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.record({ fault: FAULT, seconds: fc.integer({ min: 1, max: 40 }) }),
  { maxLength: 5 },
);

/** The running members and their incarnations. */
class RunningMembers {
  readonly #running = new Map(NAMES.map((name) => [name, 1]));

  running(): readonly string[] {
    return [...this.#running.keys()].sort();
  }

  readonly apply = Effect.fnUntraced(
    { self: this },
    function* (
      fleet: Fleet,
      fault: Fault,
      random: () => number,
    ): Effect.fn.Return<void> {
      switch (fault.kind) {
        case "lossy":
          fleet.isLost = () => random() < fault.share;
          return;
        case "one-way":
          fleet.isLost = (from, to) => from === fault.from && to === fault.to;
          return;
        case "partition":
          fleet.isLost = (from, to) =>
            fault.side.includes(from) !== fault.side.includes(to);
          return;
        case "kill":
          this.#running.delete(fault.name);
          yield* fleet.kill(fault.name);
          return;
        case "restart": {
          const incarnation = (this.#running.get(fault.name) ?? 1) + 10;
          this.#running.set(fault.name, incarnation);
          yield* fleet.kill(fault.name);
          yield* fleet.start(memberNamed(fault.name, { incarnation }));
        }
      }
    },
  );
}

test("once faults stop, the views of all live members converge", () =>
  // Losses, one-way and full partitions, kills and restarts happen in any order
  // and at any time, and some members are falsely suspected or removed. Once
  // the network has recovered, each live member must see exactly the live ones.
  fc.assert(
    fc.asyncProperty(
      STEPS,
      fc.integer(),
      fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true })),
      (steps, seed, randoms) =>
        withFleet((fleet) =>
          Effect.gen(function* () {
            const members = new RunningMembers();
            const random = () => randoms.next().value ?? 0;
            yield* fleet.startAll(NAMES.map((name) => memberNamed(name)));
            for (const { fault, seconds } of steps) {
              yield* members.apply(fleet, fault, random);
              yield* advanceSeconds(seconds);
            }
            fleet.isLost = () => false;
            yield* advanceSeconds(SETTLING_S);
            const expected = members.running().join(" ");
            for (const view of fleet.views()) assert.equal(view, expected);
          }), { seed }),
    ),
    { numRuns: RUNS, seed: SEED },
  ));
