import assert from "node:assert/strict";
import { test } from "node:test";
import { periodMs, settleMs } from "./sharing_pace.ts";
import type { SharingMoment } from "./sharing_pace.ts";

function momentOf(fields: Partial<SharingMoment> = {}): SharingMoment {
  return {
    peers: 3,
    relayed: true,
    domainSize: 39,
    newer: { configuration: false, runners: false },
    waits: false,
    ...fields,
  };
}

// A state wakes whoever is told. While runners have room, none needs to know at
// once what another one has sent; while requests wait, several want the same room.
test("while nothing waits, states are half as frequent", () => {
  const calm = periodMs(momentOf());
  assert.ok(calm >= 2 * periodMs(momentOf({ waits: true })));
});

// The operator edits the table while nothing is sent; what waits for the next
// state would be in force late at every daemon on the way.
test("a newer configuration does not wait for the pace of loads", () => {
  const newer = { configuration: true, runners: false };
  assert.ok(
    periodMs(momentOf({ newer })) < periodMs(momentOf({ waits: true })),
  );
});

test("with more relays on the way a load takes longer to be known", () => {
  const small = settleMs(momentOf({ domainSize: 12 }));
  const large = settleMs(momentOf({ domainSize: 63 }));
  assert.ok(small < large && large <= 200, `${small}, ${large} ms`);
  assert.equal(settleMs(momentOf({ peers: 0 })), 0);
});
