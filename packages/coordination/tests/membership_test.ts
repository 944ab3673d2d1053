import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import {
  advanceSeconds,
  hostOf,
  memberNamed,
  withFleet,
} from "./fleet_fixture.ts";
import { SettableHostList } from "../src/testing/settable_host_list.ts";

function members(count: number) {
  return Array.from({ length: count }, (_, i) => memberNamed(`m${i + 1}`));
}

/** Drops all datagrams between two groups, in both directions. */
function partition(left: readonly string[], right: readonly string[]) {
  return (from: string, to: string) =>
    (left.includes(from) && right.includes(to)) ||
    (right.includes(from) && left.includes(to));
}

test("without faults no member is suspected or removed", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(6));
      yield* advanceSeconds(120);
      assert.deepEqual(fleet.removals(), []);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4 m5 m6");
    })
  ));

test("a killed member is suspected and then removed by all others", () =>
  // A host loses power without an announcement. Probes stay unanswered, the
  // suspicion spreads without a refutation, and the others remove the member.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(5));
      yield* advanceSeconds(5);
      yield* fleet.kill("m3");
      yield* advanceSeconds(15);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m4 m5");
    })
  ));

test("a confirmed suspicion expires sooner than an unconfirmed one", () =>
  // One of ten members fails. The others detect it by their own probes within
  // seconds. Three confirmations are enough, also for members that have not
  // probed it, so it is removed before the 9 s of an unconfirmed suspicion.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(10));
      yield* advanceSeconds(5);
      yield* fleet.kill("m3");
      yield* advanceSeconds(7);
      for (const view of fleet.views()) assert.ok(!/m3/.test(view), view);
    })
  ));

test("an announced leave reaches all members at once", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(8));
      yield* advanceSeconds(5);
      yield* fleet.membershipOf("m3").leave().pipe(Effect.forkChild);
      yield* advanceSeconds(0.1);
      for (const view of fleet.views()) {
        assert.equal(view, "m1 m2 m3=leaving m4 m5 m6 m7 m8");
      }
    })
  ));

test("a leaving member that fails is removed", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(4));
      yield* advanceSeconds(5);
      yield* fleet.membershipOf("m3").leave().pipe(Effect.forkChild);
      yield* advanceSeconds(2);
      yield* fleet.kill("m3");
      yield* advanceSeconds(15);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m4");
    })
  ));

test("a member that stops gracefully is removed everywhere within 2 s", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(6));
      yield* advanceSeconds(5);
      yield* fleet.stop("m2");
      yield* advanceSeconds(2);
      for (const view of fleet.views()) assert.equal(view, "m1 m3 m4 m5 m6");
    })
  ));

test("a one-way partition between two members causes no suspicion", () =>
  // A switch stops forwarding from m1 to m2, though m2 still reaches m1. Direct
  // probes of m2 by m1 fail, and the indirect probes through others succeed.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(5));
      fleet.isLost = (from, to) => from === "m1" && to === "m2";
      yield* advanceSeconds(120);
      assert.deepEqual(fleet.suspicions(), []);
    })
  ));

test("a partition of one member from half of the others causes no suspicion", () =>
  // m1 cannot reach m2 and m3 directly, only through m4 and m5.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(5));
      fleet.isLost = partition(["m1"], ["m2", "m3"]);
      yield* advanceSeconds(120);
      assert.deepEqual(fleet.suspicions(), []);
    })
  ));

test("an isolated member is removed, and returns with the same incarnation", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(5));
      fleet.isLost = partition(["m1"], ["m2", "m3", "m4", "m5"]);
      yield* advanceSeconds(60);
      assert.equal(fleet.viewOf("m1"), "m1");
      assert.equal(fleet.viewOf("m2"), "m2 m3 m4 m5");
      fleet.isLost = () => false;
      yield* advanceSeconds(30);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4 m5");
      assert.equal(fleet.membershipOf("m1").self.incarnation, 1);
    })
  ));

