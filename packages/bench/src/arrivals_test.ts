import assert from "node:assert/strict";
import { test } from "node:test";
import { arrivals, type Mix, type Phase } from "./arrivals.ts";
import { mixOf } from "./arrivals_mixes.ts";

const COOPERATIVE = mixOf("cooperative");
const MIXES = [COOPERATIVE, mixOf("metro")];

const PHASES: readonly Phase[] = [
  { name: "calm", seconds: 60, factor: 1 },
  { name: "surge", seconds: 60, factor: 1, factors: { "cut-sheet": 4 } },
];

function rateOf(mix: Mix, options: { class: string; phase: string }): number {
  const own = arrivals(mix, { seed: 3, phases: PHASES }).filter((each) =>
    each.class === options.class && each.phase === options.phase
  );
  return own.length / 60;
}

test("the same seed gives the very same arrivals, another seed others", () => {
  for (const mix of MIXES) {
    const first = arrivals(mix, { seed: 7, phases: PHASES });
    assert.deepEqual(arrivals(mix, { seed: 7, phases: PHASES }), first);
    assert.notDeepEqual(arrivals(mix, { seed: 8, phases: PHASES }), first);
  }
});

test("arrivals are numbered in order of time and within their phase", () => {
  const sent = arrivals(COOPERATIVE, { seed: 1, phases: PHASES });
  sent.forEach((arrival, i) => assert.equal(arrival.index, i));
  for (let i = 1; i < sent.length; i++) {
    assert.ok((sent[i - 1]?.atMs ?? 0) <= (sent[i]?.atMs ?? 0));
  }
  for (const arrival of sent) {
    assert.equal(arrival.phase, arrival.atMs < 60_000 ? "calm" : "surge");
  }
});

test("a change of one class's rate leaves the others as they were", () => {
  const quotes = (phases: readonly Phase[]) =>
    arrivals(COOPERATIVE, { seed: 1, phases })
      .filter((arrival) => arrival.class === "quote")
      .map((arrival) => ({ ...arrival, index: 0 }));
  const calm = PHASES.map(({ name, seconds, factor }) => ({
    name,
    seconds,
    factor,
  }));
  assert.deepEqual(quotes(PHASES), quotes(calm));
});

test("rates follow the phases' factors", () => {
  const calm = rateOf(COOPERATIVE, { class: "quote", phase: "calm" });
  assert.ok(calm > 5.5 && calm < 8.5, `quotes a second: ${calm}`);
  const surge = rateOf(COOPERATIVE, { class: "cut-sheet", phase: "surge" });
  assert.ok(surge > 14 && surge < 26, `cut sheets a second: ${surge}`);
});

test("lengths stay within their bounds and vary", () => {
  const sent = arrivals(COOPERATIVE, { seed: 1, phases: PHASES })
    .filter((arrival) => arrival.class === "cut-sheet");
  const outputs = sent.map((arrival) => arrival.outputTokens);
  assert.ok(Math.min(...outputs) >= 80);
  assert.ok(Math.max(...outputs) <= 1_600);
  assert.ok(new Set(outputs).size > outputs.length / 4);
});
