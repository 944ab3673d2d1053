/**
 * What one version of a partition holds.
 *
 * @module
 */
import { decideRequest, expiredSegments } from "./claim_decision.ts";
import type { ClaimDecision, PartitionRequest } from "./claim_decision.ts";
import { storedBytes } from "./claim_record.ts";
import type { ClaimHead, ClaimRecord } from "./claim_record.ts";

/** Part of its segments beyond which a partition keeps no more answers. */
const ANSWER_SEGMENT_FRACTION = 0.5;
/** Bytes of a small segment's records; a partition with few segments has these. */
const SMALL_SEGMENT_BYTES = 8_192;
/** Segments at which a new one has twice the size of a small one. */
const DOUBLING_SEGMENTS = 512;
/** Writes that a head takes before it is sealed, at the least. */
const WRITES_PER_SEAL = 8;
const TYPICAL_RECORD_BYTES = 100;

/** Bounds of a partition's objects. */
export interface ClaimLimits {
  /** Most bytes of a head's records; more are sealed by the next write. */
  readonly sealBytes: number;
  /** Bytes of kept answers in a head; an answer beyond them is not kept. */
  readonly answerBytes: number;
  /** Segments of a partition; claims are refused when there are as many. */
  readonly maxSegments: number;
  /** How long a claim stands at least, in milliseconds. */
  readonly retentionMs: number;
}

/** A segment as this process knows it. */
export interface KnownSegment {
  readonly records: readonly ClaimRecord[];
  /** Version of its object. */
  readonly version: number;
  /** When this process learnt of it, by its own clock that never goes back. */
  readonly knownSince: number;
}

/** What a batch of requests comes to. */
export interface BatchPlan {
  /** In the order of the requests. */
  readonly decisions: readonly ClaimDecision[];
  /** The next head; absent when nothing needs to be written. */
  readonly head?: ClaimHead;
  /** Records to be sealed, under the present head's version, before the write. */
  readonly sealed?: readonly ClaimRecord[];
  /** Segments that the next head no longer names. */
  readonly dropped: readonly number[];
}

interface SealedRecord {
  readonly record: ClaimRecord;
  readonly segment: number;
}

/** A partition at one version of its head. */
export class ClaimLedger {
  #version = 0;
  #segments: readonly number[] = [];
  #headRecords = new Map<string, ClaimRecord>();
  readonly #loadedSegments = new Map<number, KnownSegment>();
  readonly #sealedRecords = new Map<string, SealedRecord>();

  /** Version of the head; 0 while there is none in the store. */
  get version(): number {
    return this.#version;
  }

  /** Segments named by a head that this process has not loaded. */
  missingSegments(head: ClaimHead): readonly number[] {
    return head.segments.filter((segment) =>
      !this.#loadedSegments.has(segment)
    );
  }

  /** The segment as loaded. */
  segment(name: number): KnownSegment | undefined {
    return this.#loadedSegments.get(name);
  }

