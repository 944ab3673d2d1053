import assert from "node:assert/strict";
import { test } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { startLinkPair } from "./link_fixture.ts";

test("a request is answered by the peer's handler", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a } = yield* startLinkPair({
      onB: (peers) =>
        peers.handle(
          "double",
          (from, message) =>
            Effect.succeed({ from, twice: Number(message) * 2 }),
        ),
    });
    const response = yield* a.request("b", { channel: "double", body: 21 }, {
      timeoutMs: 10_000,
    });
    assert.deepEqual(response, { from: "a", twice: 42 });
  }))));

test("a message sent while the link is dialled arrives", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const received = yield* Deferred.make<unknown>();
    const { a } = yield* startLinkPair({
      onB: (peers) =>
        peers.handle(
          "note",
          (_from, message) => Deferred.succeed(received, message),
        ),
    });
    assert.equal(a.send("b", "note", { text: "hello" }), true);
    assert.deepEqual(yield* Deferred.await(received), { text: "hello" });
  }))));

test("both ends use the link that one of them dialled", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a, b } = yield* startLinkPair({
      onA: (peers) => peers.handle("name", () => Effect.succeed("a")),
      onB: (peers) => peers.handle("name", () => Effect.succeed("b")),
      bCanDialA: false,
    });
    const message = { channel: "name", body: null };
    const options = { timeoutMs: 10_000 };
    assert.equal(yield* a.request("b", message, options), "b");
    assert.equal(yield* b.request("a", message, options), "a");
  }))));

test("a request to an unknown member fails at once", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a } = yield* startLinkPair({});
    const failure = yield* a.request("c", { channel: "x", body: 0 }, {
      timeoutMs: 60_000,
    }).pipe(Effect.flip);
    assert.deepEqual(failure, {
      _tag: "PeerUnreachable",
      peer: "c",
      reason: "no-link",
    });
  }))));

test("a request whose handler fails is answered with a failure", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a } = yield* startLinkPair({
      onB: (peers) => peers.handle("broken", () => Effect.die("bug")),
    });
    const failure = yield* a.request("b", { channel: "broken", body: 0 }, {
      timeoutMs: 60_000,
    }).pipe(Effect.flip);
    assert.equal(failure.reason, "handler-failed");
  }))));

test("a request on a channel without a handler is refused", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a } = yield* startLinkPair({});
    const failure = yield* a.request("b", { channel: "none", body: 0 }, {
      timeoutMs: 60_000,
    }).pipe(Effect.flip);
    assert.equal(failure.reason, "refused");
  }))));

test("interrupting a request interrupts its handler at the peer", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const started = yield* Deferred.make<void>();
    const interrupted = yield* Deferred.make<void>();
    const { a } = yield* startLinkPair({
      onB: (peers) =>
        peers.handle("wait", () =>
          Deferred.succeed(started, undefined).pipe(
            Effect.andThen(Effect.never),
            Effect.onInterrupt(() => Deferred.succeed(interrupted, undefined)),
          )),
    });
    const pending = yield* a.request("b", { channel: "wait", body: 0 }, {
      timeoutMs: 60_000,
    }).pipe(Effect.forkChild);
    yield* Deferred.await(started);
    yield* Fiber.interrupt(pending);
    yield* Deferred.await(interrupted);
  }))));

test("requests beyond the limit of running handlers are refused, and the others answered", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const release = yield* Deferred.make<string>();
    const bothStarted = yield* Deferred.make<void>();
    let started = 0;
    const { a } = yield* startLinkPair({
      settings: { maxInProgress: 2 },
      onB: (peers) =>
        peers.handle("wait", () => {
          started += 1;
          if (started === 2) Deferred.doneUnsafe(bothStarted, Effect.void);
          return Deferred.await(release);
        }),
    });
    const request = a.request("b", { channel: "wait", body: 0 }, {
      timeoutMs: 60_000,
    });
    const first = yield* request.pipe(Effect.forkChild);
    const second = yield* request.pipe(Effect.forkChild);
    yield* Deferred.await(bothStarted);
    const third = yield* request.pipe(Effect.flip);
    assert.equal(third.reason, "refused");
    yield* Deferred.succeed(release, "done");
    assert.equal(yield* Fiber.join(first), "done");
    assert.equal(yield* Fiber.join(second), "done");
  }))));

test("a member can send a request to itself", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a } = yield* startLinkPair({
      onA: (peers) =>
        peers.handle("name", (from) => Effect.succeed(`from ${from}`)),
    });
    const response = yield* a.request("a", { channel: "name", body: 0 }, {
      timeoutMs: 10_000,
    });
    assert.equal(response, "from a");
  }))));
