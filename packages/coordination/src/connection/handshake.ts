/**
 * Mutual authentication at the start of a link.
 *
 * The ends exchange four frames, the dialling end first:
 *
 * 1. hello: magic, lowest and highest supported version, 32 random bytes.
 * 2. hello of the accepting end.
 * 3. proof: HMAC-SHA256 over both hellos and the sender's identity, and that
 *    identity.
 * 4. proof of the accepting end, which also covers the dialling end's identity.
 *
 * The accepting end sends its proof only after it has checked that of the
 * dialling end, so that a client without the key receives nothing but random
 * bytes. Hellos have a fixed layout, and an identity is decoded only after its
 * HMAC has been checked, so no unauthenticated input reaches the CBOR decoder.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createHmac,
  hkdfSync,
  randomBytes,
  timingSafeEqual,
} from "node:crypto";
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import { decodeItem, encodeItem } from "../process/codec.ts";
import type { FrameReader, LinkClosed } from "./frame.ts";
import { encodeFrame, linkClosed } from "./frame.ts";
import { FrameSigner, FrameVerifier } from "./session.ts";
import type { Session } from "./session.ts";

/** Largest frame that is accepted during the handshake, in bytes. */
export const MAX_HANDSHAKE_FRAME_BYTES = 512;

/** Lowest supported version of the link protocol. */
export const MIN_PROTOCOL_VERSION = 1;

/** Highest supported version of the link protocol. */
export const MAX_PROTOCOL_VERSION = 1;

const MAGIC = Buffer.from("umbl");
const NONCE_BYTES = 32;
const PROOF_BYTES = 32;
const KEY_BYTES = 32;
const MIN_VERSION_OFFSET = MAGIC.length;
const MAX_VERSION_OFFSET = MIN_VERSION_OFFSET + 1;
const NONCE_OFFSET = MAX_VERSION_OFFSET + 1;
const HELLO_BYTES = NONCE_OFFSET + NONCE_BYTES;

/** Identity that an end of a link states. */
export interface Identity {
  readonly name: string;
  readonly incarnation: number;
}

/** Settings of one end of a handshake. */
export interface HandshakeOptions {
  readonly socket: Socket;
  readonly reader: FrameReader;
  /** The key that all members share. */
  readonly key: Uint8Array;
  readonly self: Identity;
}

/** The hellos of both ends, and the version agreed on. */
interface Transcript {
  readonly diallerHello: Buffer;
  readonly accepterHello: Buffer;
  readonly version: number;
}

function makeHello(): Buffer {
  const versions = Buffer.of(MIN_PROTOCOL_VERSION, MAX_PROTOCOL_VERSION);
  return Buffer.concat([MAGIC, versions, randomBytes(NONCE_BYTES)]);
}

function checkHello(hello: Buffer): Effect.Effect<number, LinkClosed> {
  const valid = hello.length === HELLO_BYTES &&
    hello.subarray(0, MAGIC.length).equals(MAGIC);
  if (!valid) return Effect.fail(linkClosed("refused", "invalid hello"));
  const lowest = hello.readUInt8(MIN_VERSION_OFFSET);
  const highest = hello.readUInt8(MAX_VERSION_OFFSET);
  const version = Math.min(highest, MAX_PROTOCOL_VERSION);
  if (version >= Math.max(lowest, MIN_PROTOCOL_VERSION)) {
    return Effect.succeed(version);
  }
  return Effect.fail(
    linkClosed("refused", `no common version with ${lowest}..${highest}`),
  );
}

type Role = "dialler" | "accepter";

/**
 * The proof covers the role, so that a proof replayed to its sender is invalid.
 */
function computeProof(
  key: Uint8Array,
  role: Role,
  covered: readonly Uint8Array[],
): Buffer {
  const hmac = createHmac("sha256", key).update(`umbermast link ${role}`);
  for (const part of covered) hmac.update(part);
  return hmac.digest();
}

function isIdentity(value: unknown): value is Identity {
  if (typeof value !== "object" || value === null) return false;
  const { name, incarnation } = value as Partial<Identity>;
  return typeof name === "string" && Number.isSafeInteger(incarnation);
}

