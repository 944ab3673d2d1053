import assert from "node:assert/strict";
import { test } from "node:test";
import { ReturnPlaces } from "./return_places.ts";
import type { PlaceUpdates, ReturnPlace } from "./return_places.ts";

/** Places whose numbers count up, and the log lines about them. */
function createPlaces() {
  let count = 0;
  const lines: unknown[] = [];
  const log = {
    event: (_: string, fields: unknown) => void lines.push(fields),
    decision() {},
  };
  const places = new ReturnPlaces(log, () => count++ / 65_536);
  return { places, lines };
}

/** A place of a request that arrived at 0 ms and may return from 500 ms on. */
function placeOf(fields: Partial<ReturnPlace> = {}): ReturnPlace {
  return {
    fingerprint: "f",
    number: 9,
    service: "s",
    rank: 1,
    arrivedAt: 0,
    returnAt: 500,
    startBy: 2_000,
    expiresAt: 3_000,
    ...fields,
  };
}

function kindAt(places: ReturnPlaces, now: number, fingerprint = "f"): string {
  return places.take(fingerprint, now).kind;
}

// Guards against callers that gain a place by returning at once or twice.
test("a place is used once, and not before its time", () => {
  const { places } = createPlaces();
  assert.ok(places.keep(placeOf(), 10));
  assert.equal(kindAt(places, 100), "new");
  assert.equal(
    places.promises({ service: "s", rank: 1 }, { now: 100, since: 0 }).expected,
    1,
  );
  assert.equal(
    places.promises({ service: "s", rank: 0 }, { now: 100, since: 0 }).expected,
    0,
  );
  assert.equal(
    places.promises({ service: "s", rank: 1 }, { now: 1_001, since: 0 })
      .expected,
    0,
  );
  assert.equal(kindAt(places, 500, "other"), "new");
  const result = places.take("f", 500);
  assert.ok(result.kind === "returned");
  assert.equal(result.taken.place.arrivedAt, 0);
  assert.equal(kindAt(places, 600), "new");
  assert.equal(
    places.promises({ service: "s", rank: 1 }, { now: 600, since: 0 }).expected,
    0,
  );
});

// Guards against one caller's place that many identical requests get, and against
// a caller that collects places by repeating its request.
test("identical requests have as many places as were refused at once", () => {
  const { places } = createPlaces();
  for (let arrivedAt = 0; arrivedAt < 9; arrivedAt++) {
    assert.equal(places.keep(placeOf({ arrivedAt }), 20), arrivedAt < 8);
  }
  assert.equal(places.keptBefore("f", 19, 0), undefined);
  assert.notEqual(places.keptBefore("f", 20, 0), undefined);
  const arrivals = Array.from({ length: 10 }, () => {
    const result = places.take("f", 600);
    return result.kind === "returned" ? result.taken.place.arrivedAt : "new";
  });
  assert.deepEqual(arrivals, [0, 1, 2, 3, 4, 5, 6, 7, "new", "new"]);
});

// Guards against a request that has a place at each of two daemons.
test("a place that is used at two daemons at once belongs to one of them", () => {
  const sides = [createPlaces().places, createPlaces().places];
  for (const side of sides) {
    side.applyUpdates({ places: [placeOf()], uses: [] }, 10);
  }
  // The claims of both sides must differ.
  assert.ok(sides[1]!.keep(placeOf({ fingerprint: "another" }), 10));
  const taken = sides.map((side) => {
    const result = side.take("f", 500);
    assert.ok(result.kind === "returned");
    return result.taken;
  });
  const updates = sides.map((side) => side.takeUpdates());
  sides[0]!.applyUpdates(updates[1]!, 510);
  sides[1]!.applyUpdates(updates[0]!, 510);
  assert.deepEqual(taken.map(({ lost }) => lost), [false, true]);
});

test("updates merge in any order, and what is known is not forwarded", () => {
  const { places } = createPlaces();
  const use = { fingerprint: "f", number: 9, claim: 3, expiresAt: 3_000 };
  const uses: PlaceUpdates = { places: [], uses: [use] };
  const added: PlaceUpdates = { places: [placeOf()], uses: [] };
  assert.deepEqual(places.applyUpdates(uses, 0), uses);
  assert.deepEqual(places.applyUpdates(added, 0), added);
  assert.equal(kindAt(places, 600), "new");
  for (const update of [uses, added]) {
    assert.deepEqual(places.applyUpdates(update, 0), { places: [], uses: [] });
  }
});

// Guards against places that fill the memory, and against one bad figure that
// costs the rest of an update.
test("places are bounded and forgotten, and bad ones are left out", () => {
  const { places, lines } = createPlaces();
  const many = Array.from(
    { length: 2_500 },
    (_, index) => placeOf({ fingerprint: `f-${index}` }),
  );
  const bad = [
    placeOf({ arrivedAt: NaN }),
    placeOf({ expiresAt: 1e9 }),
    placeOf({ rank: -1 }),
    placeOf({ arrivedAt: 1 }),
  ];
  const { places: added } = places.applyUpdates({
    places: [...many, ...bad],
    uses: [{ fingerprint: "f", number: 1.5, claim: 0, expiresAt: 9 }],
  }, 0);
  assert.equal(added.length, 2_500);
  assert.equal(places.size, 2_000);
  assert.deepEqual(lines, [{ rejected: 5 }]);
  assert.equal(kindAt(places, 600, "f-0"), "new");
  assert.equal(kindAt(places, 3_001, "f-2499"), "new");
  assert.equal(places.size, 0);
});
