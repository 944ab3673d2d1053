// Invariant: at any time the allowances of all holders of a limit add up to at
// most the limit, whichever messages are lost, delayed or reordered, however
// many processes act as the limit's owner, which divides it among its holders,
// and whenever they restart.
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ShareHolding } from "../src/process/share_holding.ts";
import { decodeResponse } from "../src/process/share_message.ts";
import type {
  GrantResponse,
  OwnerTimestamp,
  ShareReport,
} from "../src/process/share_message.ts";
import { ShareOwner } from "../src/process/share_owner.ts";
import { FakeClock } from "../src/testing/mod.ts";

const TOTAL = 100;
const HOLDERS = 3;
const OWNERS = ["x", "y"];
const TIMES = { periodMs: 500, yieldMs: 5_000, grantMs: 2_000 };

type Step =
  | { readonly type: "wait"; readonly ms: number }
  | {
    readonly type: "demand";
    readonly holder: number;
    readonly amount: number;
  }
  | { readonly type: "report"; readonly holder: number; readonly owner: number }
  /**
   * Delivers a message in flight. With `duplicate`, it stays in flight and may be
   * delivered again.
   */
  | {
    readonly type: "deliver";
    readonly index: number;
    readonly duplicate: boolean;
  }
  /** Delivers a report and its response, without loss or delay. */
  | {
    readonly type: "exchange";
    readonly holder: number;
    readonly owner: number;
  }
  | { readonly type: "restart"; readonly owner: number };

const holder = fc.nat(HOLDERS - 1);
const owner = fc.nat(OWNERS.length - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant("wait" as const),
      ms: fc.constantFrom(1, 100, 500, 1_500),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant("demand" as const),
      holder,
      // 0 is twice as likely, since holders without demand yield.
      amount: fc.constantFrom(0, 0, 10, 30, 200),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant("report" as const),
      holder,
      owner,
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      type: fc.constant("exchange" as const),
      holder,
      owner,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant("deliver" as const),
      index: fc.nat(),
      duplicate: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant("restart" as const), owner }),
  },
);

interface ReportInFlight {
  readonly kind: "report";
  readonly holder: number;
  readonly owner: string;
  readonly reportNumber: number;
  readonly sentAt: number;
  readonly body: ShareReport;
}

interface ResponseInFlight extends Omit<ReportInFlight, "kind" | "body"> {
  readonly kind: "response";
  readonly response: GrantResponse;
}

/**
 * Holders, owners and the messages in flight between them, driven step by step.
 */
class LimitSimulation {
  readonly clock = new FakeClock();
  readonly #holdings = Array.from(
    { length: HOLDERS },
    () => new ShareHolding(TOTAL / HOLDERS, TIMES),
  );
  readonly #owners = new Map<string, ShareOwner>();
  /**
   * The latest timestamp from an owner to a holder, by `holder/owner`; the
   * holder's next report repeats it.
   */
  readonly #stamps = new Map<string, OwnerTimestamp>();
  readonly #inFlight: (ReportInFlight | ResponseInFlight)[] = [];
  #lastReportNumber = 0;

  constructor() {
    for (const name of OWNERS) this.#restart(name);
  }

  allowances(): readonly number[] {
    const now = this.clock.monotonic();
    return this.#holdings.map((holding) => holding.allowance(now));
  }

  perform(step: Step): void {
    switch (step.type) {
      case "wait":
        return this.clock.advance(step.ms);
      case "demand":
        return this.#holdings[step.holder]?.setDemand(step.amount);
      case "report":
        return this.report(step.holder, OWNERS[step.owner] ?? "");
      case "exchange":
        return this.#exchange(step.holder, OWNERS[step.owner] ?? "");
      case "deliver":
        return this.#deliver(step.index, step.duplicate);
      case "restart":
        return this.#restart(OWNERS[step.owner] ?? "");
    }
  }

  report(holder: number, owner: string): void {
    const sentAt = this.clock.monotonic();
    // What the holder yields and wants.
    const offer = this.#holdings[holder]?.offer(owner, sentAt);
    if (offer === undefined) return;
    const stamp = this.#stamps.get(`${holder}/${owner}`);
    const offers = [{ limit: "l", holder: `h${holder}`, ...offer }];
    const body = stamp === undefined ? { offers } : { stamp, offers };
    const reportNumber = this.#lastReportNumber += 1;
    this.#inFlight.push({
      kind: "report",
      holder,
      owner,
      reportNumber,
      sentAt,
      body,
    });
  }

  #exchange(holder: number, owner: string): void {
    this.report(holder, owner);
    // Delivers the report, and then its response.
    this.#deliver(this.#inFlight.length - 1, false);
    this.#deliver(this.#inFlight.length - 1, false);
  }

  exchangeWithFirstOwner(holder: number): void {
    this.#exchange(holder, "x");
  }

  deliverAll(): void {
    while (this.#inFlight.length > 0) this.#deliver(0, false);
  }

  /** Delivers a message in flight; `position` is taken modulo their number. */
  #deliver(position: number, duplicate: boolean): void {
    if (this.#inFlight.length === 0) return;
    const index = position % this.#inFlight.length;
    const message = this.#inFlight[index];
    if (message === undefined) return;
    if (!duplicate) this.#inFlight.splice(index, 1);
    const { holder, owner, reportNumber, sentAt } = message;
    if (message.kind === "report") {
      const response = decodeResponse(
        this.#owners.get(owner)?.handleReport(message.body),
      );
      assert.ok(response);
      const { body: _, ...rest } = message;
      this.#inFlight.push({ ...rest, kind: "response", response });
      return;
    }
    this.#stamps.set(`${holder}/${owner}`, message.response.stamp);
    const granted = message.response.grants[0] ?? 0;
    this.#holdings[holder]?.applyGrant(owner, {
      report: reportNumber,
      sentAt,
      granted,
    });
  }

  /** Restarts an owner, which forgets its grants. */
  #restart(name: string): void {
    this.#owners.set(name, new ShareOwner(this.clock, TIMES));
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

