import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { test } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { dial } from "../src/connection/dial.ts";
import { FrameReader } from "../src/connection/frame.ts";
import {
  dialHandshake,
  MAX_HANDSHAKE_FRAME_BYTES,
} from "../src/connection/handshake.ts";
import { encodeLinkMessage } from "../src/connection/link_message.ts";
import type { LinkedPeers } from "../src/connection/linked_peers.ts";
import type { LinkSettings } from "../src/connection/link_settings.ts";
import type { Endpoint } from "../src/process/endpoint.ts";
import { startLinkEnd, TEST_KEY } from "./link_fixture.ts";
import { TcpRelay } from "./socket_fixture.ts";

const PATIENT = { timeoutMs: 60_000 };
const ECHO = { channel: "echo", body: "hello" };

/** Short silences, but dials that a busy machine has time for. */
const QUICK: Partial<LinkSettings> = {
  heartbeatMs: 20,
  silentMs: 200,
  activeMs: 400,
  dialTimeoutMs: 30_000,
};

/** "a" reaches "b" through a relay; "b" answers on channel "echo". */
const relayed = Effect.fnUntraced(function* (settings: Partial<LinkSettings>) {
  const b = yield* startLinkEnd({ name: "b", settings });
  const relay = yield* TcpRelay.open(() => b.endpoint);
  const a = yield* startLinkEnd({
    name: "a",
    settings,
    resolve: (name) => name === "b" ? relay.endpoint : undefined,
  });
  b.peers.handle("echo", (_from, message) => Effect.succeed(message));
  return { a: a.peers, b: b.peers, relay };
});

function states(peers: LinkedPeers): readonly string[] {
  const seen: string[] = [];
  peers.subscribe((peer, state) => seen.push(`${peer} ${state}`));
  return seen;
}

test("a link that went silent is replaced without calling its far end down", () =>
  // Something between the ends loses track of their connection: it stays open
  // and carries nothing. The request on it fails, no listener is told that b is
  // down, and the next request passes over a new connection.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a, relay } = yield* relayed(QUICK);
    const seen = states(a);
    assert.equal(yield* a.request("b", ECHO, PATIENT), "hello");
    relay.stall();
    const lost = yield* Effect.flip(a.request("b", ECHO, PATIENT));
    assert.equal(lost.reason, "closed");
    assert.equal(yield* a.request("b", ECHO, PATIENT), "hello");
    assert.deepEqual(seen, ["b up"]);
  }))));

test("a member whose link cannot be replaced is called down", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const known = new Map<string, Endpoint>();
    const a = yield* startLinkEnd({
      name: "a",
      settings: QUICK,
      resolve: (name) => known.get(name),
    });
    const down = yield* Deferred.make<string>();
    a.peers.subscribe((peer, state) => {
      if (state === "down") Deferred.doneUnsafe(down, Effect.succeed(peer));
    });
    yield* Effect.scoped(Effect.gen(function* () {
      const b = yield* startLinkEnd({ name: "b", settings: QUICK });
      known.set("b", b.endpoint);
      b.peers.handle("echo", (_from, message) => Effect.succeed(message));
      yield* a.peers.request("b", ECHO, PATIENT);
    }));
    assert.equal(yield* Deferred.await(down), "b");
    const failure = yield* Effect.flip(a.peers.request("b", ECHO, PATIENT));
    assert.equal(failure.reason, "no-link");
    assert.equal(a.peers.send("b", "echo", "hello"), false);
  }))));

test("a handler whose requester is lost is interrupted", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a, b, relay } = yield* relayed(QUICK);
    const started = yield* Deferred.make<void>();
    const interrupted = yield* Deferred.make<void>();
    b.handle("wait", () =>
      Deferred.succeed(started, undefined).pipe(
        Effect.andThen(Effect.never),
        Effect.onInterrupt(() => Deferred.succeed(interrupted, undefined)),
      ));
    const asking = yield* a.request("b", { channel: "wait", body: 0 }, PATIENT)
      .pipe(Effect.flip, Effect.forkChild);
    yield* Deferred.await(started);
    relay.reset();
    assert.equal((yield* Fiber.join(asking)).reason, "closed");
    yield* Deferred.await(interrupted);
  }))));

test("an idle link closes in good order, and the next message dials again", () =>
  // Nothing passes for a while and the ends take leave. Neither is told that
  // the other is down, and the link comes back when it is needed.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const settings = { heartbeatMs: 10, activeMs: 20, idleMs: 40 };
    const { a, relay } = yield* relayed(settings);
    const seen = states(a);
    yield* a.request("b", ECHO, PATIENT);
    yield* relay.allClosed;
    assert.equal(yield* a.request("b", ECHO, PATIENT), "hello");
    assert.deepEqual(seen, ["b up"]);
  }))));