test("regions that were partitioned for an hour rejoin", () =>
  // Each side removes the other's members, but keeps probing one of them at
  // intervals. Once one answers, gossip spreads the records of all of them.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(4));
      fleet.isLost = partition(["m1", "m2"], ["m3", "m4"]);
      yield* advanceSeconds(3600);
      assert.equal(fleet.viewOf("m1"), "m1 m2");
      assert.equal(fleet.viewOf("m3"), "m3 m4");
      fleet.isLost = () => false;
      yield* advanceSeconds(30);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4");
    })
  ));

test("a host that takes over the address of another replaces it at once", () =>
  // m2's host is replaced: m9 starts at m2's address and port. It ignores
  // probes addressed to m2, and its first datagram leads to m2's removal
  // everywhere.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const [m1, m2, m3] = members(3);
      assert.ok(m1 && m2 && m3);
      yield* fleet.startAll([m1, m2, m3]);
      yield* advanceSeconds(5);
      yield* fleet.kill("m2");
      yield* fleet.start(
        memberNamed("m9", { port: m2.port, incarnation: 2 }),
      );
      yield* advanceSeconds(3);
      for (const view of fleet.views()) assert.equal(view, "m1 m3 m9");
    })
  ));

test("a host that reuses an address does not answer for its predecessor", () =>
  // As above, but the new host's clock is behind, so its incarnation is lower.
  // If it answered probes addressed to m2, m2 would never be removed.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const [m1, m2, m3] = members(3);
      assert.ok(m1 && m2 && m3);
      yield* fleet.startAll([m1, { ...m2, incarnation: 50 }, m3]);
      yield* advanceSeconds(5);
      yield* fleet.kill("m2");
      yield* fleet.start(
        memberNamed("m9", { port: m2.port, incarnation: 2 }),
      );
      yield* advanceSeconds(30);
      for (const view of fleet.views()) assert.equal(view, "m1 m3 m9");
    })
  ));

test("a restarted member replaces its previous incarnation", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(3));
      yield* advanceSeconds(5);
      yield* fleet.kill("m2");
      yield* fleet.start(memberNamed("m2", { incarnation: 2 }));
      yield* advanceSeconds(5);
      const seen = fleet.membershipOf("m1").view().members[1]?.member;
      assert.equal(seen?.name, "m2");
      assert.equal(seen?.incarnation, 2);
      assert.deepEqual(fleet.removals(), []);
    })
  ));

test("a restarted member whose clock went back raises its incarnation", () =>
  // The new start has a lower incarnation than the previous one, so its
  // messages count as stale. The acks it receives hold the higher incarnation,
  // and it raises its own above that.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const [m1, m2, m3] = members(3);
      assert.ok(m1 && m2 && m3);
      yield* fleet.startAll([m1, { ...m2, incarnation: 50 }, m3]);
      yield* advanceSeconds(5);
      yield* fleet.kill("m2");
      yield* fleet.start({ ...m2, incarnation: 20 });
      yield* advanceSeconds(30);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3");
      assert.equal(fleet.membershipOf("m2").self.incarnation, 51);
    })
  ));

test("members dropped from the list stay while they answer probes", () =>
  // The platform's list is empty after an outage. All members answer probes, so
  // none is removed.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(4));
      yield* advanceSeconds(5);
      fleet.hostList.set([]);
      yield* advanceSeconds(60);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4");
    })
  ));

test("an unlisted member joins with its first datagram", () =>
  // The list is stale: m4 has started and knows the others, which learn of it
  // from its own datagrams. It has the key, so it may join.
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(3));
      yield* advanceSeconds(5);
      yield* fleet.start(memberNamed("m4"));
      yield* advanceSeconds(5);
      for (const view of fleet.views()) assert.equal(view, "m1 m2 m3 m4");
    })
  ));

