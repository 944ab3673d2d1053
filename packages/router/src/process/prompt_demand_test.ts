import assert from "node:assert/strict";
import { test } from "node:test";
import { PromptDemand } from "./prompt_demand.ts";
import { SpeedClasses } from "./speed_classes.ts";

/** Share of the work that one of 40 runners may have as a home. */
const HOME_SHARE = 1.25 / 40;
/** Time between two requests that one daemon of a large fleet sees, in ms. */
const INTERVAL_MS = 400;

/** Requests of which a share, in hundredths, has the same shared part. */
function play(
  demand: PromptDemand,
  span: { readonly from: number; readonly to: number },
  hot: number,
): readonly number[] {
  const homes: number[] = [];
  for (let now = span.from; now < span.to; now += INTERVAL_MS) {
    const draw = now / INTERVAL_MS * 37 % 100;
    demand.record(draw < hot ? "hot" : `t-${draw}`, 3_720, now);
    homes.push(demand.homes("hot", HOME_SHARE, now));
  }
  return homes;
}

// Guards against one prompt that draws 0.29 of the requests to one home runner.
test("a hot prompt gets more homes, and fewer again afterwards", () => {
  const demand = new PromptDemand();
  assert.equal(demand.homes("hot", HOME_SHARE, 0), 1);
  const during = play(demand, { from: 0, to: 60_000 }, 29);
  assert.ok([8, 16].includes(during.at(-1)!), during.join(" "));
  assert.ok(during.findIndex((homes) => homes > 1) < 60, "within 24 s");
  const after = play(demand, { from: 60_000, to: 240_000 }, 0);
  assert.equal(after.at(-1), 1);
  assert.equal(demand.homes("t-50", HOME_SHARE, 240_000), 1);
});

// Guards against homes that change with each request, which copies the prompt.
test("the number of homes changes seldom", () => {
  const demand = new PromptDemand();
  play(demand, { from: 0, to: 40_000 }, 29);
  const homes = play(demand, { from: 40_000, to: 160_000 }, 29);
  const changes = homes.filter((count, index) =>
    index > 0 && count !== homes[index - 1]
  );
  assert.ok(changes.length <= 2, `${changes.length} changes`);
});

test("prompts that are not requested any more are forgotten", () => {
  const demand = new PromptDemand();
  for (let request = 0; request < 2_000; request += 1) {
    demand.record("old", 3_720, 0);
  }
  for (let part = 0; part < 600; part += 1) demand.record(`t-${part}`, 1, 1);
  assert.equal(demand.homes("old", HOME_SHARE, 1), 1);
  assert.equal(demand.size, 500);
});

// Guards against prompts that move while an estimate varies by a few percent.
test("a class of speed holds while the estimate varies", () => {
  const classes = new SpeedClasses();
  const slow = classes.speed("a", 1.6);
  assert.ok(slow < 0.7 && slow > 0.55);
  for (const factor of [1.5, 1.7, 1.45]) {
    assert.equal(classes.speed("a", factor), slow);
  }
  assert.equal(classes.speed("a", 1), 1);
  assert.ok(classes.speed("b", 0.7) > 1.3);
});
