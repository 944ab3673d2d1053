import assert from "node:assert/strict";
import type { Buffer } from "node:buffer";
import { test } from "node:test";
import { decodeItem } from "@umbermast/coordination/codec";
import { LENGTH_BYTES } from "@umbermast/coordination/frame_bytes";
import type { RelayCandidate } from "../process/relay_plan.ts";
import { NO_SHARE } from "../process/share.ts";
import { unpackMessage } from "./peer_encoding.ts";
import type { DaemonState, PeerMessage } from "./peer_message.ts";
import type { Peer } from "./peers.ts";
import { BATCH_MS, Relays } from "./relays.ts";

/** One daemon: what it was told of others, by their names. */
interface Member {
  readonly own: RelayCandidate;
  readonly relays: Relays;
  readonly known: Map<string, DaemonState[]>;
  /** Names of daemons that it does not see. */
  readonly hidden: Set<string>;
  received: number;
}

/** A fleet without sockets; messages arrive at once, in order. */
class TestFleet {
  readonly members: Member[] = [];
  /** Version of the configuration that all daemons have. */
  version = 1;
  #now = 0;

  constructor(names: readonly string[]) {
    for (const name of names) this.#add(name);
  }

  at(name: string): Member {
    return this.members.find(({ own }) => own.name === name)!;
  }

  /** Lets time pass; all daemons look at what is due. */
  pass(batches: number): void {
    for (let count = 0; count < batches; count++) {
      this.#now += BATCH_MS;
      for (const { relays } of [...this.members]) relays.tick(this.#now);
    }
  }

  tell(name: string, inFlight: number): void {
    this.at(name).relays.tell(stateOf(name, inFlight));
  }

  /** Ends a daemon; the links to it close. */
  end(name: string): void {
    const index = this.members.findIndex(({ own }) => own.name === name);
    const [ended] = this.members.splice(index, 1);
    for (const { relays } of this.members) {
      relays.left(this.#peer(ended!, ended!));
    }
  }

  /** The load that a daemon believes another one to have. */
  believed(name: string, of: string): number | undefined {
    return this.at(name).known.get(of)?.at(-1)?.loads[0]?.inFlight;
  }

  #add(name: string): void {
    const own = { name, failureDomain: name[0]!, linkMbps: 10 };
    const known = new Map<string, DaemonState[]>();
    const hidden = new Set<string>();
    const member: Member = {
      own,
      known,
      hidden,
      received: 0,
      relays: new Relays({
        own,
        log: { event() {}, decision() {} },
        peers: () => this.#peersOf(member),
        versions: () => ({ configuration: this.version, runners: 1 }),
        ownState: () => ({ ...stateOf(name, 0), whole: true }),
        allStates: () => [...known.values()].map((told) => told.at(-1)!),
        closenessChanged() {},
      }),
    };
    this.members.push(member);
  }

  #peersOf(member: Member): readonly Peer[] {
    return this.members
      .filter((each) => each !== member && !member.hidden.has(each.own.name))
      .map((each) => this.#peer(each, member));
  }

  /** A daemon as another one sees it. */
  #peer(target: Member, from: Member): Peer {
    const deliver = (message: PeerMessage) => {
      if (!this.members.includes(target)) return;
      target.received += 1;
      if (message.kind === "state") {
        this.#note(target, { ...message, daemon: from.own.name });
      }
      if (message.kind === "batch") {
        for (const state of message.states) this.#note(target, state);
      }
      target.relays.received(this.#peer(from, target), message);
    };
    const link = {
      send: deliver,
      sendEncoded: (frame: Buffer) => {
        const item = decodeItem(frame.subarray(LENGTH_BYTES));
        deliver(unpackMessage(item._unsafeUnwrap()));
      },
    };
    return { ...target.own, link } as unknown as Peer;
  }

  #note(target: Member, state: DaemonState): void {
    if (state.daemon === target.own.name) return;
    const told = target.known.get(state.daemon) ?? [];
    target.known.set(state.daemon, [...told, state]);
  }
}

function stateOf(daemon: string, inFlight: number): DaemonState {
  const load = {
    ...NO_SHARE,
    runner: "r",
    inFlight,
    waiting: [{ rank: 0, ageMs: 5, leftMs: 500, unreadTokens: 100 }],
  };
  return { daemon, whole: false, loads: [load], parts: [] };
}

const NAMES = ["a1", "a2", "a3", "b1", "b2", "b3"];

