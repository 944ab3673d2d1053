// Invariant: at any time the allowances of all holders of a limit add up to at
// most the limit, whichever messages are lost, delayed or reordered, however
// many processes believe that they own it, and whenever they restart.
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
  /** Delivers a message in flight; with `again`, it stays in flight. */
  | {
    readonly type: "deliver";
    readonly index: number;
    readonly again: boolean;
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
      again: fc.boolean(),
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
  readonly report: number;
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
class Fleet {
  readonly clock = new FakeClock();
  readonly #holdings = Array.from(
    { length: HOLDERS },
    () => new ShareHolding(TOTAL / HOLDERS, TIMES),
  );
  readonly #owners = new Map<string, ShareOwner>();
  readonly #stamps = new Map<string, OwnerTimestamp>();
  readonly #inFlight: (ReportInFlight | ResponseInFlight)[] = [];
  #reports = 0;

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
        return this.#deliver(step.index, step.again);
      case "restart":
        return this.#restart(OWNERS[step.owner] ?? "");
    }
  }

  report(holder: number, owner: string): void {
    const sentAt = this.clock.monotonic();
    const offer = this.#holdings[holder]?.offer(owner, sentAt);
    if (offer === undefined) return;
    const stamp = this.#stamps.get(`${holder}/${owner}`);
    const offers = [{ limit: "l", holder: `h${holder}`, ...offer }];
    const body = stamp === undefined ? { offers } : { stamp, offers };
    const report = this.#reports += 1;
    this.#inFlight.push({
      kind: "report",
      holder,
      owner,
      report,
      sentAt,
      body,
    });
  }

  #exchange(holder: number, owner: string): void {
    this.report(holder, owner);
    this.#deliver(this.#inFlight.length - 1, false);
    this.#deliver(this.#inFlight.length - 1, false);
  }

  exchange(holder: number): void {
    this.#exchange(holder, "x");
  }

  deliverAll(): void {
    while (this.#inFlight.length > 0) this.#deliver(0, false);
  }

  #deliver(choice: number, again: boolean): void {
    if (this.#inFlight.length === 0) return;
    const index = choice % this.#inFlight.length;
    const message = this.#inFlight[index];
    if (message === undefined) return;
    if (!again) this.#inFlight.splice(index, 1);
    const { holder, owner, report, sentAt } = message;
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
    this.#holdings[holder]?.applyGrant(owner, { report, sentAt, granted });
  }

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
      const fleet = new Fleet();
      for (const step of steps) {
        fleet.perform(step);
        const total = sum(fleet.allowances());
        assert.ok(total <= TOTAL + 1e-6, `${total} of ${TOTAL}`);
      }
    }),
    { seed: 7, numRuns: 3_000 },
  );
});

test("a holder with demand gets what the others do not use", () => {
  const fleet = new Fleet();
  fleet.perform({ type: "demand", holder: 0, amount: 200 });
  for (let round = 0; round < 4; round += 1) {
    for (let holder = 0; holder < HOLDERS; holder += 1) {
      fleet.report(holder, "x");
    }
    fleet.deliverAll();
    fleet.clock.advance(TIMES.periodMs);
  }
  const allowances = fleet.allowances();
  assert.ok((allowances[0] ?? 0) > 90, allowances.join(" "));
});

test("two holders with demand evenly share what the others do not use", () => {
  const fleet = new Fleet();
  fleet.perform({ type: "demand", holder: 0, amount: 200 });
  fleet.perform({ type: "demand", holder: 1, amount: 200 });
  for (let round = 0; round < 12; round += 1) {
    for (let holder = 0; holder < HOLDERS; holder += 1) {
      fleet.report(holder, "x");
    }
    fleet.deliverAll();
    fleet.clock.advance(TIMES.periodMs);
  }
  const [first = 0, second = 0] = fleet.allowances();
  assert.ok(Math.abs(first - second) < 1, `${first} and ${second}`);
  assert.ok(first > 45, `${first}`);
});

test("allowances return to the floor when the owner fails", () => {
  // The owner fails while grants are outstanding, and none replaces it. Holders
  // that yielded must get their floor back, but not before the grants expire.
  const fleet = new Fleet();
  fleet.perform({ type: "demand", holder: 0, amount: 200 });
  for (let round = 0; round < 4; round += 1) {
    for (let holder = 0; holder < HOLDERS; holder += 1) {
      fleet.report(holder, "x");
    }
    fleet.deliverAll();
    fleet.clock.advance(TIMES.periodMs);
  }
  fleet.clock.advance(TIMES.grantMs);
  assert.equal(fleet.allowances()[0], TOTAL / HOLDERS);
  fleet.clock.advance(TIMES.yieldMs);
  assert.deepEqual(fleet.allowances(), Array(HOLDERS).fill(TOTAL / HOLDERS));
});

test("a yield that arrives after its expiry backs no grant", () => {
  // A holder yields, but its report is delayed, and it takes its floor back
  // when the yield expires. Then the report arrives. If the owner counted the
  // yield from the arrival, it would grant an allowance that the holder uses
  // again.
  const fleet = new Fleet();
  fleet.perform({ type: "demand", holder: 0, amount: 200 });
  fleet.exchange(1);
  fleet.report(1, "x");
  fleet.clock.advance(TIMES.yieldMs);
  fleet.deliverAll();
  fleet.exchange(0);
  fleet.exchange(0);
  assert.deepEqual(fleet.allowances(), Array(HOLDERS).fill(TOTAL / HOLDERS));
});
