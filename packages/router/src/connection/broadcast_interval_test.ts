import assert from "node:assert/strict";
import { test } from "node:test";
import { broadcastIntervalMs, propagationMs } from "./broadcast_interval.ts";
import type { IntervalInputs } from "./broadcast_interval.ts";

function momentOf(fields: Partial<IntervalInputs> = {}): IntervalInputs {
  return {
    peers: 3,
    relayed: true,
    domainSize: 39,
    unsent: { configuration: false, runners: false },
    requestsWaiting: false,
    ...fields,
  };
}

// A state wakes whoever is told. While runners have room, none needs to know at
// once what another one has sent; while requests wait, several want the same room.
test("while nothing waits, states are half as frequent", () => {
  const calm = broadcastIntervalMs(momentOf());
  assert.ok(
    calm >= 2 * broadcastIntervalMs(momentOf({ requestsWaiting: true })),
  );
});

// The operator edits the table while nothing is sent; what waits for the next
// state would be in force late at every daemon on the way.
test("a newer configuration does not wait for the pace of loads", () => {
  const newer = { configuration: true, runners: false };
  assert.ok(
    broadcastIntervalMs(momentOf({ unsent: newer })) <
      broadcastIntervalMs(momentOf({ requestsWaiting: true })),
  );
});

test("with more relays on the way a load takes longer to be known", () => {
  const small = propagationMs(momentOf({ domainSize: 12 }));
  const large = propagationMs(momentOf({ domainSize: 63 }));
  assert.ok(small < large && large <= 200, `${small}, ${large} ms`);
  assert.equal(propagationMs(momentOf({ peers: 0 })), 0);
});
