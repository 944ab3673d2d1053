import assert from "node:assert/strict";
import { test } from "node:test";
import type { Fields } from "./line.ts";
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

/** An autoscaler whose orders a platform follows at once. */
class Played {
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

  /** Looks from a moment on for some seconds, by the leader's steps. */
  look(from: number, to: number): void {
    for (let now = from; now <= to; now += 200) {
      const wanted = this.scaler.desiredOrders(this.orders, now);
      if (wanted.length > 0) this.orders = wanted;
    }
  }

  /** Orders as "domain:preemptible+regular". */
  get shown(): string {
    const of = (domain: string, preemptible: boolean) =>
      this.orders.find((each) =>
        each.failureDomain === domain && each.preemptible === preemptible
      )?.runners;
    return ["a", "b", "c"]
      .map((domain) => `${domain}:${of(domain, true)}+${of(domain, false)}`)
      .join(" ");
  }
}

function standing(): readonly Runner[] {
  return ["a", "b", "c"].flatMap((domain) => runnersOf(domain, 8));
}

function preemptible(each: number): readonly Runner[] {
  return ["a", "b", "c"]
    .flatMap((domain) => runnersOf(domain, each, { preemptible: true }));
}

test("nothing is ordered while runners still enter themselves", () => {
  const played = new Played(runnersOf("a", 8));
  played.look(0, 2_000);
  played.runners = standing();
  played.look(2_200, 4_800);
  assert.deepEqual(played.orders, []);
  played.look(5_000, 5_400);
  assert.equal(played.shown, "a:12+8 b:12+8 c:12+8");
});

test("regular runners go when preemptible ones serve in their place", () => {
  const played = new Played(standing());
  played.look(0, 4_000);
  played.runners = [...standing(), ...preemptible(12)];
  played.look(4_200, 5_000);
  assert.equal(played.shown, "a:12+0 b:12+0 c:12+0");
});

test("a failure domain that is taken back is made up for at once", () => {
  const played = new Played(standing());
  played.look(0, 4_000);
  played.runners = preemptible(12);
  played.look(4_200, 5_000);
  played.runners = [
    ...runnersOf("a", 12, { preemptible: true, draining: true }),
    ...runnersOf("b", 12, { preemptible: true }),
    ...runnersOf("c", 12, { preemptible: true }),
  ];
  for (const { id } of played.runners) {
    const placed = { unreadTokens: 9_000, memoryTokens: 10_000, tight: false };
    played.loads.of(id).place(placed, 5_000);
  }
  played.look(5_200, 5_200);
  assert.match(played.shown, /^a:0\+\d+ b:12\+0 c:12\+0$/);
  played.look(5_400, 9_000);
  const [, regular] = /^a:0\+(\d+)/.exec(played.shown)!;
  assert.ok(Number(regular) > 0, played.shown);
});

test("some runners that leave are not taken for a failure domain taken back", () => {
  const played = new Played(standing());
  played.look(0, 4_000);
  played.runners = preemptible(12)
    .map((each, at) => at < 3 ? { ...each, draining: true } : each);
  played.look(4_200, 5_000);
  assert.equal(played.shown, "a:12+0 b:12+0 c:12+0");
});

test("where there are none left, it is not asked for a while", () => {
  const played = new Played(preemptible(8));
  played.look(0, 4_000);
  const [order] = played.orders;
  played.scaler.recordNoneLeft(order!, 4_000);
  played.look(4_200, 4_200);
  assert.match(played.shown, /^a:8\+/);
  played.look(7_200, 7_400);
  assert.match(played.shown, /^a:12\+/);
});

test("a leader that follows another one goes on from its orders", () => {
  const first = new Played(standing());
  first.look(0, 4_000);
  const next = new Played(preemptible(12));
  next.orders = first.orders;
  next.look(10_000, 10_400);
  assert.equal(next.shown, "a:12+0 b:12+0 c:12+0");
});

test("bounds that contradict each other order nothing, and are told once", () => {
  const scaling = { ...SERVICE.scaling!, least: 9, most: 4 };
  const played = new Played(standing(), { ...SERVICE, scaling });
  played.look(0, 9_000);
  assert.deepEqual(played.orders, []);
  assert.deepEqual(played.events.map(({ name, fields }) => [name, fields]), [
    ["scaling_invalid", {
      place: "drafting.scaling",
      text: 'Needs whole numbers, "9" no more than "4"',
    }],
  ]);
});

test("orders of a service stay while its bounds are unsound", () => {
  const played = new Played(standing());
  played.look(0, 4_000);
  const before = played.shown;
  const scaling = { ...SERVICE.scaling!, prices: { a: NaN } };
  played.services = [{ ...SERVICE, scaling }];
  played.look(4_200, 6_000);
  assert.equal(played.shown, before);
});
