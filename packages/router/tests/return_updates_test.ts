import assert from "node:assert/strict";
import { test } from "node:test";
import { packMessage, unpackMessage } from "../src/connection/peer_encoding.ts";
import type { StateUpdate } from "../src/connection/peer_message.ts";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { Member } from "./fleet.ts";
import { testUpdate } from "./fixtures.ts";

/** Time for an update to reach all daemons, in ms. */
const PROPAGATION_MS = 1_000;
/** More than daemons, which fill eight messages. */
const PLACES = 400;

function keepPlaces({ places }: Member): void {
  const now = performance.now();
  for (let index = 0; index < PLACES; index++) {
    places.keep({
      fingerprint: `f-${index}`,
      service: "s",
      rank: 2,
      arrivedAt: now - 100,
      returnAt: now + 500,
      startBy: now + 600,
      expiresAt: now + 60_000,
    }, now);
  }
}

/** Takes a place at a daemon; returns the age of the request, if it has one. */
function ageAt({ places }: Member, index: number): number | undefined {
  const now = performance.now();
  const result = places.take(`f-${index}`, now);
  if (result.kind !== "returned") return undefined;
  return now - result.taken.place.arrivedAt;
}

// Guards against places that only the daemon which refused knows, and against
// ones that are used again at another daemon.
for (const shape of SIZES) {
  test(`a place is honoured once by ${shape.daemons} daemons, also after its daemon is lost`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    const lost = fleet.members.at(-1)!;
    keepPlaces(lost);
    await clock.advance(PROPAGATION_MS);
    lost.end({ power: true });
    const ages = fleet.alive.map((member, index) => ageAt(member, index));
    for (const age of ages) assert.ok(age! >= 1_050 && age! <= 1_100, `${age}`);
    await clock.advance(PROPAGATION_MS);
    const again = fleet.alive.map((member, index) =>
      ageAt(member, (index + 1) % fleet.alive.length)
    );
    assert.deepEqual(again, again.map(() => undefined));
    const restarted = fleet.restart(lost);
    await clock.advance(2 * PROPAGATION_MS);
    assert.equal(ageAt(restarted, 0), undefined);
    assert.ok(ageAt(restarted, PLACES - 1)! > 3_000);
  });
}

// Guards against bytes that all heartbeats carry, and against an update that is
// lost for one bad figure.
test("updates carry places only where there are some", () => {
  const packed = packMessage(testUpdate()) as unknown[];
  assert.equal(packed.length, 9);
  const place = {
    fingerprint: "f",
    number: 1,
    service: "s",
    rank: 2,
    agoMs: 3,
    returnInMs: 4,
    startInMs: 4,
    leftMs: 5,
  };
  const uses = [{ fingerprint: "g", number: 6, claim: 7, leftMs: 8 }];
  const places = { places: [place, { ...place, rank: 0 }], uses };
  const withPlaces = packMessage(testUpdate({ places })) as unknown[];
  assert.deepEqual((unpackMessage(withPlaces) as StateUpdate).places, places);
  assert.equal(withPlaces.length, 18);
  withPlaces[17] = [[["s", 2, ["f", 1, -3, "x", 4, 5]]], []];
  const [bad] = (unpackMessage(withPlaces) as StateUpdate).places.places;
  assert.deepEqual([bad!.agoMs, bad!.returnInMs, bad!.leftMs], [NaN, NaN, 5]);
});