  /** Keeps a loaded segment until a head no longer names it. */
  addSegment(name: number, segment: KnownSegment): void {
    if (this.#loadedSegments.has(name)) return;
    this.#loadedSegments.set(name, segment);
  }

  /** Takes over a head, all of whose segments are known. */
  applyHead(head: ClaimHead, version: number): void {
    this.#version = version;
    this.#headRecords = new Map(
      head.records.map((record) => [record.key, record]),
    );
    const before = new Set(this.#segments);
    const named = new Set(head.segments);
    this.#segments = head.segments;
    // Also one that was sealed here for a head that another process overtook.
    for (const name of [...this.#loadedSegments.keys()]) {
      if (!named.has(name)) this.#removeSegment(name);
    }
    for (const name of head.segments) {
      if (!before.has(name)) this.#indexSegment(name);
    }
  }

  /** The latest record of a key. */
  find(key: string): ClaimRecord | undefined {
    return this.#headRecords.get(key) ?? this.#sealedRecords.get(key)?.record;
  }

  /** Judges a batch, and composes the head that would record it. */
  planBatch(
    requests: readonly PartitionRequest[],
    options: { readonly now: number; readonly limits: ClaimLimits },
  ): BatchPlan {
    const { limits } = options;
    const dropped = this.#expiredSegments(options);
    const kept = this.#segments.slice(dropped.length);
    const records = [...this.#headRecords.values()];
    const sealsHead = sum(records.map(storedBytes)) >= sealThreshold(limits, {
      segments: kept.length,
      requests: requests.length,
    });
    if (sealsHead && kept.length >= limits.maxSegments) {
      return this.#planFullBatch(requests);
    }
    const next = new Map(sealsHead ? [] : this.#headRecords);
    const crowded = kept.length > limits.maxSegments * ANSWER_SEGMENT_FRACTION;
    let answerBudget = crowded
      ? 0
      : limits.answerBytes - answersIn(next.values());
    const verdicts = requests.map((request) => {
      const found = next.get(request.key) ?? this.find(request.key);
      const verdict = decideRequest(found, request);
      if (verdict._tag !== "Append") return verdict;
      const record = withinAnswerBudget(verdict.record, answerBudget);
      answerBudget -= answersIn([record]);
      next.set(record.key, record);
      return verdict;
    });
    if (verdicts.every((verdict) => verdict._tag !== "Append")) {
      return { decisions: verdicts, dropped: [] };
    }
    const segments = sealsHead ? [...kept, this.#version] : kept;
    return {
      decisions: verdicts,
      head: { segments, records: [...next.values()] },
      ...(sealsHead ? { sealed: records } : {}),
      dropped,
    };
  }

  /** No live claim is ever dropped to make room: the new one is refused. */
  #planFullBatch(requests: readonly PartitionRequest[]): BatchPlan {
    const verdicts = requests.map((request): ClaimDecision => {
      const verdict = decideRequest(this.find(request.key), request);
      return verdict._tag === "Append" ? { _tag: "Full" } : verdict;
    });
    return { decisions: verdicts, dropped: [] };
  }

  #expiredSegments(
    options: { readonly now: number; readonly limits: ClaimLimits },
  ): readonly number[] {
    const learnt = new Map<number, number>();
    for (const name of this.#segments) {
      const segment = this.#loadedSegments.get(name);
      if (segment !== undefined) learnt.set(name, segment.knownSince);
    }
    const { now } = options;
    const { retentionMs } = options.limits;
    return expiredSegments(this.#segments, { learnt, now, retentionMs });
  }

  #indexSegment(name: number): void {
    for (const record of this.#loadedSegments.get(name)?.records ?? []) {
      this.#sealedRecords.set(record.key, { record, segment: name });
    }
  }

  #removeSegment(name: number): void {
    for (const record of this.#loadedSegments.get(name)?.records ?? []) {
      if (this.#sealedRecords.get(record.key)?.segment !== name) continue;
      this.#sealedRecords.delete(record.key);
    }
    this.#loadedSegments.delete(name);
  }
}

/**
 * Bytes at which a head is sealed. Each write carries the whole head and the
 * names of all segments, so heads are small while segments are few. A seal is a
 * write, too, so a head takes several batches.
 */
function sealThreshold(
  limits: ClaimLimits,
  load: { readonly segments: number; readonly requests: number },
): number {
  const bySegments = SMALL_SEGMENT_BYTES *
    (1 + load.segments / DOUBLING_SEGMENTS);
  const byBatch = WRITES_PER_SEAL * TYPICAL_RECORD_BYTES * load.requests;
  return Math.min(limits.sealBytes, Math.max(bySegments, byBatch));
}

/** A claim matters more than its answer, so an answer without room goes. */
function withinAnswerBudget(
  record: ClaimRecord,
  answerBudget: number,
): ClaimRecord {
  if (answersIn([record]) <= answerBudget) return record;
  const { answer: _, ...withoutAnswer } = record;
  return withoutAnswer;
}

function answersIn(records: Iterable<ClaimRecord>): number {
  let bytes = 0;
  for (const record of records) {
    if (record.answer !== undefined) bytes += storedBytes(record);
  }
  return bytes;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
