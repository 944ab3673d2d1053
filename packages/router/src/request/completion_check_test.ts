import assert from "node:assert/strict";
import { test } from "node:test";
import { StreamPace } from "../process/stream_pace.ts";
import { finishesInTime } from "./completion_check.ts";

const EVENT_TOKENS = 5;

/** Returns a pace that has recorded events `ms` apart, until `until`. */
function paceOf(runner: string, ms: number, until: number): StreamPace {
  const pace = new StreamPace();
  for (let now = 0; now <= until; now += ms) {
    pace.record(runner, { ms, tokens: EVENT_TOKENS, now });
  }
  return pace;
}

function responseOf(tokens: number, msPerToken: number | undefined) {
  return {
    remainingMs: 8_000,
    prefillMs: 60,
    outputTokens: tokens,
    lessUrgentRanks: 0,
    msPerToken,
  };
}

// Guards against long responses that are cut off at their callers' deadlines.
// Engines prefill a burst of prompts back to back, and a token takes 40 ms
// instead of 8. A long response is refused at once; short ones, and long ones
// before and after the burst, are served.
test("a long response is refused where it cannot finish in time", () => {
  const calm = paceOf("r", 8 * EVENT_TOKENS, 2_000).msPerToken("r", 2_000);
  const burst = paceOf("r", 40 * EVENT_TOKENS, 4_000).msPerToken("r", 4_000);
  assert.equal(finishesInTime(responseOf(300, calm)), true);
  assert.equal(finishesInTime(responseOf(300, burst)), false);
  assert.equal(finishesInTime(responseOf(100, burst)), true);
});

// In the same burst, an urgent response appears to need half again as much time
// as there is. If it is refused, the less urgent prompts that slow down its
// runner go on. They are refused before it, and the pace recovers.
test("an urgent response is not refused because of less urgent load", () => {
  const response = { ...responseOf(300, 40) };
  assert.equal(finishesInTime(response), false);
  assert.equal(finishesInTime({ ...response, lessUrgentRanks: 2 }), true);
});

test("no response is refused before a pace is known", () => {
  const pace = new StreamPace();
  assert.equal(finishesInTime(responseOf(300, pace.msPerToken("r", 0))), true);
});

test("the pace of one runner does not affect that of another", () => {
  const pace = paceOf("slow", 40 * EVENT_TOKENS, 4_000);
  for (let now = 0; now <= 4_000; now += 40) {
    pace.record("fast", { ms: 40, tokens: EVENT_TOKENS, now });
  }
  assert.ok(pace.msPerToken("slow", 4_000)! > 25);
  assert.ok(pace.msPerToken("fast", 4_000)! < 12);
});