function settledFleet(): TestFleet {
  const fleet = new TestFleet(NAMES);
  fleet.pass(4);
  return fleet;
}

test("what one daemon tells reaches each other one once, in few messages", () => {
  const fleet = settledFleet();
  const before = fleet.members.map(({ received }) => received);
  fleet.tell("a3", 7);
  fleet.pass(2);
  for (const name of NAMES) {
    if (name === "a3") continue;
    assert.equal(fleet.believed(name, "a3"), 7, name);
    const told = fleet.at(name).known.get("a3")!
      .filter(({ loads }) => loads[0]?.inFlight === 7);
    assert.equal(told.length, 1, `${name} is told once`);
  }
  const messages = fleet.members
    .reduce((sum, { received }, index) => sum + received - before[index]!, 0);
  assert.ok(messages <= 2 * NAMES.length, `${messages} messages`);
});

// A batch wakes every daemon of a domain. While runners have room, none needs to
// know within 40 ms what another one has sent; 65 small daemons spent an eighth
// of their processor time on it.
test("while nothing waits, batches are three times as rare", () => {
  const fleet = settledFleet();
  fleet.pass(4);
  const before = fleet.at("b3").received;
  const [load] = stateOf("a3", 0).loads;
  for (let inFlight = 0; inFlight < 12; inFlight++) {
    const calm = { ...load!, inFlight, waiting: [] };
    fleet.at("a3").relays.tell({ ...stateOf("a3", 0), loads: [calm] });
    fleet.pass(1);
  }
  const batches = fleet.at("b3").received - before;
  assert.ok(batches >= 3 && batches <= 5, `${batches} batches`);
});

// The operator edits the table while nothing is sent. Daemons that hear of it by
// batches alone would serve by the old one until the next heartbeat.
test("a newer version is passed on at once, with nothing else to tell", () => {
  const fleet = settledFleet();
  fleet.pass(2);
  const before = fleet.at("b3").received;
  fleet.version = 2;
  fleet.pass(2);
  assert.ok(fleet.at("b3").received > before);
});

// At rest each daemon still says that it lives. Passed on, that alone would be a
// batch each 40 ms to every daemon, for nothing that it does not know.
test("what tells nothing new is not passed on", () => {
  const fleet = settledFleet();
  const before = fleet.at("b3").received;
  const heartbeat = { ...stateOf("a3", 0), loads: [] };
  for (let count = 0; count < 4; count++) {
    fleet.at("a3").relays.tell(heartbeat);
    fleet.pass(1);
  }
  assert.equal(fleet.at("b3").received, before);
});

// Callers of one failure domain find runners full. The daemon that passed its
// states on is killed; until another one does, all others place requests without
// knowing what this domain has in flight.
test("when a relay is lost, the next one goes on with whole states", () => {
  const fleet = settledFleet();
  assert.equal(fleet.at("a1").relays.acting, true);
  fleet.end("a1");
  fleet.tell("a3", 9);
  fleet.pass(4);
  assert.equal(fleet.at("a2").relays.acting, true);
  fleet.tell("a3", 4);
  fleet.pass(2);
  for (const name of ["a2", "b1", "b2", "b3"]) {
    assert.equal(fleet.believed(name, "a3"), 4, name);
  }
});

// A link between two daemons of a domain is cut one way: one of them takes
// another daemon for the relay than all the others do. What it tells must still
// reach everybody, and nothing may go round for ever.
test("daemons that disagree on the relay still hear of each other", () => {
  const fleet = settledFleet();
  fleet.at("a3").hidden.add("a1");
  fleet.at("a3").relays.left(
    { name: "a1", link: { send() {} } } as unknown as Peer,
  );
  fleet.pass(4);
  assert.equal(fleet.at("a2").relays.acting, true, "it serves who asks it to");
  fleet.tell("a3", 5);
  fleet.tell("b2", 6);
  fleet.pass(3);
  for (const name of NAMES) {
    if (name !== "a3") assert.equal(fleet.believed(name, "a3"), 5, name);
    if (name !== "b2") assert.equal(fleet.believed(name, "b2"), 6, name);
  }
});

test("a daemon whose link to its relay is down is told to be gone", () => {
  const fleet = settledFleet();
  const gone: string[] = [];
  const { relays } = fleet.at("b1");
  const received = relays.received.bind(relays);
  relays.received = (peer, message) => {
    if (message.kind === "batch") gone.push(...message.gone);
    received(peer, message);
  };
  fleet.end("a3");
  fleet.pass(2);
  assert.deepEqual(gone, ["a3"]);
});
