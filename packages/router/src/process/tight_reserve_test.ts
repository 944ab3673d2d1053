import assert from "node:assert/strict";
import { test } from "node:test";
import { TightReserve } from "./tight_reserve.ts";
import type { ReserveInput } from "./tight_reserve.ts";

const MOST = 19;
const SECOND_MS = 1_000;

/** Sizes in each second of a span, for a number of tight streams by second. */
function sizes(
  reserve: TightReserve,
  span: { readonly from: number; readonly to: number },
  streamsAt: (second: number) => number,
  fields: Partial<ReserveInput> = {},
): readonly number[] {
  const { from, to } = span;
  return Array.from({ length: to - from }, (_, index) => {
    const now = (from + index) * SECOND_MS;
    for (let ended = 0; ended < 2; ended += 1) {
      reserve.recordEnd({ durationMs: 1_200, prefillTokens: 1_110 }, now);
    }
    return reserve.size({
      needed: true,
      most: MOST,
      streams: streamsAt(from + index),
      slots: 64,
      msPerToken: 1 / 38,
      ...fields,
    }, now);
  });
}

// Guards against 0.3 of all engines that are held back at any demand, and against
// a reserve that is too small when urgent streams come in a burst.
test("the reserve follows the demand of tight streams", () => {
  const reserve = new TightReserve();
  const usual = sizes(reserve, { from: 0, to: 30 }, () => 70);
  assert.ok(usual.at(-1)! >= 6 && usual.at(-1)! <= 11, usual.join(" "));
  const burst = sizes(reserve, { from: 30, to: 38 }, () => 200);
  assert.ok(burst[0]! > usual.at(-1)!, burst.join(" "));
  assert.equal(burst[2], MOST, burst.join(" "));
  const after = sizes(reserve, { from: 38, to: 70 }, () => 70);
  assert.ok(after.slice(0, 5).every((size) => size === MOST));
  assert.equal(after.at(-1), usual.at(-1));
});

// Guards against home runners that change each second.
test("a demand that varies by a third keeps the reserve at its peak", () => {
  const reserve = new TightReserve();
  sizes(reserve, { from: 0, to: 30 }, () => 70);
  const varying = sizes(
    reserve,
    { from: 30, to: 90 },
    (second) => 60 + 5 * (second % 5),
  );
  const settled = new Set(varying.slice(5));
  assert.equal(settled.size, 1, varying.join(" "));
});

test("no engine is reserved soon after prompts disturb no stream", () => {
  const reserve = new TightReserve();
  sizes(reserve, { from: 0, to: 10 }, () => 70);
  const released = sizes(reserve, { from: 10, to: 15 }, () => 70, {
    needed: false,
  });
  assert.ok(released[0]! > 0);
  assert.equal(released.at(-1), 0);
  assert.equal(reserve.arriving(15 * SECOND_MS), true);
  sizes(reserve, { from: 15, to: 60 }, () => 0);
  assert.equal(reserve.arriving(60 * SECOND_MS), false);
});

test("at least one engine is reserved while streams may arrive, and none of one", () => {
  const reserve = new TightReserve();
  assert.equal(sizes(reserve, { from: 0, to: 60 }, () => 0).at(-1), 1);
  const single = sizes(new TightReserve(), { from: 0, to: 9 }, () => 9, {
    most: 0,
  });
  assert.equal(single.at(-1), 0);
});
