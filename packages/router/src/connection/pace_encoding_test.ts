import assert from "node:assert/strict";
import { test } from "node:test";
import { testUpdate } from "../../tests/fixtures.ts";
import { NO_SUMS } from "../process/pace_sums.ts";
import { packMessage, unpackMessage } from "./peer_encoding.ts";
import type { PaceAge, StateUpdate } from "./peer_message.ts";

const PACE: PaceAge = {
  runner: "i-1~k",
  sums: { ...NO_SUMS, promptMs: 120.25, promptTokens: 3_720, stepMs: 44.5 },
  stated: { hundredths: 170, agoMs: 30 },
};
const PACES = 15;

function sent(paces: readonly PaceAge[]): readonly unknown[] {
  return packMessage(testUpdate({ paces })) as readonly unknown[];
}

test("paces are the optional field at position 6, and absent where there are none", () => {
  assert.equal(sent([]).length, 9);
  assert.equal(sent([PACE]).length, PACES + 1);
  const received = unpackMessage(sent([PACE])) as StateUpdate;
  assert.deepEqual(received.paces, [PACE]);
});

// Guards against a link that closes because of one daemon's faulty paces.
test("paces in another layout lose nothing else of a message", () => {
  for (const packed of ["x", 7, [3], [["r", "x"]], [["r", ["x"], {}, -1]]]) {
    const message = [...sent([PACE])];
    message[PACES] = packed;
    const { paces, configuration } = unpackMessage(message) as StateUpdate;
    assert.equal(configuration, 1);
    for (const { sums, stated } of paces) {
      assert.ok(Number.isNaN(sums.promptMs));
      assert.ok(stated === undefined || Number.isNaN(stated.hundredths));
    }
  }
});
