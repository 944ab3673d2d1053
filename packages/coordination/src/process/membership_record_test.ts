import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { memberNamed } from "../../tests/fleet_fixture.ts";
import type { Health, MemberRecord } from "./membership_record.ts";
import {
  decodeRecord,
  encodeRecord,
  mergeRecords,
} from "./membership_record.ts";

const RECORD: fc.Arbitrary<MemberRecord> = fc.record({
  member: fc.integer({ min: 1, max: 3 })
    .map((incarnation) => memberNamed("m1", { incarnation })),
  refutations: fc.integer({ min: 0, max: 2 }),
  health: fc.constantFrom<Health>("alive", "suspect", "removed"),
  leaving: fc.boolean(),
  by: fc.constantFrom("m1", "m2"),
}, { noNullPrototype: true });

function merged(records: readonly MemberRecord[]): string {
  const [first, ...rest] = records;
  assert.ok(first);
  let known = first;
  for (const received of rest) known = mergeRecords(known, received) ?? known;
  const { member, refutations, health, leaving } = known;
  return `${member.incarnation} ${refutations} ${health} ${leaving}`;
}

test("merging the same records in any order gives the same result", () => {
  fc.assert(
    fc.property(
      fc.array(RECORD, { minLength: 1, maxLength: 8 }),
      fc.infiniteStream(fc.nat()),
      (records, picks) => {
        const shuffled: MemberRecord[] = [];
        for (const record of records) {
          const at = (picks.next().value ?? 0) % (shuffled.length + 1);
          shuffled.splice(at, 0, record);
        }
        assert.equal(merged(shuffled), merged(records));
        assert.equal(merged([...records, ...shuffled]), merged(records));
      },
    ),
  );
});

test("a delayed record of an earlier incarnation changes nothing", () => {
  const known: MemberRecord = {
    member: memberNamed("m1", { incarnation: 5 }),
    refutations: 0,
    health: "alive",
    leaving: false,
    by: "m1",
  };
  const late: MemberRecord = {
    ...known,
    member: memberNamed("m1", { incarnation: 4 }),
    refutations: 9,
    health: "removed",
    leaving: true,
  };
  assert.equal(mergeRecords(known, late), undefined);
});

test("a record decodes to what was encoded", () => {
  fc.assert(fc.property(RECORD, (record) => {
    assert.deepEqual(decodeRecord(encodeRecord(record)), record);
  }));
});

test("bytes that are not a record decode to undefined", () => {
  for (const bytes of [new Uint8Array([0xff]), new Uint8Array(), "x", null]) {
    assert.equal(decodeRecord(bytes), undefined);
  }
});

test("a record with an endpoint that cannot be dialled is rejected", () => {
  // Node throws on port 0 or 70,000, and resolves host names. One such record,
  // received or listed, would crash each process that probes the member.
  const record: MemberRecord = {
    member: memberNamed("m1"),
    refutations: 0,
    health: "alive",
    leaving: false,
    by: "m1",
  };
  const invalid = [{ port: 0 }, { port: 70_000 }, { address: "localhost" }];
  for (const change of invalid) {
    const member = { ...record.member, ...change };
    assert.equal(decodeRecord(encodeRecord({ ...record, member })), undefined);
  }
});
