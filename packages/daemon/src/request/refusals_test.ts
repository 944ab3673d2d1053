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

// A request's timeout ends at its broker and at its entry at the same moment. On
// a busy machine the broker's word came first, and the caller read another
// message for the same end than on a quiet one.
test("a timeout reads the same, whoever notices it first", () => {
  const retryAfterMs = 1_000;
  assert.deepEqual(
    refusalOf(ASK, "deadline_passed", { retryAfterMs }),
    deadlinePassed(ASK, retryAfterMs),
  );
});
