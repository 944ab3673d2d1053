import assert from "node:assert/strict";
import { test } from "node:test";
import type { Fields } from "./log_line.ts";
import { Autoscaler } from "./autoscaler.ts";
import type { ScaledService } from "./autoscaler.ts";
import type { Runner } from "./runner.ts";
import { RunnerLoads } from "./runner_loads.ts";
import type { RunnerOrder } from "./runner_order.ts";

const SERVICE: ScaledService = {
  name: "drafting",
  engine: {},
  scaling: {
    least: 1,
    most: 40,
    startMs: 4_000,
    preemptiblePrice: 0.22,
    prices: { a: 0.85, b: 1.2, c: 1 },
  },
};

function runnersOf(
  domain: string,
  count: number,
  fields: Partial<Runner> = {},
): readonly Runner[] {
  return Array.from({ length: count }, (_, at) => ({
    id: `${domain}-${at}-${fields.preemptible === true}`,
    name: `${domain}-${at}`,
    startedAtMs: undefined,
    service: "drafting",
    address: "10.0.0.1",
    port: 80,
    failureDomain: domain,
    slots: 64,
    draining: false,
    warmUpMs: 0,
    ...fields,
  }));
}

/** An autoscaler with a simulated list of runners and set of orders. */
class Simulation {
  readonly events: { readonly name: string; readonly fields: Fields }[] = [];
  readonly loads = new RunnerLoads();
  runners: readonly Runner[];
  services: readonly ScaledService[];
  orders: readonly RunnerOrder[] = [];
  readonly scaler: Autoscaler;

  constructor(runners: readonly Runner[], service = SERVICE) {
    this.runners = runners;
    this.services = [service];
    this.scaler = new Autoscaler({
      loads: this.loads,
      log: {
        event: (name, fields) => void this.events.push({ name, fields }),
        decision() {},
      },
      runners: () => this.runners,
      services: () => this.services,
    });
  }

  /**
   * Runs the autoscaler over a span of time, in the leader's steps of 200 ms.
   */
  run(from: number, to: number): void {
    for (let now = from; now <= to; now += 200) {
      const desired = this.scaler.desiredOrders(this.orders, now);
      if (desired.length > 0) this.orders = desired;
    }
  }

  /** Orders as "domain:preemptible+regular". */
  get shown(): string {
    const of = (domain: string, preemptible: boolean) =>
      this.orders.find((order) =>
        order.failureDomain === domain && order.preemptible === preemptible
      )?.runners;
    return ["a", "b", "c"]
      .map((domain) => `${domain}:${of(domain, true)}+${of(domain, false)}`)
      .join(" ");
  }
}

function standing(): readonly Runner[] {
  return ["a", "b", "c"].flatMap((domain) => runnersOf(domain, 8));
}

function preemptible(count: number): readonly Runner[] {
  return ["a", "b", "c"]
    .flatMap((domain) => runnersOf(domain, count, { preemptible: true }));
}

test("nothing is ordered while the list of runners is still growing", () => {
  const simulation = new Simulation(runnersOf("a", 8));
  simulation.run(0, 2_000);
  simulation.runners = standing();
  simulation.run(2_200, 4_800);
  assert.deepEqual(simulation.orders, []);
  simulation.run(5_000, 5_400);
  assert.equal(simulation.shown, "a:12+8 b:12+8 c:12+8");
});

test("regular runners are removed when preemptible ones serve in their place", () => {
  const simulation = new Simulation(standing());
  simulation.run(0, 4_000);
  simulation.runners = [...standing(), ...preemptible(12)];
  simulation.run(4_200, 5_000);
  assert.equal(simulation.shown, "a:12+0 b:12+0 c:12+0");
});

test("a reclaimed failure domain is compensated for at once", () => {
  const simulation = new Simulation(standing());
  simulation.run(0, 4_000);
  simulation.runners = preemptible(12);
  simulation.run(4_200, 5_000);
  simulation.runners = [
    ...runnersOf("a", 12, { preemptible: true, draining: true }),
    ...runnersOf("b", 12, { preemptible: true }),
    ...runnersOf("c", 12, { preemptible: true }),
  ];
  for (const { id } of simulation.runners) {
    const placed = { unreadTokens: 9_000, memoryTokens: 10_000, tight: false };
    simulation.loads.of(id).place(placed, 5_000);
  }
  simulation.run(5_200, 5_200);
  assert.match(simulation.shown, /^a:0\+\d+ b:12\+0 c:12\+0$/);
  simulation.run(5_400, 9_000);
  const [, regular] = /^a:0\+(\d+)/.exec(simulation.shown)!;
  assert.ok(Number(regular) > 0, simulation.shown);
});

test("some draining runners do not count as a reclaimed failure domain", () => {
  const simulation = new Simulation(standing());
  simulation.run(0, 4_000);
  simulation.runners = preemptible(12)
    .map((runner, at) => at < 3 ? { ...runner, draining: true } : runner);
  simulation.run(4_200, 5_000);
  assert.equal(simulation.shown, "a:12+0 b:12+0 c:12+0");
});

test("no preemptible runners are ordered for a while where none are left", () => {
  const simulation = new Simulation(preemptible(8));
  simulation.run(0, 4_000);
  const [order] = simulation.orders;
  simulation.scaler.recordDepleted(order!, 4_000);
  simulation.run(4_200, 4_200);
  assert.match(simulation.shown, /^a:8\+/);
  simulation.run(7_200, 7_400);
  assert.match(simulation.shown, /^a:12\+/);
});

test("a new leader continues from the previous leader's orders", () => {
  const first = new Simulation(standing());
  first.run(0, 4_000);
  const second = new Simulation(preemptible(12));
  second.orders = first.orders;
  second.run(10_000, 10_400);
  assert.equal(second.shown, "a:12+0 b:12+0 c:12+0");
});

test("contradictory bounds order nothing and are logged once", () => {
  const scaling = { ...SERVICE.scaling!, least: 9, most: 4 };
  const simulation = new Simulation(standing(), { ...SERVICE, scaling });
  simulation.run(0, 9_000);
  assert.deepEqual(simulation.orders, []);
  assert.deepEqual(
    simulation.events.map(({ name, fields }) => [name, fields]),
    [
      ["scaling_invalid", {
        place: "drafting.scaling",
        text: 'Needs integers with 0 <= least <= most, got "9" and "4"',
      }],
    ],
  );
});

test("orders of a service are kept while its configuration is invalid", () => {
  const simulation = new Simulation(standing());
  simulation.run(0, 4_000);
  const before = simulation.shown;
  const scaling = { ...SERVICE.scaling!, prices: { a: NaN } };
  simulation.services = [{ ...SERVICE, scaling }];
  simulation.run(4_200, 6_000);
  assert.equal(simulation.shown, before);
});
