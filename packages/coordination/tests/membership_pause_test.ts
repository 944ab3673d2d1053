import assert from "node:assert/strict";
import { test } from "node:test";
import * as Clock from "effect/Clock";
import * as Effect from "effect/Effect";
import * as Random from "effect/Random";
import * as TestClock from "effect/testing/TestClock";
import type { Clock as Clocks } from "../src/process/clock.ts";
import { NO_DIGEST } from "../src/process/digest.ts";
import { fixedHostList } from "../src/process/host_list.ts";
import { ProbeCodec } from "../src/process/membership_datagram.ts";
import type { Probe } from "../src/process/membership_datagram.ts";
import { ProbedMembership } from "../src/process/membership_probed.ts";
import { DEFAULT_PROBE_SETTINGS } from "../src/process/membership_settings.ts";
import type { ProbeTransport } from "../src/process/membership_transport.ts";
import type { MemberState } from "../src/process/membership.ts";
import { FLEET_KEY, hostOf, memberNamed, pass } from "./fleet_fixture.ts";

const HOUR_MS = 3_600_000;
const STEP_S = 0.25;

/** Others that answer as the test says. */
class Others implements ProbeTransport {
  readonly heard: Probe[] = [];
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
    const probe = this.#codec.open(datagram);
    if (probe === undefined) return;
    this.heard.push(probe);
    if (this.answering && probe.kind === "ping") this.answer(probe);
  }

  answer(ping: Probe): void {
    this.#listener(this.#codec.seal({
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

interface Stage {
  readonly others: Others;
  readonly membership: ProbedMembership;
  /** Lets the process stand still, as seen by its own clock. */
  readonly standStill: (ms: number) => void;
}

/** "m1" among three others, on a clock that can jump. */
function withPauses(
  test: (stage: Stage) => Effect.Effect<void>,
): Promise<void> {
  const run = Effect.gen(function* () {
    const testClock = yield* Clock.clockWith(Effect.succeed);
    let pausedMs = 0;
    const clock: Clocks = {
      now: () => testClock.currentTimeMillisUnsafe() + pausedMs,
      monotonic: () => testClock.currentTimeMillisUnsafe() + pausedMs,
    };
    const others = new Others();
    const names = ["m1", "m2", "m3", "m4"];
    const membership = yield* ProbedMembership.make({
      self: memberNamed("m1"),
      hostList: fixedHostList(names.map((name) => hostOf(memberNamed(name)))),
      transport: others,
      settings: DEFAULT_PROBE_SETTINGS,
      clock,
      digest: NO_DIGEST,
      key: FLEET_KEY,
      onEvent: () => {},
    });
    yield* test({
      others,
      membership,
      standStill: (ms) => {
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

/** Seconds until "m1" suspects or removes someone, if nobody answers from 3 s. */
function secondsUntil(
  happened: (states: readonly MemberState[]) => boolean,
): Promise<number> {
  let seconds = 3;
  return withPauses(({ others, membership }) =>
    Effect.gen(function* () {
      yield* pass(seconds);
      others.answering = false;
      while (!happened(statesOf(membership))) {
        yield* pass(STEP_S);
        seconds += STEP_S;
      }
    })
  ).then(() => seconds);
}

test("a process that stood still waits to hear the others before it removes one", async () => {
  // m1 is about to remove one that did not answer, and is paused for an hour.
  // When it wakes the time is up, while what the others said waits unread.
  const removedAt = await secondsUntil((states) => states.length < 4);
  await withPauses(({ others, membership, standStill }) =>
    Effect.gen(function* () {
      yield* pass(3);
      others.answering = false;
      yield* pass(removedAt - 3 - 2 * STEP_S);
      standStill(HOUR_MS);
      yield* pass(1.5);
      assert.equal(statesOf(membership).length, 4);
    })
  );
});

test("a process that stood still gives those it suspects the time that it missed", async () => {
  // m1 has just come to suspect one and is paused for an hour. That hour must
  // not count: the suspect has had no time to contradict.
  const suspectedAt = await secondsUntil((states) =>
    states.includes("suspect")
  );
  await withPauses(({ others, membership, standStill }) =>
    Effect.gen(function* () {
      yield* pass(3);
      others.answering = false;
      yield* pass(suspectedAt - 3);
      standStill(HOUR_MS);
      yield* pass(2.9);
      assert.equal(statesOf(membership).length, 4);
    })
  );
});

test("a process that stood still judges nobody by the probe that it missed", () =>
  // The pause falls between the last wait of a probe, from 4 s on, and its end.
  // The timer fires at the wake, before anything that came can be read.
  withPauses(({ others, membership, standStill }) =>
    Effect.gen(function* () {
      yield* pass(3);
      others.answering = false;
      yield* pass(2.02);
      standStill(10_000);
      others.answering = true;
      yield* pass(3);
      assert.ok(!statesOf(membership).includes("suspect"));
    })
  ));

test("a process that stood still contradicts first and asks for what it missed", () =>
  // The others have removed m1 meanwhile. It says that it is alive, with a
  // higher number of refutations, before anyone tells it, and asks for records.
  withPauses(({ others, standStill }) =>
    Effect.gen(function* () {
      yield* pass(12);
      others.heard.length = 0;
      standStill(HOUR_MS);
      yield* pass(0.3);
      const asked = others.heard.filter(({ wantsRecords }) => wantsRecords);
      assert.ok(asked.length >= 3);
      for (const { sender } of asked) assert.equal(sender.refutations, 1);
    })
  ));

test("a process that did not stand still removes those that do not answer", () =>
  withPauses(({ others, membership }) =>
    Effect.gen(function* () {
      yield* pass(3);
      others.answering = false;
      yield* pass(120);
      assert.deepEqual(statesOf(membership), ["alive"]);
    })
  ));
