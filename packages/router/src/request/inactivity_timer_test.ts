import assert from "node:assert/strict";
import { test } from "node:test";
import { waitUntil } from "../../tests/fixtures.ts";
import { InactivityTimer } from "./inactivity_timer.ts";

/** Time in ms after which a timer of 1 ms would have elapsed again. */
const LATER_MS = 50;

// Guards against the timer of an attempt that is over, restarted by its buffer.
test("a timer that was stopped after it elapsed does not start again", async () => {
  let elapsed = 0;
  const timer = new InactivityTimer(() => elapsed += 1);
  timer.restart(1);
  await waitUntil(() => elapsed === 1);
  timer.stop();
  timer.restart(1);
  await new Promise<void>((resolve) =>
    new InactivityTimer(resolve).restart(LATER_MS)
  );
  assert.equal(elapsed, 1);
});

// Guards against a timer that its own callback cannot start again.
test("a timer that elapsed starts again", async () => {
  let elapsed = 0;
  const timer = new InactivityTimer(() => elapsed += 1);
  timer.restart(1);
  await waitUntil(() => elapsed === 1);
  timer.restart(1);
  await waitUntil(() => elapsed === 2);
});
