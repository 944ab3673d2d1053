import assert from "node:assert/strict";
import { test } from "node:test";
import { PrefixIndex } from "./prefix_index.ts";

const PROMPT = [
  { id: "brief", tokens: 13_000 },
  { id: "own", tokens: 3_000 },
];

// A request was sent to a runner that has not prefilled it yet. Another runner that
// fetched from it would get nothing and prefill the prompt a second time.
test("a prompt can be fetched only once it is prefilled", () => {
  const record = new PrefixIndex();
  record.recordSent("r-1", PROMPT, 0);
  assert.equal(record.cachedTokens("r-1", PROMPT, 10), 13_000);
  assert.equal(record.fetchableTokens("r-1", PROMPT, 10), 0);
  record.recordRead("r-1", PROMPT, 20);
  assert.equal(record.fetchableTokens("r-1", PROMPT, 30), 13_000);
});

test("a part counts only if all parts before it are cached", () => {
  const record = new PrefixIndex();
  record.recordRead("r-1", [{ id: "b", tokens: 5 }, { id: "x", tokens: 1 }], 0);
  const prompt = [{ id: "a", tokens: 7 }, { id: "b", tokens: 5 }];
  assert.equal(record.cachedTokens("r-1", prompt, 1), 0);
});

test("updates of another daemon count like own ones and are not sent again", () => {
  const near = new PrefixIndex();
  const far = new PrefixIndex();
  near.recordRead("r-1", PROMPT, 0);
  for (const news of near.takeUpdates()) far.applyUpdate(news, 5);
  assert.equal(far.fetchableTokens("r-1", PROMPT, 6), 13_000);
  assert.deepEqual(far.takeUpdates(), []);
  assert.deepEqual(near.takeUpdates(), []);
});

test("parts expire", () => {
  const record = new PrefixIndex();
  record.recordSent("r-1", PROMPT, 0);
  assert.equal(record.cachedTokens("r-1", PROMPT, 6_000), 0);
  record.recordRead("r-1", PROMPT, 6_000);
  assert.equal(record.cachedTokens("r-1", PROMPT, 31_000), 13_000);
  assert.equal(record.cachedTokens("r-1", PROMPT, 40_000), 0);
});