function checkProof(
  frame: Buffer,
  expected: (identity: Buffer) => Buffer,
): Effect.Effect<Identity, LinkClosed> {
  if (frame.length <= PROOF_BYTES) return Effect.fail(linkClosed("forged"));
  const identity = frame.subarray(PROOF_BYTES);
  const proof = frame.subarray(0, PROOF_BYTES);
  if (!timingSafeEqual(proof, expected(identity))) {
    return Effect.fail(linkClosed("forged", "wrong key"));
  }
  const decoded = decodeItem(identity);
  if (decoded.isErr() || !isIdentity(decoded.value)) {
    return Effect.fail(linkClosed("malformed", "identity"));
  }
  return Effect.succeed(decoded.value);
}

function deriveSessionKey(
  key: Uint8Array,
  from: Role,
  transcript: Transcript,
): Buffer {
  const salt = Buffer.concat([
    transcript.diallerHello,
    transcript.accepterHello,
  ]);
  const info = `umbermast link v${transcript.version} from ${from}`;
  return Buffer.from(hkdfSync("sha256", key, salt, info, KEY_BYTES));
}

/**
 * Runs the handshake as the dialling end.
 *
 * @param expected name of the dialled member. A different member at its address
 * is refused, since the address of a replaced host may be reused.
 */
export const dialHandshake = Effect.fnUntraced(function* (
  options: HandshakeOptions,
  expected: string,
): Effect.fn.Return<Session, LinkClosed> {
  const { socket, reader, key } = options;
  const diallerHello = makeHello();
  socket.write(encodeFrame([diallerHello]));
  const accepterHello = yield* reader.next();
  const version = yield* checkHello(accepterHello);
  const transcript: Transcript = { diallerHello, accepterHello, version };
  const ownIdentity = encodeItem(options.self);
  const proof = computeProof(key, "dialler", [
    diallerHello,
    accepterHello,
    ownIdentity,
  ]);
  socket.write(encodeFrame([proof, ownIdentity]));
  const peerProof = yield* reader.next();
  const peer = yield* checkProof(
    peerProof,
    (peerIdentity) =>
      computeProof(key, "accepter", [
        diallerHello,
        accepterHello,
        ownIdentity,
        peerIdentity,
      ]),
  );
  if (peer.name !== expected) {
    return yield* Effect.fail(
      linkClosed("refused", `expected "${expected}", got "${peer.name}"`),
    );
  }
  return {
    peer: peer.name,
    incarnation: peer.incarnation,
    version,
    signer: new FrameSigner(deriveSessionKey(key, "dialler", transcript)),
    verifier: new FrameVerifier(deriveSessionKey(key, "accepter", transcript)),
  };
});

/** Runs the handshake as the accepting end. */
export const acceptHandshake = Effect.fnUntraced(function* (
  options: HandshakeOptions,
): Effect.fn.Return<Session, LinkClosed> {
  const { socket, reader, key } = options;
  const diallerHello = yield* reader.next();
  const version = yield* checkHello(diallerHello);
  const accepterHello = makeHello();
  socket.write(encodeFrame([accepterHello]));
  const transcript: Transcript = { diallerHello, accepterHello, version };
  const peerProof = yield* reader.next();
  const peerIdentity = peerProof.subarray(PROOF_BYTES);
  const peer = yield* checkProof(
    peerProof,
    (identity) =>
      computeProof(key, "dialler", [diallerHello, accepterHello, identity]),
  );
  const ownIdentity = encodeItem(options.self);
  const proof = computeProof(key, "accepter", [
    diallerHello,
    accepterHello,
    peerIdentity,
    ownIdentity,
  ]);
  socket.write(encodeFrame([proof, ownIdentity]));
  return {
    peer: peer.name,
    incarnation: peer.incarnation,
    version,
    signer: new FrameSigner(deriveSessionKey(key, "accepter", transcript)),
    verifier: new FrameVerifier(deriveSessionKey(key, "dialler", transcript)),
  };
});
