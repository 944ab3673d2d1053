import assert from "node:assert/strict";
import { test } from "node:test";
import { INITIAL_STATE } from "./leader_record.ts";
import { boundedState } from "./leader_state_bounds.ts";

const COUNT = 100_000;

function listOf<T>(create: (at: number) => T): readonly T[] {
  return Array.from({ length: COUNT }, (_, at) => create(at));
}

// Guards against a leader that stands still over a record of another writer.
test("the lists of a record are bounded", () => {
  const bounded = boundedState({
    ...INITIAL_STATE,
    reports: listOf((window) => ({
      window,
      counts: {},
      accepted: window % 2 === 0,
      held: true as const,
    })),
    checkpoint: {
      lives: listOf(String),
      windows: listOf((window) => ({
        window: COUNT - window,
        counts: {},
        carried: ["a"],
      })),
    },
    orders: listOf((at) => ({
      service: "drafting",
      failureDomain: String(at),
      preemptible: true,
      runners: 1,
    })),
  });
  const { reports, checkpoint, orders } = bounded;
  assert.equal(reports.length, 26);
  assert.equal(reports.at(-1)?.window, COUNT - 1);
  assert.equal(checkpoint.windows.length, 24);
  assert.equal(checkpoint.windows.at(-1)?.window, COUNT);
  assert.equal(checkpoint.lives.length, 4_096);
  assert.equal(orders.length, 4_096);
});

test("an ordinary state is left as it is", () => {
  const state = {
    nextWindow: 7,
    open: [3],
    reports: [{ window: 2, counts: { fitters: 1 }, accepted: false }],
    checkpoint: { lives: ["a"], windows: [{ window: 3, counts: {} }] },
    orders: [],
  };
  assert.deepEqual(boundedState(state), state);
});
