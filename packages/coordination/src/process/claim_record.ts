/**
 * Records of claims, and the form in which the store holds them.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { KeptAnswer } from "./claims.ts";

/** Characters of a base64url digest that are kept: 132 bits. */
const KEY_DIGEST_CHARACTERS = 22;
/** 96 bits: two bodies under one key are told apart. */
const BODY_DIGEST_CHARACTERS = 16;

/** What became of a claim. */
export type ClaimState = "running" | "answered" | "may-have-run" | "withdrawn";

const STATES: readonly ClaimState[] = [
  "running",
  "answered",
  "may-have-run",
  "withdrawn",
];

/** The latest that is known of a key. */
export interface ClaimRecord {
  /** Digest of the key; the key itself may be private and long. */
  readonly key: string;
  /** Digest of the request. */
  readonly digest: string;
  /** Identifies the claim. */
  readonly id: string;
  /** Name of the member that made it. */
  readonly by: string;
  readonly state: ClaimState;
  readonly answer?: KeptAnswer;
}

/** Newest part of a partition; the only object that takes new claims. */
export interface ClaimHead {
  /** Names of the sealed segments, oldest first: the head's version when sealed. */
  readonly segments: readonly number[];
  readonly records: readonly ClaimRecord[];
}

/** A claim in the store could not be understood. */
export interface UnreadableClaims {
  readonly _tag: "UnreadableClaims";
  readonly message: string;
}

/** Digest of a caller's key, as records hold it. */
export function keyDigest(key: string): string {
  return createHash("sha256").update(key).digest("base64url")
    .slice(0, KEY_DIGEST_CHARACTERS);
}

/** Digest of a request, as records hold it. */
export function bodyDigest(digest: string): string {
  return createHash("sha256").update(digest).digest("base64url")
    .slice(0, BODY_DIGEST_CHARACTERS);
}

/** Stored form of records: rows without field names, which would double the size. */
export function encodeRecords(records: Iterable<ClaimRecord>): unknown[] {
  return Array.from(records, encodeRecord);
}

/** Stored form of a head. */
export function encodeHead(head: ClaimHead): unknown {
  return { segments: head.segments, records: encodeRecords(head.records) };
}

/** Reads a head. */
export function decodeHead(value: unknown): ClaimHead | UnreadableClaims {
  const head = value as Partial<Record<keyof ClaimHead, unknown>> | undefined;
  const segments = head?.segments;
  if (!Array.isArray(segments) || !segments.every(Number.isSafeInteger)) {
    return unreadable('"segments" is not a list of versions');
  }
  const records = decodeRecords(head?.records);
  if ("_tag" in records) return records;
  return { segments, records };
}

/** Reads the records of a segment or head. */
export function decodeRecords(
  value: unknown,
): readonly ClaimRecord[] | UnreadableClaims {
  if (!Array.isArray(value)) return unreadable('"records" is not a list');
  const records: ClaimRecord[] = [];
  for (const [index, row] of value.entries()) {
    const record = decodeRecord(row);
    if (record === undefined) return unreadable(`record ${index} is not valid`);
    records.push(record);
  }
  return records;
}

/** Reads one record; undefined when it is not valid. */
export function decodeRecord(row: unknown): ClaimRecord | undefined {
  if (!Array.isArray(row)) return undefined;
  const [key, digest, id, by, stateIndex, answer] = row as unknown[];
  const state = STATES[stateIndex as number];
  if (typeof key !== "string" || typeof digest !== "string") return undefined;
  if (typeof id !== "string" || typeof by !== "string") return undefined;
  if (state === undefined) return undefined;
  const record = { key, digest, id, by, state };
  if (answer === undefined) return record;
  const kept = decodeAnswer(answer);
  return kept === undefined ? undefined : { ...record, answer: kept };
}

/** Stored form of one record. */
export function encodeRecord(record: ClaimRecord): unknown {
  const { key, digest, id, by, answer } = record;
  const row = [key, digest, id, by, STATES.indexOf(record.state)];
  if (answer === undefined) return row;
  const headers = answer.headers.map(({ name, value }) => [name, value]);
  const body = Buffer.from(answer.body).toString("base64");
  return [...row, [answer.status, headers, body]];
}

/** Bytes that a record takes in the store. */
export function storedBytes(record: ClaimRecord): number {
  const answer = record.answer === undefined ? 0 : answerBytes(record.answer);
  const fields = record.key.length + record.digest.length + record.id.length;
  return fields + Buffer.byteLength(record.by) + ROW_PUNCTUATION_BYTES + answer;
}

/** Bytes that an answer takes in the store. */
export function answerBytes(answer: KeptAnswer): number {
  const BASE64_GROWTH = 4 / 3;
  let size = ROW_PUNCTUATION_BYTES + answer.body.length * BASE64_GROWTH;
  for (const header of answer.headers) {
    // JSON may escape each character to six.
    size += 6 * (header.name.length + header.value.length);
  }
  return Math.ceil(size);
}

const ROW_PUNCTUATION_BYTES = 20;

function decodeAnswer(value: unknown): KeptAnswer | undefined {
  if (!Array.isArray(value)) return undefined;
  const [status, rows, body] = value as unknown[];
  if (typeof status !== "number" || typeof body !== "string") return undefined;
  if (!Array.isArray(rows)) return undefined;
  const headers = rows.map((row: unknown[]) => ({
    name: String(row[0]),
    value: String(row[1]),
  }));
  return { status, headers, body: Buffer.from(body, "base64") };
}

function unreadable(detail: string): UnreadableClaims {
  return { _tag: "UnreadableClaims", message: `Cannot read claims: ${detail}` };
}
