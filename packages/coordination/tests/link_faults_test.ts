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

const LONG_TIMEOUT = { timeoutMs: 60_000 };
const ECHO = { channel: "echo", body: "hello" };

/** A short silence time-out, but a dial time-out that suits a busy machine. */
const FAST_SETTINGS: Partial<LinkSettings> = {
  heartbeatMs: 20,
  silentMs: 200,
  activeMs: 400,
  dialTimeoutMs: 30_000,
};

/** Connects "a" to "b" through a relay; "b" answers on channel "echo". */
const connectThroughRelay = Effect.fnUntraced(
  function* (settings: Partial<LinkSettings>) {
    const b = yield* startLinkEnd({ name: "b", settings });
    const relay = yield* TcpRelay.open(() => b.endpoint);
    const a = yield* startLinkEnd({
      name: "a",
      settings,
      resolve: (name) => name === "b" ? relay.endpoint : undefined,
    });
    b.peers.handle("echo", (_from, message) => Effect.succeed(message));
    return { a: a.peers, b: b.peers, relay };
  },
);

function recordStates(peers: LinkedPeers): readonly string[] {
  const seen: string[] = [];
  peers.subscribe((peer, state) => seen.push(`${peer} ${state}`));
  return seen;
}

test("a silent link is replaced without reporting the peer as down", () =>
  // A device on the path drops the state of the connection, which stays open
  // but carries nothing. The request on it must fail, no listener may see b as
  // down, and the next request must use a new connection.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a, relay } = yield* connectThroughRelay(FAST_SETTINGS);
    const seen = recordStates(a);
    assert.equal(yield* a.request("b", ECHO, LONG_TIMEOUT), "hello");
    relay.stall();
    const lost = yield* Effect.flip(a.request("b", ECHO, LONG_TIMEOUT));
    assert.equal(lost.reason, "closed");
    assert.equal(yield* a.request("b", ECHO, LONG_TIMEOUT), "hello");
    assert.deepEqual(seen, ["b up"]);
  }))));

test("a member whose link cannot be replaced is reported as down", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const endpoints = new Map<string, Endpoint>();
    const a = yield* startLinkEnd({
      name: "a",
      settings: FAST_SETTINGS,
      resolve: (name) => endpoints.get(name),
    });
    const down = yield* Deferred.make<string>();
    a.peers.subscribe((peer, state) => {
      if (state === "down") Deferred.doneUnsafe(down, Effect.succeed(peer));
    });
    yield* Effect.scoped(Effect.gen(function* () {
      const b = yield* startLinkEnd({ name: "b", settings: FAST_SETTINGS });
      endpoints.set("b", b.endpoint);
      b.peers.handle("echo", (_from, message) => Effect.succeed(message));
      yield* a.peers.request("b", ECHO, LONG_TIMEOUT);
    }));
    assert.equal(yield* Deferred.await(down), "b");
    const failure = yield* Effect.flip(
      a.peers.request("b", ECHO, LONG_TIMEOUT),
    );
    assert.equal(failure.reason, "no-link");
    assert.equal(a.peers.send("b", "echo", "hello"), false);
  }))));

test("a handler is interrupted when the requester's link closes", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a, b, relay } = yield* connectThroughRelay(FAST_SETTINGS);
    const started = yield* Deferred.make<void>();
    const interrupted = yield* Deferred.make<void>();
    b.handle("wait", () =>
      Deferred.succeed(started, undefined).pipe(
        Effect.andThen(Effect.never),
        Effect.onInterrupt(() => Deferred.succeed(interrupted, undefined)),
      ));
    const pending = yield* a.request(
      "b",
      { channel: "wait", body: 0 },
      LONG_TIMEOUT,
    )
      .pipe(Effect.flip, Effect.forkChild);
    yield* Deferred.await(started);
    relay.reset();
    assert.equal((yield* Fiber.join(pending)).reason, "closed");
    yield* Deferred.await(interrupted);
  }))));

test("an idle link closes gracefully, and the next message dials again", () =>
  // After an idle period the ends exchange goodbyes. No listener may see the
  // peer as down, and the next request must dial a new link.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const settings = { heartbeatMs: 10, activeMs: 20, idleMs: 40 };
    const { a, relay } = yield* connectThroughRelay(settings);
    const seen = recordStates(a);
    yield* a.request("b", ECHO, LONG_TIMEOUT);
    yield* relay.allClosed;
    assert.equal(yield* a.request("b", ECHO, LONG_TIMEOUT), "hello");
    assert.deepEqual(seen, ["b up"]);
  }))));

