import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { boundedOwners, Rendezvous, rendezvous } from "./rendezvous.ts";

function named(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, i) => `${prefix}-${i}`);
}

function counts(owners: Iterable<string>): ReadonlyMap<string, number> {
  const found = new Map<string, number>();
  for (const owner of owners) found.set(owner, (found.get(owner) ?? 0) + 1);
  return found;
}

function moved(
  before: ReadonlyMap<string, string>,
  after: ReadonlyMap<string, string>,
): number {
  return [...before].filter(([key, owner]) => after.get(key) !== owner).length;
}

const NAMES = fc.uniqueArray(fc.string({ minLength: 1 }), { maxLength: 30 });

test("the order holds each member once and does not depend on input order", () => {
  fc.assert(fc.property(fc.string(), NAMES, (key, names) => {
    const order = rendezvous(key, names);
    assert.deepEqual([...order].sort(), [...names].sort());
    assert.deepEqual(rendezvous(key, [...names].reverse()), order);
  }));
});

test("first returns the first accepted member of the order", () => {
  const names = named("host", 60);
  const members = new Rendezvous(names);
  const accepted = new Set(names.filter((_, index) => index % 7 === 0));
  for (const key of named("key", 200)) {
    const order = members.order(key);
    assert.equal(members.first(key, () => true), order[0]);
    assert.equal(
      members.first(key, (name) => accepted.has(name)),
      order.find((name) => accepted.has(name)),
    );
    assert.equal(members.first(key, () => false), undefined);
  }
});

test("keys are shared by weight, and equal weights change no order", () => {
  const names = named("host", 12);
  const weights = new Map(names.map((name, index) => [name, 1 + index % 3]));
  const members = new Rendezvous(names, (name) => weights.get(name)!);
  const keys = named("key", 12_000);
  const owned = counts(keys.map((key) => members.first(key, () => true)!));
  // 500 each and unit of weight; the bound is 5 standard deviations.
  for (const name of names) {
    const expected = 500 * weights.get(name)!;
    const difference = Math.abs(owned.get(name)! - expected);
    assert.ok(difference < 5 * Math.sqrt(expected), `${name}: ${difference}`);
  }
  const equal = new Rendezvous(names, () => 3);
  for (const key of keys.slice(0, 200)) {
    assert.deepEqual(equal.order(key), rendezvous(key, names));
  }
});

test("a change of one weight moves keys only to or from that member", () => {
  const names = named("host", 12);
  const before = new Rendezvous(names, () => 1);
  const after = new Rendezvous(names, (name) => name === "host-3" ? 0.6 : 1);
  for (const key of named("key", 2_000)) {
    const owner = before.first(key, () => true);
    if (owner === "host-3") continue;
    assert.equal(after.first(key, () => true), owner);
  }
});

test("firstOf returns the first accepted members of the order", () => {
  const names = named("host", 60);
  const members = new Rendezvous(names);
  const accepted = new Set(names.filter((_, index) => index % 7 === 0));
  for (const key of named("key", 100)) {
    const order = members.order(key).filter((name) => accepted.has(name));
    for (const count of [0, 1, 3, 20]) {
      assert.deepEqual(
        members.firstOf(key, count, (name) => accepted.has(name)),
        order.slice(0, count),
      );
    }
  }
});

test("removing a member does not change the order of the others", () => {
  fc.assert(fc.property(fc.string(), NAMES, fc.nat(), (key, names, pick) => {
    const gone = names[pick % Math.max(1, names.length)];
    const rest = names.filter((name) => name !== gone);
    const order = rendezvous(key, names).filter((name) => name !== gone);
    assert.deepEqual(rendezvous(key, rest), order);
  }));
});

test("keys are spread evenly over members with similar names", () => {
  const members = named("portmore", 20);
  const firsts = named("shard", 20_000).map((key) =>
    rendezvous(key, members)[0] ?? ""
  );
  const loads = [...counts(firsts).values()];
  assert.equal(loads.length, members.length);
  // 1000 each in the mean; the bound is 5 standard deviations of a binomial
  // distribution.
  for (const load of loads) assert.ok(Math.abs(load - 1000) < 155, `${load}`);
});

test("each key has an owner, and no member exceeds the bound", () => {
  fc.assert(
    fc.property(
      NAMES.filter((names) => names.length > 0),
      fc.uniqueArray(fc.string(), { maxLength: 100 }),
      fc.double({ min: 1, max: 3, noNaN: true }),
      (names, keys, loadBound) => {
        const owners = boundedOwners(keys, names, { loadBound });
        assert.deepEqual([...owners.keys()].sort(), [...keys].sort());
        const most = Math.ceil(loadBound * keys.length / names.length);
        for (const load of counts(owners.values()).values()) {
          assert.ok(load <= most);
        }
        const reversed = [...keys].reverse();
        const again = boundedOwners(reversed, names, { loadBound });
        assert.deepEqual(again, owners);
      },
    ),
  );
});

test("with spare capacity each key is owned by its first member", () => {
  const members = named("m", 5);
  const keys = named("k", 50);
  const owners = boundedOwners(keys, members, { loadBound: 5 });
  for (const key of keys) {
    assert.equal(owners.get(key), rendezvous(key, members)[0]);
  }
});

test("removing a member moves few keys besides its own", () => {
  // 60 members own 150 shards. Removing one raises the others' bound or fills a
  // few of them, so at most 2 other keys move here; the bound below leaves a
  // margin.
  const members = named("m", 60);
  const keys = named("shard", 150);
  const before = boundedOwners(keys, members, { loadBound: 1.25 });
  for (const gone of members) {
    const rest = members.filter((name) => name !== gone);
    const after = boundedOwners(keys, rest, { loadBound: 1.25 });
    const own = [...before.values()].filter((owner) => owner === gone).length;
    assert.ok(moved(before, after) <= own + 5, `${moved(before, after)}`);
  }
});

test("a bound below 1 throws", () => {
  assert.throws(
    () => boundedOwners(["k"], ["m"], { loadBound: 0.5 }),
    /Cannot bound load by 0.5/,
  );
});

test("without members no key has an owner", () => {
  assert.equal(boundedOwners(["k"], [], { loadBound: 1.25 }).size, 0);
  assert.deepEqual(rendezvous("k", []), []);
});
