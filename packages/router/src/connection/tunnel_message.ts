/**
 * Messages between a daemon that does not reach a runner and a peer that does. Each
 * connection to a runner by way of a peer has a channel of its own.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { decodeItem, encodeItem } from "@umbermast/coordination/codec";
import type { PeerVerdict } from "../process/runner_paths.ts";
import { encodeFrame } from "@umbermast/coordination/frame_bytes";

/** A message on a tunnel channel. */
export type TunnelMessage =
  /** Requests a connection to a runner. First message of a channel. */
  | { readonly kind: "connect"; readonly runner: string }
  /** The connection is open. */
  | { readonly kind: "connected" }
  /** There is no connection; nothing was sent to the runner. */
  | { readonly kind: "rejected"; readonly reason: string }
  /**
   * Asks whether the peer has reached a runner within some time, or does so now.
   * First message of a channel.
   */
  | {
    readonly kind: "check";
    readonly runner: string;
    readonly withinMs: number;
  }
  | { readonly kind: "checked"; readonly verdict: PeerVerdict }
  /** Bytes to or from the runner. */
  | { readonly kind: "data"; readonly bytes: Buffer }
  /** The sender's side has ended as it should. */
  | { readonly kind: "end" }
  /** The connection to the runner broke. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The peer is shutting down; the channel takes no further requests. */
  | { readonly kind: "leaving" };

/** Codes of the messages on the wire, by their kinds. */
const CODES = {
  connect: 0,
  connected: 1,
  rejected: 2,
  check: 3,
  checked: 4,
  data: 5,
  end: 6,
  broken: 7,
  leaving: 8,
} as const satisfies Record<TunnelMessage["kind"], number>;

const VERDICTS: readonly PeerVerdict[] = [
  "reached",
  "refused",
  "unreached",
  "unknown",
];

/** A tunnel message that is malformed. */
export class TunnelMessageError extends Error {
  override readonly name = "TunnelMessageError";
}

function fieldsOf(message: TunnelMessage): readonly unknown[] {
  switch (message.kind) {
    case "connect":
      return [message.runner];
    case "rejected":
    case "broken":
      return [message.reason];
    case "check":
      return [message.runner, message.withinMs];
    case "checked":
      return [message.verdict];
    case "data":
      return [message.bytes];
    case "connected":
    case "end":
    case "leaving":
      return [];
  }
}

/** Encodes a message as a frame. */
export function encodeTunnelMessage(message: TunnelMessage): Buffer {
  const item = [CODES[message.kind], ...fieldsOf(message)];
  return encodeFrame([encodeItem(item)]);
}

function textOf(value: unknown): string {
  if (typeof value === "string") return value;
  throw new TunnelMessageError("Cannot read tunnel message: a text is needed");
}

function durationOf(value: unknown): number {
  if (typeof value === "number" && value >= 0) return value;
  throw new TunnelMessageError("Cannot read tunnel message: a time is needed");
}

function bytesOf(value: unknown): Buffer {
  if (value instanceof Uint8Array) {
    return Buffer.from(value.buffer, value.byteOffset, value.byteLength);
  }
  throw new TunnelMessageError("Cannot read tunnel message: bytes are needed");
}

function verdictOf(value: unknown): PeerVerdict {
  const verdict = VERDICTS.find((known) => known === value);
  if (verdict !== undefined) return verdict;
  throw new TunnelMessageError("Cannot read tunnel message: unknown verdict");
}

/**
 * Decodes the content of a frame.
 *
 * @throws {TunnelMessageError} if it is no tunnel message.
 */
export function decodeTunnelMessage(frame: Buffer): TunnelMessage {
  const decoded = decodeItem(frame);
  if (decoded.isErr() || !Array.isArray(decoded.value)) {
    throw new TunnelMessageError("Cannot read tunnel message: no CBOR array");
  }
  const [code, first, second] = decoded.value;
  switch (code) {
    case CODES.connect:
      return { kind: "connect", runner: textOf(first) };
    case CODES.connected:
      return { kind: "connected" };
    case CODES.rejected:
      return { kind: "rejected", reason: textOf(first) };
    case CODES.check:
      return {
        kind: "check",
        runner: textOf(first),
        withinMs: durationOf(second),
      };
    case CODES.checked:
      return { kind: "checked", verdict: verdictOf(first) };
    case CODES.data:
      return { kind: "data", bytes: bytesOf(first) };
    case CODES.end:
      return { kind: "end" };
    case CODES.broken:
      return { kind: "broken", reason: textOf(first) };
    case CODES.leaving:
      return { kind: "leaving" };
    default:
      throw new TunnelMessageError(
        `Cannot read tunnel message: unknown code "${code}"`,
      );
  }
}
