/**
 * Messages between an entry daemon and the broker of a service.
 *
 * Times are sent as durations, never as timestamps, because the daemons' clocks
 * differ.
 *
 * @module
 */
import * as Exit from "effect/Exit";
import * as Schema from "effect/Schema";

/** Channel for messages from entries to brokers. */
export const TO_BROKER = "broker";
/** Channel for messages from brokers to entries. */
export const TO_ENTRY = "entry";

const MAX_NAME_LENGTH = 256;
const MAX_LIST_LENGTH = 20_000;

const Name = Schema.String.check(Schema.isMaxLength(MAX_NAME_LENGTH));
const NonNegative = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0));

const AskBody = Schema.Struct({
  type: Schema.Literal("ask"),
  askId: Name,
  /** Incremented when the entry issues the ask anew; echoed by grants and refusals. */
  epoch: NonNegative,
  requestId: Name,
  service: Name,
  model: Schema.optionalKey(Name),
  workspace: Name,
  class: Name,
  promptTokens: NonNegative,
  maxTokens: Schema.optionalKey(NonNegative),
  prefixDigest: Schema.optionalKey(Name),
  /** Milliseconds until the request's deadline. */
  remainingMs: NonNegative,
  /** Milliseconds since the request arrived. */
  waitedMs: NonNegative,
  excluded: Schema.Array(Name),
  /** The entry reaches no other broker: grant only its share of the slots. */
  alone: Schema.Boolean,
});

const SettlementBody = Schema.Struct({
  outcome: Schema.Literals([
    "complete",
    "cancelled",
    "refused",
    "failed",
    "silent",
  ]),
  promptTokens: NonNegative,
  outputTokens: NonNegative,
  firstTokenMs: Schema.optionalKey(NonNegative),
  betweenTokensMs: Schema.optionalKey(NonNegative),
});

const WithdrawBody = Schema.Struct({
  type: Schema.Literal("withdraw"),
  service: Name,
  askId: Name,
});

const ReleaseBody = Schema.Struct({
  type: Schema.Literal("release"),
  service: Name,
  askId: Name,
  settlement: SettlementBody,
});

const HeldBody = Schema.Struct({
  askId: Name,
  runner: Name,
  workspace: Name,
  class: Name,
  promptTokens: NonNegative,
});

const EntrySnapshotBody = Schema.Struct({
  type: Schema.Literal("present"),
  service: Name,
  waiting: Schema.Array(Name).check(Schema.isMaxLength(MAX_LIST_LENGTH)),
  held: Schema.Array(HeldBody).check(Schema.isMaxLength(MAX_LIST_LENGTH)),
});

const HeartbeatBody = Schema.Struct({
  type: Schema.Literal("beat"),
  service: Name,
  waiting: NonNegative,
  held: NonNegative,
});

const GrantBody = Schema.Struct({
  type: Schema.Literal("grant"),
  service: Name,
  askId: Name,
  epoch: NonNegative,
  runner: Name,
  validForMs: NonNegative,
});

const RefuseBody = Schema.Struct({
  type: Schema.Literal("refuse"),
  askId: Name,
  epoch: NonNegative,
  code: Schema.Literals([
    "queue_full",
    "limit_reached",
    "deadline_passed",
    "no_runner",
    "leaving",
  ]),
  retryAfterMs: NonNegative,
});

const HeartbeatReplyBody = Schema.Struct({
  type: Schema.Literal("beat_reply"),
  service: Name,
  /** The broker's counts differ from the heartbeat: the entry sends a snapshot. */
  resync: Schema.Boolean,
});

const ToBroker = Schema.Union([
  AskBody,
  WithdrawBody,
  ReleaseBody,
  EntrySnapshotBody,
  HeartbeatBody,
]);
const ToEntry = Schema.Union([GrantBody, RefuseBody, HeartbeatReplyBody]);

/** An entry asks for a slot. Idempotent by the ask's id. */
export type AskMessage = typeof AskBody.Type;
/** An entry no longer wants the slot it asked for. */
export type WithdrawMessage = typeof WithdrawBody.Type;
/** An entry releases a slot. */
export type ReleaseMessage = typeof ReleaseBody.Type;
/** A slot that an entry holds. */
export type HeldSlot = typeof HeldBody.Type;
/** All asks and slots of an entry at a broker; unlisted ones no longer exist. */
export type EntrySnapshotMessage = typeof EntrySnapshotBody.Type;
/** Heartbeat of an entry that has asks or slots at a broker. */
export type HeartbeatMessage = typeof HeartbeatBody.Type;
/** A broker grants a slot at a runner to an ask. */
export type GrantMessage = typeof GrantBody.Type;
/** A broker refuses an ask; the request was not run. */
export type RefuseMessage = typeof RefuseBody.Type;
/** Reply to a heartbeat. */
export type HeartbeatReplyMessage = typeof HeartbeatReplyBody.Type;
/** Any message to a broker. */
export type BrokerMessage = typeof ToBroker.Type;
/** Any message to an entry. */
export type EntryMessage = typeof ToEntry.Type;

const decodeToBroker = Schema.decodeUnknownExit(ToBroker);
const decodeToEntry = Schema.decodeUnknownExit(ToEntry);

/** Validates a message to a broker; `undefined` if it is malformed. */
export function parseBrokerMessage(value: unknown): BrokerMessage | undefined {
  const exit = decodeToBroker(value);
  return Exit.isSuccess(exit) ? exit.value : undefined;
}

/** Validates a message to an entry; `undefined` if it is malformed. */
export function parseEntryMessage(value: unknown): EntryMessage | undefined {
  const exit = decodeToEntry(value);
  return Exit.isSuccess(exit) ? exit.value : undefined;
}
