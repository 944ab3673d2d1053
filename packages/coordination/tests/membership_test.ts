import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { hostOf, memberNamed, pass, withFleet } from "./fleet_fixture.ts";
import { SettableHostList } from "../src/testing/settable_host_list.ts";

function members(count: number) {
  return Array.from({ length: count }, (_, i) => memberNamed(`m${i + 1}`));
}

/** Loses what passes between the two groups, both ways. */
function cut(one: readonly string[], other: readonly string[]) {
  return (from: string, to: string) =>
    (one.includes(from) && other.includes(to)) ||
    (other.includes(from) && one.includes(to));
}

test("in calm nobody is suspected or removed", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(6));
      yield* pass(120);
      assert.deepEqual(fleet.removals(), []);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4 m5 m6");
    })
  ));

test("a killed member is suspected and then removed everywhere", () =>
  // A host loses power. Nobody is told; probes go unanswered, the suspicion
  // spreads, nobody contradicts it, and the others take the member out.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(5));
      yield* pass(5);
      yield* fleet.kill("m3");
      yield* pass(15);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m4 m5");
    })
  ));

test("a suspicion that several share runs out sooner than one alone", () =>
  // Of ten members one dies. Each finds out by its own probes in some seconds;
  // three that share the suspicion are enough, also for those that did not
  // probe it, so the 9 s of a suspicion alone need not pass.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(10));
      yield* pass(5);
      yield* fleet.kill("m3");
      yield* pass(7);
      for (const view of fleet.views()) assert.ok(!/m3/.test(view), view);
    })
  ));

test("a member that announces its leaving is leaving everywhere at once", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(8));
      yield* pass(5);
      yield* fleet.member("m3").leave().pipe(Effect.forkChild);
      yield* pass(0.1);
      for (const view of fleet.views()) {
        assert.equal(view, "m1 m2 m3=leaving m4 m5 m6 m7 m8");
      }
    })
  ));

test("a leaving member that dies is removed", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(4));
      yield* pass(5);
      yield* fleet.member("m3").leave().pipe(Effect.forkChild);
      yield* pass(2);
      yield* fleet.kill("m3");
      yield* pass(15);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m4");
    })
  ));

test("a member that stops in good order is gone everywhere within 2 s", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(6));
      yield* pass(5);
      yield* fleet.stop("m2");
      yield* pass(2);
      for (const view of fleet.views()) assert.equal(view, "m1 m3 m4 m5 m6");
    })
  ));

test("a one-way cut between two members has neither suspected", () =>
  // A switch forwards from m1 to m2 no more, though m2 reaches m1. m1's probes
  // of m2 fail, so it asks others, which reach m2 and tell m1 so.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(5));
      fleet.loss = (from, to) => from === "m1" && to === "m2";
      yield* pass(120);
      assert.deepEqual(fleet.suspicions(), []);
    })
  ));

test("a cut between one member and half of the others has nobody suspected", () =>
  // m1 has lost m2 and m3, which reach it only through m4 and m5.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(5));
      fleet.loss = cut(["m1"], ["m2", "m3"]);
      yield* pass(120);
      assert.deepEqual(fleet.suspicions(), []);
    })
  ));

test("a member that was cut off is removed, and returns with the same start", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(5));
      fleet.loss = cut(["m1"], ["m2", "m3", "m4", "m5"]);
      yield* pass(60);
      assert.equal(fleet.viewOf("m1"), "m1");
      assert.equal(fleet.viewOf("m2"), "m2 m3 m4 m5");
      fleet.loss = () => false;
      yield* pass(30);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4 m5");
      assert.equal(fleet.member("m1").self.incarnation, 1);
    })
  ));

test("regions that lose each other for an hour find each other again", () =>
  // Both sides remove the other's members. Each goes on probing one of those
  // now and then; once an answer comes, news of all of them spreads.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(4));
      fleet.loss = cut(["m1", "m2"], ["m3", "m4"]);
      yield* pass(3600);
      assert.equal(fleet.viewOf("m1"), "m1 m2");
      assert.equal(fleet.viewOf("m3"), "m3 m4");
      fleet.loss = () => false;
      yield* pass(30);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4");
    })
  ));

test("a host that takes over the address of another replaces it at once", () =>
  // m2's host is replaced: m9 starts at m2's address and port. Probes meant for
  // m2 are ignored there, and m9's first word ends m2 everywhere.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const [m1, m2, m3] = members(3);
      assert.ok(m1 && m2 && m3);
      yield* fleet.startAll([m1, m2, m3]);
      yield* pass(5);
      yield* fleet.kill("m2");
      yield* fleet.start(
        memberNamed("m9", { port: m2.port, incarnation: 2 }),
      );
      yield* pass(3);
      for (const view of fleet.views()) assert.equal(view, "m1 m3 m9");
    })
  ));

test("a host that reuses an address does not answer for its predecessor", () =>
  // As above, but the new host's clock is behind, so that its start does not
  // look later. Were it to answer probes meant for m2, m2 would live for ever.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const [m1, m2, m3] = members(3);
      assert.ok(m1 && m2 && m3);
      yield* fleet.startAll([m1, { ...m2, incarnation: 50 }, m3]);
      yield* pass(5);
      yield* fleet.kill("m2");
      yield* fleet.start(
        memberNamed("m9", { port: m2.port, incarnation: 2 }),
      );
      yield* pass(30);
      for (const view of fleet.views()) assert.equal(view, "m1 m3 m9");
    })
  ));