test("a peer that sends goodbye and closes at once is not reported as down", () =>
  // b sends goodbye and ends the connection before a's next sweep. a reads the
  // end of the stream right after the goodbye and must treat it as an orderly
  // close.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const a = yield* startLinkEnd({ name: "a" });
    const seen = recordStates(a.peers);
    const socket = yield* dial(a.endpoint);
    const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
    const self = { name: "b", incarnation: 1 };
    const key = TEST_KEY;
    const { signer } = yield* dialHandshake({
      socket,
      reader,
      key,
      self,
    }, "a");
    const goodbye = encodeLinkMessage({ kind: "goodbye" });
    socket.end(signer.sign(goodbye));
    yield* Effect.flip(Effect.forever(reader.next()));
    assert.deepEqual(seen, ["b up"]);
  }))));

test("heartbeats carry digests in both directions", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const receivedByA = yield* Deferred.make<unknown>();
    const receivedByB = yield* Deferred.make<unknown>();
    const b = yield* startLinkEnd({
      name: "b",
      settings: { heartbeatMs: 10 },
      digest: {
        read: () => ({ table: 2 }),
        receive: (_from, digest) =>
          Deferred.doneUnsafe(receivedByB, Effect.succeed(digest)),
      },
    });
    const a = yield* startLinkEnd({
      name: "a",
      settings: { heartbeatMs: 10 },
      resolve: () => b.endpoint,
      digest: {
        read: () => ({ table: 1 }),
        receive: (_from, digest) =>
          Deferred.doneUnsafe(receivedByA, Effect.succeed(digest)),
      },
    });
    a.peers.send("b", "note", null);
    assert.deepEqual(yield* Deferred.await(receivedByA), { table: 2 });
    assert.deepEqual(yield* Deferred.await(receivedByB), { table: 1 });
  }))));

test("a new incarnation of a member replaces the links of the earlier one", () =>
  // b's process is paused and b is restarted elsewhere. When the earlier
  // process resumes, its link is still open, but its messages must be ignored.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const a = yield* startLinkEnd({ name: "a" });
    a.peers.handle("start", (from) => Effect.succeed(`hello ${from}`));
    const resolve = () => a.endpoint;
    const earlier = yield* startLinkEnd({ name: "b", incarnation: 1, resolve });
    const later = yield* startLinkEnd({ name: "b", incarnation: 2, resolve });
    const message = { channel: "start", body: null };
    assert.equal(
      yield* earlier.peers.request("a", message, LONG_TIMEOUT),
      "hello b",
    );
    assert.equal(
      yield* later.peers.request("a", message, LONG_TIMEOUT),
      "hello b",
    );
    const refused = yield* Effect.flip(
      earlier.peers.request("a", message, LONG_TIMEOUT),
    );
    assert.match(refused.reason, /closed|no-link/);
    assert.equal(
      yield* later.peers.request("a", message, LONG_TIMEOUT),
      "hello b",
    );
  }))));

test("a full send queue rejects further messages", () =>
  // b stops reading, so a's messages accumulate in its bounded send queue.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const settings = { maxQueuedBytes: 100_000, silentMs: 600_000 };
    const { a, relay } = yield* connectThroughRelay(settings);
    yield* a.request("b", ECHO, LONG_TIMEOUT);
    relay.stall();
    const body = Buffer.alloc(50_000);
    let accepted = 0;
    while (a.send("b", "note", body)) {
      accepted += 1;
      assert.ok(accepted < 10_000, "the queue has no bound");
      yield* Effect.yieldNow;
    }
  }))));

test("a message larger than a frame is rejected, and the link stays open", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { a, b } = yield* connectThroughRelay({ maxFrameBytes: 1000 });
    b.handle("large", () => Effect.succeed(Buffer.alloc(2000)));
    yield* a.request("b", ECHO, LONG_TIMEOUT);
    assert.equal(a.send("b", "echo", Buffer.alloc(2000)), false);
    const large = { channel: "large", body: null };
    const failure = yield* Effect.flip(a.request("b", large, LONG_TIMEOUT));
    assert.equal(failure.reason, "handler-failed");
    assert.equal(yield* a.request("b", ECHO, LONG_TIMEOUT), "hello");
  }))));

test("silent unauthenticated connections are bounded in number and time", () =>
  // More clients connect than may be in the handshake at once, and none sends
  // anything. The surplus is closed at once and the others after the dial
  // time-out; after that, members can connect.
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
    assert.equal(yield* a.peers.request("b", ECHO, LONG_TIMEOUT), "hello");
  }))));
