/**
 * Claim records and their stored form.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { KeptAnswer } from "./claims.ts";

/** Number of base64url characters kept of a key's digest: 132 bits. */
const KEY_DIGEST_CHARACTERS = 22;
/**
 * Number of base64url characters kept of a request's digest: 96 bits, enough to
 * distinguish two bodies under one key.
 */
const BODY_DIGEST_CHARACTERS = 16;

/** State of a claim. */
export type ClaimState = "running" | "answered" | "may-have-run" | "withdrawn";

const STATES: readonly ClaimState[] = [
  "running",
  "answered",
  "may-have-run",
  "withdrawn",
];

/** The latest record of a key. */
export interface ClaimRecord {
  /** Digest of the key; the key itself may be private and long. */
  readonly key: string;
  /** Digest of the request. */
  readonly digest: string;
  /** Identifies the claim. */
  readonly id: string;
  /** Name of the member that made the claim. */
  readonly by: string;
  readonly state: ClaimState;
  readonly answer?: KeptAnswer;
}

/**
 * Newest part of a partition, and the only object to which claims are added.
 */
export interface ClaimHead {
  /**
   * Names of the sealed segments, oldest first. A segment is named after the
   * head's version at sealing.
   */
  readonly segments: readonly number[];
  readonly records: readonly ClaimRecord[];
}

/** Claims in the store could not be decoded. */
export interface UnreadableClaims {
  readonly _tag: "UnreadableClaims";
  readonly message: string;
}

/** Returns the digest of a caller's key, as stored in records. */
export function keyDigest(key: string): string {
  return createHash("sha256").update(key).digest("base64url")
    .slice(0, KEY_DIGEST_CHARACTERS);
}

/** Returns the shortened digest of a request's digest, as stored in records. */
export function bodyDigest(digest: string): string {
  return createHash("sha256").update(digest).digest("base64url")
    .slice(0, BODY_DIGEST_CHARACTERS);
}

/**
 * Encodes records for the store as rows without field names, which would double
 * the size.
 */
export function encodeRecords(records: Iterable<ClaimRecord>): unknown[] {
  return Array.from(records, encodeRecord);
}

/** Encodes a head for the store. */
export function encodeHead(head: ClaimHead): unknown {
  return { segments: head.segments, records: encodeRecords(head.records) };
}

/** Decodes a head. */
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

/** Decodes the records of a segment or head. */
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

/** Decodes one record; returns undefined if it is not valid. */
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

/** Encodes one record for the store. */
export function encodeRecord(record: ClaimRecord): unknown {
  const { key, digest, id, by, answer } = record;
  const row = [key, digest, id, by, STATES.indexOf(record.state)];
  if (answer === undefined) return row;
  const headers = answer.headers.map(({ name, value }) => [name, value]);
  const body = Buffer.from(answer.body).toString("base64");
  return [...row, [answer.status, headers, body]];
}

/** Estimates the number of bytes that a record occupies in the store. */
export function storedBytes(record: ClaimRecord): number {
  const answer = record.answer === undefined ? 0 : answerBytes(record.answer);
  const fields = record.key.length + record.digest.length + record.id.length;
  return fields + Buffer.byteLength(record.by) + ROW_PUNCTUATION_BYTES + answer;
}

/** Estimates the number of bytes that an answer occupies in the store. */
export function answerBytes(answer: KeptAnswer): number {
  const BASE64_GROWTH = 4 / 3;
  let size = ROW_PUNCTUATION_BYTES + answer.body.length * BASE64_GROWTH;
  for (const header of answer.headers) {
    // JSON may escape each character to six bytes.
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