test("allowances never add up to more than the limit", () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 20, maxLength: 200 }), (steps) => {
      const simulation = new LimitSimulation();
      for (const step of steps) {
        simulation.perform(step);
        const total = sum(simulation.allowances());
        assert.ok(
          total <= TOTAL + 1e-6,
          `allowances add up to ${total}, limit ${TOTAL}`,
        );
      }
    }),
    { seed: 7, numRuns: 3_000 },
  );
});

test("a holder with demand gets what the others do not use", () => {
  const simulation = new LimitSimulation();
  simulation.perform({ type: "demand", holder: 0, amount: 200 });
  for (let round = 0; round < 4; round += 1) {
    for (let holder = 0; holder < HOLDERS; holder += 1) {
      simulation.report(holder, "x");
    }
    simulation.deliverAll();
    simulation.clock.advance(TIMES.periodMs);
  }
  const allowances = simulation.allowances();
  // The limit less the tenth of their floors that the other two never yield.
  assert.ok((allowances[0] ?? 0) > 90, allowances.join(" "));
});

test("two holders with demand evenly share what the others do not use", () => {
  const simulation = new LimitSimulation();
  simulation.perform({ type: "demand", holder: 0, amount: 200 });
  simulation.perform({ type: "demand", holder: 1, amount: 200 });
  for (let round = 0; round < 12; round += 1) {
    for (let holder = 0; holder < HOLDERS; holder += 1) {
      simulation.report(holder, "x");
    }
    simulation.deliverAll();
    simulation.clock.advance(TIMES.periodMs);
  }
  const [first = 0, second = 0] = simulation.allowances();
  assert.ok(Math.abs(first - second) < 1, `${first} and ${second}`);
  // Half of the limit less the tenth of its floor that the third never yields.
  assert.ok(first > 45, `${first}`);
});

test("allowances return to each holder's floor when the owner fails", () => {
  // No report reaches an owner after these rounds, as if the owner had failed
  // while grants were outstanding and no other had replaced it. Holders that
  // yielded must get their floor back, the limit divided by the number of
  // holders, but not before the grants expire.
  const simulation = new LimitSimulation();
  simulation.perform({ type: "demand", holder: 0, amount: 200 });
  for (let round = 0; round < 4; round += 1) {
    for (let holder = 0; holder < HOLDERS; holder += 1) {
      simulation.report(holder, "x");
    }
    simulation.deliverAll();
    simulation.clock.advance(TIMES.periodMs);
  }
  simulation.clock.advance(TIMES.grantMs);
  assert.equal(simulation.allowances()[0], TOTAL / HOLDERS);
  simulation.clock.advance(TIMES.yieldMs);
  assert.deepEqual(
    simulation.allowances(),
    Array(HOLDERS).fill(TOTAL / HOLDERS),
  );
});

test("an amount whose yield expired before the report arrived is not granted", () => {
  // A holder yields, but its report is delayed, and it takes its floor back
  // when the yield expires. Then the report arrives. If the owner measured the
  // yield time from the arrival, it would grant an amount that the holder is
  // using again.
  const simulation = new LimitSimulation();
  simulation.perform({ type: "demand", holder: 0, amount: 200 });
  simulation.exchangeWithFirstOwner(1);
  simulation.report(1, "x");
  simulation.clock.advance(TIMES.yieldMs);
  simulation.deliverAll();
  simulation.exchangeWithFirstOwner(0);
  simulation.exchangeWithFirstOwner(0);
  assert.deepEqual(
    simulation.allowances(),
    Array(HOLDERS).fill(TOTAL / HOLDERS),
  );
});
