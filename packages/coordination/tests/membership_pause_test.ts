import assert from "node:assert/strict";
import { test } from "node:test";
import * as Clock from "effect/Clock";
import * as Effect from "effect/Effect";
import * as Random from "effect/Random";
import * as TestClock from "effect/testing/TestClock";
import type { Clock as ProcessClock } from "../src/process/clock.ts";
import { NO_DIGEST } from "../src/process/digest.ts";
import { fixedHostList } from "../src/process/host_list.ts";
import { ProbeCodec } from "../src/process/membership_datagram.ts";
import type { Probe } from "../src/process/membership_datagram.ts";
import { ProbedMembership } from "../src/process/membership_probed.ts";
import { DEFAULT_PROBE_SETTINGS } from "../src/process/membership_settings.ts";
import type { ProbeTransport } from "../src/process/membership_transport.ts";
import type { MemberState } from "../src/process/membership.ts";
import {
  advanceSeconds,
  FLEET_KEY,
  hostOf,
  memberNamed,
} from "./fleet_fixture.ts";

const HOUR_MS = 3_600_000;
const STEP_S = 0.25;

/** Fake members that answer pings while `answering` is set. */
class FakeMembers implements ProbeTransport {
  readonly received: Probe[] = [];
  answering = true;
  readonly #codec = new ProbeCodec(
    FLEET_KEY,
    DEFAULT_PROBE_SETTINGS.maxDatagramBytes,
  );
  #listener: (datagram: Uint8Array) => void = () => {};

  listen(listener: (datagram: Uint8Array) => void): void {
    this.#listener = listener;
  }

  send(datagram: Uint8Array): void {
    const probe = this.#codec.decode(datagram);
    if (probe === undefined) return;
    this.received.push(probe);
    if (this.answering && probe.kind === "ping") this.answer(probe);
  }

  answer(ping: Probe): void {
    this.#listener(this.#codec.encode({
      ...ping,
      kind: "ack",
      to: ping.sender.member.name,
      sender: {
        member: memberNamed(ping.to),
        refutations: 0,
        health: "alive",
        leaving: false,
        by: ping.to,
      },
      records: [],
    }));
  }
}

interface TestContext {
  readonly members: FakeMembers;
  readonly membership: ProbedMembership;
  /** Pauses the process, as measured by its own clock. */
  readonly pause: (ms: number) => void;
}

/** Runs "m1" with three other members, on a clock that can jump. */
function withPausableProcess(
  test: (context: TestContext) => Effect.Effect<void>,
): Promise<void> {
  const run = Effect.gen(function* () {
    const testClock = yield* Clock.clockWith(Effect.succeed);
    let pausedMs = 0;
    const clock: ProcessClock = {
      now: () => testClock.currentTimeMillisUnsafe() + pausedMs,
      monotonic: () => testClock.currentTimeMillisUnsafe() + pausedMs,
    };
    const members = new FakeMembers();
    const names = ["m1", "m2", "m3", "m4"];
    const membership = yield* ProbedMembership.make({
      self: memberNamed("m1"),
      hostList: fixedHostList(names.map((name) => hostOf(memberNamed(name)))),
      transport: members,
      settings: DEFAULT_PROBE_SETTINGS,
      clock,
      digest: NO_DIGEST,
      key: FLEET_KEY,
      onEvent: () => {},
    });
    yield* test({
      members,
      membership,
      pause: (ms) => {
        pausedMs += ms;
      },
    });
  });
  return Effect.runPromise(
    Effect.scoped(run).pipe(
      Random.withSeed(1),
      Effect.provide(TestClock.layer()),
    ),
  );
}

function statesOf(membership: ProbedMembership): readonly MemberState[] {
  return membership.view().members.map(({ state }) => state);
}

/** Seconds until the states at "m1" match, if no member answers from 3 s on. */
function secondsUntil(
  matches: (states: readonly MemberState[]) => boolean,
): Promise<number> {
  let seconds = 3;
  return withPausableProcess(({ members, membership }) =>
    Effect.gen(function* () {
      yield* advanceSeconds(seconds);
      members.answering = false;
      while (!matches(statesOf(membership))) {
        yield* advanceSeconds(STEP_S);
        seconds += STEP_S;
      }
    })
  ).then(() => seconds);
}

test("after a pause, no member is removed before the others could answer", async () => {
  // m1 is paused for an hour just before it removes a member that did not
  // answer. When it resumes, the suspicion has expired while the others'
  // datagrams are still unread.
  const removedAt = await secondsUntil((states) => states.length < 4);
  await withPausableProcess(({ members, membership, pause }) =>
    Effect.gen(function* () {
      yield* advanceSeconds(3);
      members.answering = false;
      yield* advanceSeconds(removedAt - 3 - 2 * STEP_S);
      pause(HOUR_MS);
      yield* advanceSeconds(1.5);
      assert.equal(statesOf(membership).length, 4);
    })
  );
});

test("a pause extends the suspicions of a process", async () => {
  // m1 is paused for an hour just after it suspects a member. That hour must
  // not count, since the suspect had no time to refute the suspicion.
  const suspectedAt = await secondsUntil((states) =>
    states.includes("suspect")
  );
  await withPausableProcess(({ members, membership, pause }) =>
    Effect.gen(function* () {
      yield* advanceSeconds(3);
      members.answering = false;
      yield* advanceSeconds(suspectedAt - 3);
      pause(HOUR_MS);
      yield* advanceSeconds(2.9);
      assert.equal(statesOf(membership).length, 4);
    })
  );
});

test("a probe interrupted by a pause causes no suspicion", () =>
  // The pause falls into the last wait of a probe, which starts at 4 s. On
  // resume the timer fires before received datagrams can be read.
  withPausableProcess(({ members, membership, pause }) =>
    Effect.gen(function* () {
      yield* advanceSeconds(3);
      members.answering = false;
      yield* advanceSeconds(2.02);
      pause(10_000);
      members.answering = true;
      yield* advanceSeconds(3);
      assert.ok(!statesOf(membership).includes("suspect"));
    })
  ));

test("after a pause, a process first refutes its removal and requests records", () =>
  // The others have removed m1 during the pause. It asserts that it is alive,
  // with a higher number of refutations, before it receives a report of its
  // removal, and requests records.
  withPausableProcess(({ members, pause }) =>
    Effect.gen(function* () {
      yield* advanceSeconds(12);
      members.received.length = 0;
      pause(HOUR_MS);
      yield* advanceSeconds(0.3);
      const requests = members.received.filter(({ wantsRecords }) =>
        wantsRecords
      );
      assert.ok(requests.length >= 3);
      for (const { sender } of requests) assert.equal(sender.refutations, 1);
    })
  ));

test("without a pause, members that do not answer are removed", () =>
  withPausableProcess(({ members, membership }) =>
    Effect.gen(function* () {
      yield* advanceSeconds(3);
      members.answering = false;
      yield* advanceSeconds(120);
      assert.deepEqual(statesOf(membership), ["alive"]);
    })
  ));