test("a restarted member replaces its earlier start", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(3));
      yield* pass(5);
      yield* fleet.kill("m2");
      yield* fleet.start(memberNamed("m2", { incarnation: 2 }));
      yield* pass(5);
      const seen = fleet.member("m1").view().members[1]?.member;
      assert.equal(seen?.name, "m2");
      assert.equal(seen?.incarnation, 2);
      assert.deepEqual(fleet.removals(), []);
    })
  ));

test("a restarted member whose clock went back is heard all the same", () =>
  // The new start claims a lower number than the one before. Its messages count
  // as old, but the acks it gets show it the higher number, and it goes beyond.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const [m1, m2, m3] = members(3);
      assert.ok(m1 && m2 && m3);
      yield* fleet.startAll([m1, { ...m2, incarnation: 50 }, m3]);
      yield* pass(5);
      yield* fleet.kill("m2");
      yield* fleet.start({ ...m2, incarnation: 20 });
      yield* pass(30);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3");
      assert.equal(fleet.member("m2").self.incarnation, 51);
    })
  ));

test("members that the list drops stay while they answer", () =>
  // The platform's list comes back empty after an outage. Everybody answers
  // probes, so nobody is given up.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(4));
      yield* pass(5);
      fleet.list.set([]);
      yield* pass(60);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4");
    })
  ));

test("a member that the list never had takes part once it speaks", () =>
  // The list lags: m4 has started and knows the others, who hear of it first
  // from itself. It holds the key, so it may take part.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(3));
      yield* pass(5);
      yield* fleet.start(memberNamed("m4"));
      yield* pass(5);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4");
    })
  ));

test("a member that knows one other learns of all while the list is down", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(6));
      yield* pass(5);
      const seeds = new SettableHostList();
      seeds.set([hostOf(memberNamed("m1"))]);
      yield* fleet.start(memberNamed("m7"), { hostList: seeds });
      yield* pass(10);
      for (const view of fleet.views()) {
        assert.equal(view, "m1 m2 m3 m4 m5 m6 m7");
      }
    })
  ));

test("a host that the list calls leaving is leaving in the view", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      const all = members(3);
      yield* fleet.startAll(all);
      fleet.list.set(all.map((member) =>
        hostOf(member, {
          state: member.name === "m2" ? "leaving" : "live",
        })
      ));
      yield* pass(1);
      assert.equal(fleet.viewOf("m1"), "m1 m2=leaving m3");
    })
  ));

test("a host that the list called leaving and then drops stays leaving", () =>
  // The platform withdraws m2 and drops it from the list while m2 still answers
  // probes. It must not look fit for new work again.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const [m1, m2] = members(2);
      assert.ok(m1 && m2);
      yield* fleet.startAll([m1, m2]);
      fleet.list.set([hostOf(m1), hostOf(m2, { state: "leaving" })]);
      fleet.list.set([hostOf(m1)]);
      yield* pass(5);
      assert.equal(fleet.viewOf("m1"), "m1 m2=leaving");
      fleet.list.set([hostOf(m1), hostOf(m2)]);
      assert.equal(fleet.viewOf("m1"), "m1 m2");
    })
  ));

test("runners of the list are no members", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      fleet.list.set([
        hostOf(memberNamed("m1")),
        hostOf(memberNamed("r2"), { role: "runner", service: "yard-app" }),
      ]);
      yield* fleet.start(memberNamed("m1"));
      assert.equal(fleet.viewOf("m1"), "m1");
    })
  ));

test("digests ride on probes", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      const heard = new Map<string, unknown>();
      fleet.listAll(members(2));
      yield* fleet.start(memberNamed("m1"), {
        digest: { read: () => [7], receive: () => {} },
      });
      yield* fleet.start(memberNamed("m2"), {
        digest: {
          read: () => null,
          receive: (from, digest) => heard.set(from, digest),
        },
      });
      yield* pass(3);
      assert.deepEqual(heard.get("m1"), [7]);
    })
  ));

test("listeners are told of each change of the view", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(3));
      yield* pass(2);
      const seen: string[] = [];
      const end = fleet.member("m1").subscribe(() => {
        seen.push(fleet.viewOf("m1"));
      });
      yield* fleet.stop("m2");
      yield* pass(2);
      end();
      yield* fleet.stop("m3");
      yield* pass(2);
      assert.equal(seen.at(-1), "m1 m3");
    })
  ));

test("the start of a fleet is no storm of news", () =>
  // All daemons are restarted at once. Each knows the others from the list, and
  // each is taught the same records by several. Were all of that passed on as
  // news, the first half minute would cost many times the calm.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const all = members(40).map((it) => ({ ...it, incarnation: 1000 }));
      fleet.listAll(all.map((it) => ({ ...it, incarnation: 1 })));
      for (const member of all) yield* fleet.start(member);
      yield* pass(30);
      const starting = fleet.bytes;
      yield* pass(60);
      const before = fleet.bytes;
      yield* pass(30);
      const calm = fleet.bytes - before;
      assert.ok(starting < 4 * calm, `${starting} against ${calm} bytes`);
    })
  ));
