import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import { dial } from "../src/connection/dial.ts";
import { encodeFrame, FrameReader } from "../src/connection/frame.ts";
import type { LinkClosed } from "../src/connection/frame.ts";
import {
  acceptHandshake,
  dialHandshake,
  MAX_HANDSHAKE_FRAME_BYTES,
} from "../src/connection/handshake.ts";
import type { Session } from "../src/connection/session.ts";
import { TEST_KEY } from "./link_fixture.ts";
import { echoServer, socketPair } from "./socket_fixture.ts";

function handshakeOptions(
  socket: Socket,
  name: string,
  key: Uint8Array = TEST_KEY,
) {
  const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
  return { socket, reader, key, self: { name, incarnation: 7 } };
}

interface HandshakeResults {
  readonly dialler: Exit.Exit<Session, LinkClosed>;
  readonly accepter: Exit.Exit<Session, LinkClosed>;
}

/** Runs both ends of a handshake; an end that fails destroys its socket. */
const runHandshake = Effect.fnUntraced(function* (options: {
  readonly expected?: string;
  readonly diallerKey?: Uint8Array;
}) {
  const { near, far } = yield* socketPair;
  const dialled = dialHandshake(
    handshakeOptions(near, "a", options.diallerKey),
    options.expected ?? "b",
  ).pipe(Effect.onError(() => Effect.sync(() => near.destroy())));
  const accepted = acceptHandshake(handshakeOptions(far, "b")).pipe(
    Effect.onError(() => Effect.sync(() => far.destroy())),
  );
  const [dialler, accepter] = yield* Effect.all(
    [Effect.exit(dialled), Effect.exit(accepted)],
    { concurrency: 2 },
  );
  const ends: HandshakeResults = { dialler, accepter };
  return ends;
});

function reasonOf(exit: Exit.Exit<Session, LinkClosed>): string | undefined {
  const error = Exit.isFailure(exit) ? exit.cause.reasons[0] : undefined;
  return error !== undefined && "error" in error
    ? `${error.error.reason}: ${error.error.detail}`
    : undefined;
}

test("a handshake authenticates both ends and derives shared keys", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { dialler, accepter } = yield* runHandshake({});
    assert.ok(Exit.isSuccess(dialler) && Exit.isSuccess(accepter));
    assert.equal(dialler.value.peer, "b");
    assert.equal(accepter.value.peer, "a");
    assert.equal(accepter.value.incarnation, 7);
    const message = Buffer.from("hello");
    const frame = dialler.value.signer.sign(message).subarray(4);
    const opened = accepter.value.verifier.verify(frame);
    assert.deepEqual(opened.unwrapOr(Buffer.alloc(0)), message);
  }))));

test("an end with a different key is refused", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { dialler, accepter } = yield* runHandshake({
      diallerKey: Buffer.from("another key"),
    });
    assert.equal(reasonOf(accepter), "forged: wrong key");
    assert.ok(Exit.isFailure(dialler));
  }))));

test("a different member at the dialled address is refused", () =>
  // A member's host was replaced and another member reuses its address.
  // Messages for the first must not reach the second.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { dialler } = yield* runHandshake({ expected: "c" });
    assert.equal(reasonOf(dialler), 'refused: expected "c", got "b"');
  }))));

test("a proof that is replayed to its sender is refused", () =>
  // An attacker without the key can only echo what it received. The proof
  // covers the role of the sender, so an echoed proof is invalid.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const socket = yield* dial(yield* echoServer);
    const exit = yield* Effect.exit(
      dialHandshake(handshakeOptions(socket, "a"), "a"),
    );
    socket.destroy();
    assert.equal(reasonOf(exit), "forged: wrong key");
  }))));

test("an unauthenticated identity is refused before it is decoded", () =>
  // The bytes after the proof are not valid CBOR. If they were decoded before
  // the proof was checked, the reason would be "malformed".
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { near, far } = yield* socketPair;
    const hello = Buffer.concat([
      Buffer.from("umbl"),
      Buffer.of(1, 1),
      Buffer.alloc(32),
    ]);
    near.write(encodeFrame([hello]));
    near.write(encodeFrame([Buffer.alloc(32), Buffer.alloc(8, 0xff)]));
    const exit = yield* Effect.exit(
      acceptHandshake(handshakeOptions(far, "b")),
    );
    assert.equal(reasonOf(exit), "forged: wrong key");
  }))));

test("a frame that is not a hello is refused", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { near, far } = yield* socketPair;
    near.write(encodeFrame([Buffer.from("GET / HTTP/1.1")]));
    const exit = yield* Effect.exit(
      acceptHandshake(handshakeOptions(far, "b")),
    );
    assert.equal(reasonOf(exit), "refused: invalid hello");
  }))));

test("an end without a common protocol version is refused", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { near, far } = yield* socketPair;
    const hello = Buffer.concat([
      Buffer.from("umbl"),
      Buffer.of(2, 9),
      Buffer.alloc(32),
    ]);
    near.write(encodeFrame([hello]));
    const exit = yield* Effect.exit(
      acceptHandshake(handshakeOptions(far, "b")),
    );
    assert.equal(reasonOf(exit), "refused: no common version with 2..9");
  }))));
