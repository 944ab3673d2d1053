import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { planRunners } from "./runner_plan.ts";
import type { RunnersNeeded } from "./demand_estimator.ts";
import type { DomainPlan, DomainState, ScalingBounds } from "./runner_plan.ts";

const BOUNDS: ScalingBounds = { least: 1, most: 42, preemptiblePrice: 0.22 };

function domain(name: string, fields: Partial<DomainState> = {}): DomainState {
  const empty = { price: 1, preemptible: 0, regular: 0, depleted: false };
  return { name, ...empty, ...fields };
}

/** Three failure domains in the same state. */
function three(fields: Partial<DomainState> = {}): readonly DomainState[] {
  return ["a", "b", "c"].map((name) => domain(name, fields));
}

/** A current need that equals the peak. */
function steady(runners: number): RunnersNeeded {
  return { now: runners, peak: runners };
}

function shown(plan: readonly DomainPlan[]): string {
  return plan
    .map(({ name, preemptible, regular }) =>
      `${name}:${preemptible}+${regular}`
    )
    .join(" ");
}

test("the plan suffices when one failure domain is reclaimed", () => {
  const plan = planRunners(steady(20), BOUNDS, three({ preemptible: 10 }));
  assert.equal(shown(plan), "a:10+0 b:10+0 c:10+0");
});

test("regular runners are kept until preemptible ones serve in their place", () => {
  const standing = three({ regular: 10 });
  const first = planRunners(steady(20), BOUNDS, standing);
  assert.equal(shown(first), "a:10+10 b:10+10 c:10+10");
  const serving = three({ regular: 10, preemptible: 6 });
  assert.equal(
    shown(planRunners(steady(20), BOUNDS, serving)),
    "a:10+10 b:10+2 c:10+0",
  );
});

test("bounds apply to both kinds together while one replaces the other", () => {
  const bounds = { ...BOUNDS, most: 8 };
  const plan = planRunners(steady(12), bounds, three({ regular: 6 }));
  assert.equal(shown(plan), "a:4+4 b:4+4 c:4+4");
});

test("regular runners are removed when preemptible ones are back", () => {
  const [a, ...others] = three({ preemptible: 8 });
  const bounds = { ...BOUNDS, most: 8 };
  const before = { ...a!, preemptible: 0, regular: 8 };
  const needed = { now: 4, peak: 14 };
  const plan = planRunners(needed, bounds, [before, ...others]);
  assert.equal(shown(plan), "a:3+5 b:7+0 c:7+0");
});

test("the other failure domains compensate for a reclaimed one", () => {
  const [a, ...others] = three({ preemptible: 10 });
  const lost = { ...a!, preemptible: 0, depleted: true };
  const plan = planRunners(steady(30), BOUNDS, [lost, ...others]);
  assert.equal(shown(plan), "a:0+10 b:15+0 c:15+0");
});

test("regular runners replace unavailable preemptible ones, cheapest first", () => {
  const [a, b, c] = three({ depleted: true, preemptible: 5 });
  const domains = [a!, { ...b!, price: 0.5 }, { ...c!, preemptible: 0 }];
  const plan = planRunners(steady(12), { ...BOUNDS, most: 10 }, domains);
  assert.equal(shown(plan), "a:5+0 b:5+1 c:0+1");
});

test("without a price for preemptible runners, all runners are regular", () => {
  const bounds = { ...BOUNDS, preemptiblePrice: undefined };
  const plan = planRunners(steady(7), bounds, three({ regular: 4 }));
  assert.equal(shown(plan), "a:0+4 b:0+2 c:0+1");
});

test("every plan keeps to the configured bounds", () => {
  const state = fc.record({
    price: fc.constantFrom(0.85, 1, 1.2),
    preemptible: fc.nat(12),
    regular: fc.nat(12),
    depleted: fc.boolean(),
  });
  const domains = fc.array(state, { minLength: 1, maxLength: 6 })
    .map((states) =>
      states.map((domain, at) => ({ name: `d-${at}`, ...domain }))
    );
  const bounds = fc.record({
    least: fc.nat(3),
    most: fc.integer({ min: 3, max: 24 }),
    preemptiblePrice: fc.constantFrom(undefined, 0.22, 1.5),
  });
  fc.assert(
    fc.property(
      fc.nat(80),
      fc.nat(80),
      bounds,
      domains,
      (now, most, scaling, states) => {
        for (
          const { preemptible, regular } of planRunners(
            { now, peak: most },
            scaling,
            states,
          )
        ) {
          assert.ok(preemptible >= 0 && regular >= 0);
          assert.ok(preemptible + regular >= scaling.least);
          assert.ok(preemptible + regular <= scaling.most);
        }
      },
    ),
  );
});
