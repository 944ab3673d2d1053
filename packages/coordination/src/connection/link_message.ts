/**
 * Encodes and decodes the messages on a link.
 *
 * On the wire a message is a CBOR array that starts with the code of its kind.
 * Field names are left out because at the planned fleet size they would take up
 * a good part of a daemon's control traffic.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { decodeItem, encodeItem } from "../process/codec.ts";
import type { LinkClosed } from "./frame.ts";
import { linkClosed } from "./frame.ts";

/** A one-way message. */
export interface Send {
  readonly kind: "send";
  readonly channel: string;
  readonly body: unknown;
}

/** A message whose handler's result is returned in an {@linkcode Answer}. */
export interface Request {
  readonly kind: "request";
  readonly id: number;
  readonly channel: string;
  readonly body: unknown;
}

/** The result of a request's handler. */
export interface Answer {
  readonly kind: "answer";
  readonly id: number;
  readonly body: unknown;
}

/** Why a request failed. */
export type FailureReason = "no-handler" | "busy" | "handler-failed";

/** Reports that a request was refused or that its handler failed. */
export interface Failure {
  readonly kind: "failure";
  readonly id: number;
  readonly reason: FailureReason;
}

/** Cancels a request; its handler is interrupted. */
export interface Cancel {
  readonly kind: "cancel";
  readonly id: number;
}

/** Shows that the sender is alive, and carries its digest. */
export interface Heartbeat {
  readonly kind: "heartbeat";
  readonly digest: unknown;
}

/** Announces that the sender is closing the link and sends no new messages. */
export interface Goodbye {
  readonly kind: "goodbye";
}

/** Any message on a link. */
export type LinkMessage =
  | Send
  | Request
  | Answer
  | Failure
  | Cancel
  | Heartbeat
  | Goodbye;

const KIND_CODES = {
  send: 0,
  request: 1,
  answer: 2,
  failure: 3,
  cancel: 4,
  heartbeat: 5,
  goodbye: 6,
} as const;

const FAILURE_REASONS: readonly FailureReason[] = [
  "no-handler",
  "busy",
  "handler-failed",
];

function encodeFields(message: LinkMessage): readonly unknown[] {
  switch (message.kind) {
    case "send":
      return [message.channel, message.body];
    case "request":
      return [message.id, message.channel, message.body];
    case "answer":
      return [message.id, message.body];
    case "failure":
      return [message.id, FAILURE_REASONS.indexOf(message.reason)];
    case "cancel":
      return [message.id];
    case "heartbeat":
      return [message.digest];
    case "goodbye":
      return [];
  }
}

/** Encodes a message as the payload of a frame. */
export function encodeLinkMessage(message: LinkMessage): Buffer {
  return encodeItem([KIND_CODES[message.kind], ...encodeFields(message)]);
}

function isId(value: unknown): value is number {
  return Number.isSafeInteger(value);
}

function parseMessage(item: readonly unknown[]): LinkMessage | undefined {
  const [kind, first, second, third] = item;
  switch (kind) {
    case KIND_CODES.send:
      if (typeof first !== "string") return undefined;
      return { kind: "send", channel: first, body: second };
    case KIND_CODES.request:
      if (!isId(first) || typeof second !== "string") return undefined;
      return { kind: "request", id: first, channel: second, body: third };
    case KIND_CODES.answer:
      return isId(first)
        ? { kind: "answer", id: first, body: second }
        : undefined;
    case KIND_CODES.failure: {
      const reason = FAILURE_REASONS[Number(second)];
      if (!isId(first) || reason === undefined) return undefined;
      return { kind: "failure", id: first, reason };
    }
    case KIND_CODES.cancel:
      return isId(first) ? { kind: "cancel", id: first } : undefined;
    case KIND_CODES.heartbeat:
      return { kind: "heartbeat", digest: first };
    case KIND_CODES.goodbye:
      return { kind: "goodbye" };
    default:
      return undefined;
  }
}

/** Decodes the payload of an authentic frame. */
export function decodeLinkMessage(
  payload: Uint8Array,
): Result<LinkMessage, LinkClosed> {
  const decoded = decodeItem(payload);
  if (decoded.isErr()) return err(linkClosed("malformed"));
  if (!Array.isArray(decoded.value)) return err(linkClosed("malformed"));
  const message = parseMessage(decoded.value);
  return message === undefined ? err(linkClosed("malformed")) : ok(message);
}
