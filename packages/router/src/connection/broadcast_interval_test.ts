import assert from "node:assert/strict";
import { test } from "node:test";
import { broadcastIntervalMs, propagationMs } from "./broadcast_interval.ts";
import type { IntervalInputs } from "./broadcast_interval.ts";

function inputsOf(fields: Partial<IntervalInputs> = {}): IntervalInputs {
  return {
    peers: 3,
    relayed: true,
    domainSize: 39,
    unsent: { configuration: false, runners: false },
    requestsWaiting: false,
    ...fields,
  };
}

// Each update costs its receivers CPU time. While runners have capacity,
// daemons need not see each other's loads at once; while requests wait, they
// compete for capacity.
test("while no requests wait, updates are half as frequent", () => {
  const idle = broadcastIntervalMs(inputsOf());
  assert.ok(
    idle >= 2 * broadcastIntervalMs(inputsOf({ requestsWaiting: true })),
  );
});

// Guards against a new configuration that takes effect late at every daemon on
// the path, because it waits for the next load update while no requests are
// sent.
test("a newer configuration does not wait for the interval of loads", () => {
  const newer = { configuration: true, runners: false };
  assert.ok(
    broadcastIntervalMs(inputsOf({ unsent: newer })) <
      broadcastIntervalMs(inputsOf({ requestsWaiting: true })),
  );
});

test("with more relays on the path a load takes longer to propagate", () => {
  const small = propagationMs(inputsOf({ domainSize: 12 }));
  const large = propagationMs(inputsOf({ domainSize: 63 }));
  assert.ok(small < large && large <= 200, `${small}, ${large} ms`);
  assert.equal(propagationMs(inputsOf({ peers: 0 })), 0);
});