test("an end that takes leave and closes at once is not called down", () =>
  // b says goodbye and ends the connection before a's next look at its links.
  // a reads the end right after the goodbye, and must take it for agreed.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const a = yield* startLinkEnd({ name: "a" });
    const seen = states(a.peers);
    const socket = yield* dial(a.endpoint);
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    const self = { name: "b", incarnation: 1 };
    const key = TEST_KEY;
    const { sealer } = yield* dialHandshake({ socket, reader, key, self }, "a");
    const goodbye = encodeLinkMessage({ kind: "goodbye" });
    socket.end(sealer.seal(goodbye));
    yield* Effect.flip(Effect.forever(reader.next()));
    assert.deepEqual(seen, ["b up"]);
  }))));

test("heartbeats carry the digest both ways", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const heardByA = yield* Deferred.make<unknown>();
    const heardByB = yield* Deferred.make<unknown>();
    const b = yield* startLinkEnd({
      name: "b",
      settings: { heartbeatMs: 10 },
      digest: {
        read: () => ({ table: 2 }),
        receive: (_from, digest) =>
          Deferred.doneUnsafe(heardByB, Effect.succeed(digest)),
      },
    });
    const a = yield* startLinkEnd({
      name: "a",
      settings: { heartbeatMs: 10 },
      resolve: () => b.endpoint,
      digest: {
        read: () => ({ table: 1 }),
        receive: (_from, digest) =>
          Deferred.doneUnsafe(heardByA, Effect.succeed(digest)),
      },
    });
    a.peers.send("b", "note", null);
    assert.deepEqual(yield* Deferred.await(heardByA), { table: 2 });
    assert.deepEqual(yield* Deferred.await(heardByB), { table: 1 });
  }))));

test("a later start of a member replaces the links of the earlier one", () =>
  // b's process is paused and b is started anew elsewhere. When the earlier one
  // wakes it still has a link, on which it must no more be heard.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const a = yield* startLinkEnd({ name: "a" });
    a.peers.handle("start", (from) => Effect.succeed(`hello ${from}`));
    const resolve = () => a.endpoint;
    const earlier = yield* startLinkEnd({ name: "b", incarnation: 1, resolve });
    const later = yield* startLinkEnd({ name: "b", incarnation: 2, resolve });
    const message = { channel: "start", body: null };
    assert.equal(
      yield* earlier.peers.request("a", message, PATIENT),
      "hello b",
    );
    assert.equal(yield* later.peers.request("a", message, PATIENT), "hello b");
    const refused = yield* Effect.flip(
      earlier.peers.request("a", message, PATIENT),
    );
    assert.match(refused.reason, /closed|no-link/);
    assert.equal(yield* later.peers.request("a", message, PATIENT), "hello b");
  }))));

test("a full queue refuses more messages", () =>
  // b does not read: what a sends stays in a's queue, which is bounded.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const settings = { maxQueuedBytes: 100_000, silentMs: 600_000 };
    const { a, relay } = yield* relayed(settings);
    yield* a.request("b", ECHO, PATIENT);
    relay.stall();
    const body = Buffer.alloc(50_000);
    let accepted = 0;
    while (a.send("b", "note", body)) {
      accepted += 1;
      assert.ok(accepted < 10_000, "the queue has no bound");
      yield* Effect.yieldNow;
    }
  }))));

test("a message over the size of a frame is refused, and the link stays", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a, b } = yield* relayed({ maxFrameBytes: 1000 });
    b.handle("large", () => Effect.succeed(Buffer.alloc(2000)));
    yield* a.request("b", ECHO, PATIENT);
    assert.equal(a.send("b", "echo", Buffer.alloc(2000)), false);
    const large = { channel: "large", body: null };
    const failure = yield* Effect.flip(a.request("b", large, PATIENT));
    assert.equal(failure.reason, "handler-failed");
    assert.equal(yield* a.request("b", ECHO, PATIENT), "hello");
  }))));

test("strangers that say nothing are bounded in number and time", () =>
  // More strangers connect than may be in their handshake at once. The surplus
  // is closed at once, the others after the dial timeout, and members still
  // get through then.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const settings = { maxHandshakes: 2, dialTimeoutMs: 500 };
    const b = yield* startLinkEnd({ name: "b", settings });
    const ends = Array.from({ length: 5 }, () =>
      Effect.callback<void>((resume) => {
        const { address, port } = b.endpoint;
        const socket = connect({ host: address, port });
        socket.on("error", () => {});
        socket.on("close", () =>
          resume(Effect.void));
        socket.resume();
      }));
    yield* Effect.all(ends, { concurrency: "unbounded" });
    b.peers.handle("echo", (_from, message) =>
      Effect.succeed(message));
    const a = yield* startLinkEnd({ name: "a", resolve: () => b.endpoint });
    assert.equal(yield* a.peers.request("b", ECHO, PATIENT), "hello");
  }))));
