import assert from "node:assert/strict";
import { test } from "node:test";
import type { Ask } from "./ask.ts";
import { deadlinePassed, refusalOf } from "./refusals.ts";

const ASK: Ask = {
  askId: "ask-1",
  requestId: "request-1",
  service: "drafting-llm",
  workspace: "member-1",
  class: "quote",
  promptTokens: 100,
  deadline: 1_000,
  excluded: [],
};

// A request's timeout expires at its broker and at its entry daemon at the same
// moment. On a busy machine the broker's refusal came first, and the caller got
// another message for the same failure.
test("broker and entry daemon refuse a timed-out ask with the same message", () => {
  const retryAfterMs = 1_000;
  assert.deepEqual(
    refusalOf(ASK, "deadline_passed", { retryAfterMs }),
    deadlinePassed(ASK, retryAfterMs),
  );
});
