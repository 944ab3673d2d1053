import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Class, Row } from "@umbermast/table";
import { askOf } from "../../../tests/scheduling/ask_fixture.ts";
import {
  classOf,
  rowOf,
  tableOf,
} from "../../../tests/scheduling/table_fixture.ts";
import { FairQueue, type QueueBounds } from "./fair_queue.ts";
import { ALL_ENABLED } from "./switches.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

const WIDE: QueueBounds = { count: 10_000, bytes: 1e9, perWorkspace: 10_000 };

function waitingOf(fields: {
  readonly class: string;
  readonly workspace?: string;
  readonly cost?: number;
  readonly arrivedAt?: number;
  readonly startBy?: number;
}): WaitingAsk {
  return {
    ask: askOf({
      class: fields.class,
      workspace: fields.workspace ?? "member-1",
    }),
    entry: "entry-1",
    cost: fields.cost ?? 100,
    bytes: 100,
    arrivedAt: fields.arrivedAt ?? 0,
    deadlineAt: Infinity,
    startBy: fields.startBy ?? Infinity,
  };
}

function queueOf(
  options: {
    readonly bounds?: QueueBounds;
    readonly rows?: readonly Row[];
    readonly classes?: readonly Class[];
  } = {},
): FairQueue {
  const table = tableOf({
    rows: options.rows ?? [],
    ...(options.classes === undefined ? {} : { classes: options.classes }),
  });
  return new FairQueue(table, {
    switches: ALL_ENABLED,
    bounds: options.bounds ?? WIDE,
  });
}

function serve(queue: FairQueue): WaitingAsk {
  const flow = queue.order()[0]!;
  const head = queue.headOf(flow, 0)!;
  queue.dequeue(flow, head);
  return head;
}

test("sheds the newest ask of the lowest tier present", () => {
  const queue = queueOf({ bounds: { ...WIDE, count: 2 } });
  const older = waitingOf({ class: "cut-sheet", arrivedAt: 1 });
  const newer = waitingOf({ class: "cut-sheet", arrivedAt: 2 });
  queue.offer(older);
  queue.offer(newer);
  const offer = queue.offer(waitingOf({ class: "quote", arrivedAt: 3 }));
  assert.deepEqual(offer, { accepted: true, shed: [newer] });
});

test("sheds from the workspace with the largest backlog", () => {
  const queue = queueOf({ bounds: { ...WIDE, count: 3 } });
  const lone = waitingOf({ class: "quote", workspace: "small" });
  queue.offer(waitingOf({ class: "quote", workspace: "large", arrivedAt: 1 }));
  queue.offer(waitingOf({ class: "quote", workspace: "large", arrivedAt: 2 }));
  queue.offer(waitingOf({ class: "quote", workspace: "large", arrivedAt: 3 }));
  const offer = queue.offer(lone);
  assert.equal(offer.accepted, true);
  assert.equal(offer.shed[0]?.ask.workspace, "large");
});

test("serves workspaces by weight, and applies new weights at once", () => {
  const rows = [
    rowOf({ workspace: "a", weight: 3 }),
    rowOf({ workspace: "b", weight: 1 }),
  ];
  const queue = queueOf({ rows });
  for (let i = 0; i < 100; i++) {
    queue.offer(waitingOf({ class: "quote", workspace: "a", arrivedAt: i }));
    queue.offer(waitingOf({ class: "quote", workspace: "b", arrivedAt: i }));
  }
  const countA = () =>
    Array.from({ length: 40 }, () => serve(queue))
      .filter((served) => served.ask.workspace === "a").length;
  assert.equal(countA(), 30);
  queue.setTable(tableOf({ rows: rows.map((row) => ({ ...row, weight: 1 })) }));
  assert.equal(countA(), 20);
});

test("serves asks first that can still meet their target", () => {
  const queue = queueOf();
  const late = waitingOf({ class: "quote", arrivedAt: 1, startBy: 5 });
  const timely = waitingOf({ class: "quote", arrivedAt: 2, startBy: 50 });
  queue.offer(late);
  queue.offer(timely);
  assert.equal(queue.headOf(queue.order()[0]!, 10), timely);
});

test("prefers a waiting class below the slots of its minimum share", () => {
  const inUse = new Map([["quote", 19], ["cut-sheet", 1]]);
  const usage = {
    inFlight: 20,
    inFlightOf: (name: string) => inUse.get(name) ?? 0,
  };
  const queue = new FairQueue(tableOf(), { switches: ALL_ENABLED, usage });
  queue.offer(waitingOf({ class: "quote" }));
  queue.offer(waitingOf({ class: "cut-sheet" }));
  assert.equal(queue.order()[0]?.class, "cut-sheet");
  inUse.set("cut-sheet", 3);
  assert.equal(queue.order()[0]?.class, "quote");
});

const arbitraryClass = fc.constantFrom("quote", "query", "cut-sheet");

test("never sheds a higher tier before a lower one, and keeps its limits", () => {
  const offers = fc.array(
    fc.record({
      class: arbitraryClass,
      workspace: fc.constantFrom("a", "b", "c"),
      served: fc.boolean(),
    }),
    { maxLength: 200 },
  );
  fc.assert(
    fc.property(offers, (steps) => {
      const bounds = { count: 10, bytes: 900, perWorkspace: 4 };
      const queue = queueOf({ bounds });
      for (const [index, step] of steps.entries()) {
        const offer = queue.offer(waitingOf({ ...step, arrivedAt: index }));
        for (const shed of offer.shed) {
          const tier = queue.tierOf(shed.ask.class);
          for (const remaining of queue.all()) {
            assert.ok(queue.tierOf(remaining.ask.class) <= tier);
          }
        }
        assert.ok(queue.length <= bounds.count);
        if (step.served && queue.length > 0) serve(queue);
      }
    }),
    { seed: 1 },
  );
});

test("gives every waiting class its minimum share within four of its costs", () => {
  // All classes always have waiting asks. At any time, a class has received its
  // share of the service, short of at most the credit limit and one request for
  // each other class.
  const shares = fc.record({
    low: fc.double({ min: 0.01, max: 0.3, noNaN: true }),
    middle: fc.double({ min: 0.01, max: 0.3, noNaN: true }),
  });
  const costs = fc.array(fc.integer({ min: 1, max: 1_000 }), {
    minLength: 50,
    maxLength: 300,
  });
  fc.assert(
    fc.property(shares, costs, ({ low, middle }, drawnCosts) => {
      const classes = [
        classOf("quote", 0),
        classOf("query", 1, { minimumShare: middle }),
        classOf("cut-sheet", 2, { minimumShare: low }),
      ];
      const queue = queueOf({ classes });
      const served = new Map<string, number>();
      let total = 0;
      const refill = (index: number) => {
        for (const definition of classes) {
          if (
            queue.backlog({ workspace: "member-1", class: definition.name })
              .count > 0
          ) {
            continue;
          }
          const cost = drawnCosts[index % drawnCosts.length]!;
          queue.offer(
            waitingOf({ class: definition.name, cost, arrivedAt: index }),
          );
        }
      };
      for (let index = 0; index < drawnCosts.length; index++) {
        refill(index);
        const next = serve(queue);
        total += next.cost;
        const name = next.ask.class;
        served.set(name, (served.get(name) ?? 0) + next.cost);
        for (const definition of classes) {
          const deficit = definition.minimumShare * total -
            (served.get(definition.name) ?? 0);
          assert.ok(deficit <= 4_000, `${definition.name} lacks ${deficit}`);
        }
      }
    }),
    { seed: 1 },
  );
});
