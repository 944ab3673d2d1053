import assert from "node:assert/strict";
import { test } from "node:test";
import { PrefixIndex } from "./prefix_index.ts";

const PROMPT = [
  { id: "brief", tokens: 13_000 },
  { id: "own", tokens: 3_000 },
];

// A request was sent to a runner that has not prefilled it yet. Another runner
// that fetched from it would get nothing and prefill the prompt a second time.
test("a prompt can be fetched only once it is prefilled", () => {
  const index = new PrefixIndex();
  index.recordSent("r-1", PROMPT, 0);
  assert.equal(index.cachedTokens("r-1", PROMPT, 10), 13_000);
  assert.equal(index.fetchableTokens("r-1", PROMPT, 10), 0);
  index.recordPrefill("r-1", PROMPT, 20);
  assert.equal(index.fetchableTokens("r-1", PROMPT, 30), 13_000);
});

test("a part counts only if all parts before it are cached", () => {
  const index = new PrefixIndex();
  index.recordPrefill(
    "r-1",
    [{ id: "b", tokens: 5 }, { id: "x", tokens: 1 }],
    0,
  );
  const prompt = [{ id: "a", tokens: 7 }, { id: "b", tokens: 5 }];
  assert.equal(index.cachedTokens("r-1", prompt, 1), 0);
});

test("updates of another daemon count like own ones and are not sent again", () => {
  const near = new PrefixIndex();
  const far = new PrefixIndex();
  near.recordPrefill("r-1", PROMPT, 0);
  for (const update of near.takeUpdates()) far.applyUpdate(update, 5);
  assert.equal(far.fetchableTokens("r-1", PROMPT, 6), 13_000);
  assert.deepEqual(far.takeUpdates(), []);
  assert.deepEqual(near.takeUpdates(), []);
});

test("parts expire", () => {
  const index = new PrefixIndex();
  index.recordSent("r-1", PROMPT, 0);
  assert.equal(index.cachedTokens("r-1", PROMPT, 6_000), 0);
  index.recordPrefill("r-1", PROMPT, 6_000);
  assert.equal(index.cachedTokens("r-1", PROMPT, 31_000), 13_000);
  assert.equal(index.cachedTokens("r-1", PROMPT, 40_000), 0);
});

// Guards against a heap that grows to its bound with the number of runners.
test("the parts of all runners together are bounded", () => {
  const index = new PrefixIndex();
  const parts = Array.from({ length: 1_001 }, (_, part) => ({
    id: `part-${part}`,
    tokens: 16,
  }));
  for (let runner = 0; runner < 300; runner += 1) {
    index.recordPrefill(`r-${runner}`, parts, 0);
  }
  const counts = index.snapshot().map(({ parts }) => parts.length);
  const total = counts.reduce((sum, count) => sum + count, 0);
  assert.ok(total <= 100_000, `${total} parts`);
  assert.equal(counts.at(-1), 1_000);
});

test("an id that is too long is not kept", () => {
  const index = new PrefixIndex();
  const prompt = [{ id: "a".repeat(1_000), tokens: 16 }];
  index.recordCached("r-1", prompt, 0);
  assert.equal(index.cachedTokens("r-1", prompt, 1), 0);
});
