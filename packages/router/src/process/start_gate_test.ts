import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { StartGate } from "./start_gate.ts";

function openedAt(
  t: { after(run: () => void): void },
  gate: StartGate,
  options: {
    readonly relies: boolean;
    readonly events?: Readonly<Record<number, () => void>>;
  },
): Promise<number> {
  const { relies, events = {} } = options;
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  let opened = -1;
  let now = 0;
  void gate.wait(() => relies).then(() => {
    opened = now;
  });
  return (async () => {
    for (now = 1; now < 500 && opened < 0; now++) {
      events[now]?.();
      mock.timers.tick(1);
      await Promise.resolve();
    }
    return opened;
  })();
}

test("a daemon without neighbours reads the store after 40 ms at most", async (t) => {
  const at = await openedAt(t, new StartGate(), { relies: false });
  assert.ok(at <= 40, `${at} ms`);
});

// Neighbours may offer data that they cannot deliver, because their store is
// down or the link breaks. This must not leave a daemon without a
// configuration.
test("an unfulfilled offer delays the read of the store only briefly", async (t) => {
  const gate = new StartGate();
  const events = {
    10: () => gate.recordOffer(),
    100: () => gate.recordOffer(),
  };
  const at = await openedAt(t, gate, { relies: true, events });
  assert.ok(at <= 170, `${at} ms`);
});

test("a daemon that has received all data stops waiting", async (t) => {
  const gate = new StartGate();
  const at = await openedAt(t, gate, {
    relies: true,
    events: { 12: () => gate.open() },
  });
  assert.ok(at <= 13, `${at} ms`);
});