test("a member that knows one other discovers all while the list is down", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(6));
      yield* advanceSeconds(5);
      const seeds = new SettableHostList();
      seeds.set([hostOf(memberNamed("m1"))]);
      yield* fleet.start(memberNamed("m7"), { hostList: seeds });
      yield* advanceSeconds(10);
      for (const view of fleet.views()) {
        assert.equal(view, "m1 m2 m3 m4 m5 m6 m7");
      }
    })
  ));

test("a host listed as leaving is leaving in the view", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      const all = members(3);
      yield* fleet.startAll(all);
      fleet.hostList.set(all.map((member) =>
        hostOf(member, {
          state: member.name === "m2" ? "leaving" : "live",
        })
      ));
      yield* advanceSeconds(1);
      assert.equal(fleet.viewOf("m1"), "m1 m2=leaving m3");
    })
  ));

test("a host listed as leaving and then dropped stays leaving", () =>
  // The platform drains m2 and drops it from the list while m2 still answers
  // probes. It must not become eligible for new work again.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const [m1, m2] = members(2);
      assert.ok(m1 && m2);
      yield* fleet.startAll([m1, m2]);
      fleet.hostList.set([hostOf(m1), hostOf(m2, { state: "leaving" })]);
      fleet.hostList.set([hostOf(m1)]);
      yield* advanceSeconds(5);
      assert.equal(fleet.viewOf("m1"), "m1 m2=leaving");
      fleet.hostList.set([hostOf(m1), hostOf(m2)]);
      assert.equal(fleet.viewOf("m1"), "m1 m2");
    })
  ));

test("listed runners are not members", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      fleet.hostList.set([
        hostOf(memberNamed("m1")),
        hostOf(memberNamed("r2"), { role: "runner", service: "yard-app" }),
      ]);
      yield* fleet.start(memberNamed("m1"));
      assert.equal(fleet.viewOf("m1"), "m1");
    })
  ));

test("digests are piggybacked on probes", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      const received = new Map<string, unknown>();
      fleet.setHostList(members(2));
      yield* fleet.start(memberNamed("m1"), {
        digest: { read: () => [7], receive: () => {} },
      });
      yield* fleet.start(memberNamed("m2"), {
        digest: {
          read: () => null,
          receive: (from, digest) => received.set(from, digest),
        },
      });
      yield* advanceSeconds(3);
      assert.deepEqual(received.get("m1"), [7]);
    })
  ));

test("listeners are called on each change of the view", () =>
  withFleet((fleet) =>
    Effect.gen(function* () {
      yield* fleet.startAll(members(3));
      yield* advanceSeconds(2);
      const seen: string[] = [];
      const end = fleet.membershipOf("m1").subscribe(() => {
        seen.push(fleet.viewOf("m1"));
      });
      yield* fleet.stop("m2");
      yield* advanceSeconds(2);
      end();
      yield* fleet.stop("m3");
      yield* advanceSeconds(2);
      assert.equal(seen.at(-1), "m1 m3");
    })
  ));

test("the start of a fleet causes no gossip storm", () =>
  // All daemons restart at once. Each knows the others from the list and
  // receives the same records from several of them. If all of these were
  // gossiped, the first half minute would cost many times the steady state.
  withFleet((fleet) =>
    Effect.gen(function* () {
      const all = members(40).map((member) => ({
        ...member,
        incarnation: 1000,
      }));
      fleet.setHostList(all.map((member) => ({ ...member, incarnation: 1 })));
      for (const member of all) yield* fleet.start(member);
      yield* advanceSeconds(30);
      const startingBytes = fleet.bytesSent;
      yield* advanceSeconds(60);
      const before = fleet.bytesSent;
      yield* advanceSeconds(30);
      const steadyBytes = fleet.bytesSent - before;
      assert.ok(
        startingBytes < 4 * steadyBytes,
        `${startingBytes} against ${steadyBytes} bytes`,
      );
    })
  ));
