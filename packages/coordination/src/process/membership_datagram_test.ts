import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { memberNamed } from "../../tests/fleet_fixture.ts";
import { ProbeCodec } from "./membership_datagram.ts";
import type { Probe } from "./membership_datagram.ts";
import type { MemberRecord } from "./membership_record.ts";

const MAX_BYTES = 1400;
const KEY = Buffer.from("a key");

function recordOf(name: string): MemberRecord {
  return {
    member: memberNamed(name),
    refutations: 3,
    health: "suspect",
    leaving: true,
    by: "m9",
  };
}

function probeWith(records: readonly MemberRecord[]): Probe {
  return {
    kind: "ping-request",
    sequence: 12,
    to: "m2",
    subject: "m3",
    wantsRecords: true,
    digest: { table: 5 },
    sender: { ...recordOf("m1"), by: "m1", health: "alive" },
    records,
  };
}

test("a datagram decodes to the probe that was encoded", () => {
  const codec = new ProbeCodec(KEY, MAX_BYTES);
  const probe = probeWith([recordOf("m4"), recordOf("m5")]);
  assert.deepEqual(codec.decode(codec.encode(probe)), probe);
});

test("a datagram authenticated with another key is ignored", () => {
  const other = new ProbeCodec(Buffer.from("another key"), MAX_BYTES);
  const codec = new ProbeCodec(KEY, MAX_BYTES);
  assert.equal(codec.decode(other.encode(probeWith([]))), undefined);
});

test("a corrupted, truncated or empty datagram is ignored", () => {
  const codec = new ProbeCodec(KEY, MAX_BYTES);
  const datagram = codec.encode(probeWith([recordOf("m4")]));
  for (let at = 0; at < datagram.length; at++) {
    const changed = Buffer.from(datagram);
    changed[at] = (changed[at] ?? 0) ^ 1;
    assert.equal(codec.decode(changed), undefined, `byte ${at}`);
    assert.equal(codec.decode(datagram.subarray(0, at)), undefined);
  }
});

test("a datagram over the maximum size is ignored even if it is authentic", () => {
  const sender = new ProbeCodec(KEY, MAX_BYTES);
  const strict = new ProbeCodec(KEY, 100);
  const datagram = sender.encode(probeWith([recordOf("m4")]));
  assert.ok(datagram.length > 100);
  assert.equal(strict.decode(datagram), undefined);
});
