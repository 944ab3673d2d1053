/**
 * Contents of one version of a partition, and the plan of its next version.
 *
 * @module
 */
import { decideRequest, expiredSegments } from "./claim_decision.ts";
import type { ClaimDecision, PartitionRequest } from "./claim_decision.ts";
import { storedBytes } from "./claim_record.ts";
import type { ClaimHead, ClaimRecord } from "./claim_record.ts";

/**
 * Fraction of the maximum number of segments above which a partition keeps no
 * more answers.
 */
const ANSWER_SEGMENT_FRACTION = 0.5;
/** Size of a segment's records while a partition has few segments. */
const SMALL_SEGMENT_BYTES = 8_192;
/** Number of segments at which a new segment has twice that size. */
const DOUBLING_SEGMENTS = 512;
/** Minimum number of writes to a head before it is sealed. */
const WRITES_PER_SEAL = 8;
const TYPICAL_RECORD_BYTES = 100;

/** Limits of a partition's objects. */
export interface ClaimLimits {
  /**
   * Maximum size of a head's records in bytes; the next write seals a larger
   * head.
   */
  readonly sealBytes: number;
  /**
   * Maximum size of the answers kept in a head, in bytes; an answer that does
   * not fit is not kept.
   */
  readonly answerBytes: number;
  /**
   * Maximum number of segments of a partition; new claims are refused once it
   * is reached.
   */
  readonly maxSegments: number;
  /** Minimum time for which a claim is retained, in milliseconds. */
  readonly retentionMs: number;
}

/** A segment that this process has loaded or sealed. */
export interface KnownSegment {
  readonly records: readonly ClaimRecord[];
  /** Version of the segment's object. */
  readonly version: number;
  /**
   * Monotonic time at which this process learnt of the segment, in
   * milliseconds.
   */
  readonly knownSince: number;
}

/** Decisions on a batch of requests, and the writes that they require. */
export interface BatchPlan {
  /** One decision for each request, in their order. */
  readonly decisions: readonly ClaimDecision[];
  /** The next head; absent when nothing needs to be written. */
  readonly head?: ClaimHead;
  /**
   * Records to seal before the head is written, under the current head's
   * version.
   */
  readonly sealed?: readonly ClaimRecord[];
  /** Segments that the next head no longer references. */
  readonly dropped: readonly number[];
}

interface SealedRecord {
  readonly record: ClaimRecord;
  readonly segment: number;
}

/** In-memory state of a partition at one version of its head. */
export class ClaimLedger {
  #version = 0;
  #segments: readonly number[] = [];
  #headRecords = new Map<string, ClaimRecord>();
  readonly #loadedSegments = new Map<number, KnownSegment>();
  readonly #sealedRecords = new Map<string, SealedRecord>();

  /** Version of the head; 0 while the store has none. */
  get version(): number {
    return this.#version;
  }

  /** Returns the segments of a head that this process has not loaded. */
  missingSegments(head: ClaimHead): readonly number[] {
    return head.segments.filter((segment) =>
      !this.#loadedSegments.has(segment)
    );
  }

  /** Returns a loaded segment. */
  segment(name: number): KnownSegment | undefined {
    return this.#loadedSegments.get(name);
  }

  /**
   * Adds a loaded segment, which is kept until a head no longer references it.
   */
  addSegment(name: number, segment: KnownSegment): void {
    if (this.#loadedSegments.has(name)) return;
    this.#loadedSegments.set(name, segment);
  }

  /** Replaces the head by one whose segments are all loaded. */
  applyHead(head: ClaimHead, version: number): void {
    this.#version = version;
    this.#headRecords = new Map(
      head.records.map((record) => [record.key, record]),
    );
    const before = new Set(this.#segments);
    const referenced = new Set(head.segments);
    this.#segments = head.segments;
    // This includes a segment that this process sealed for a head that was not
    // written, because another process wrote the head first.
    for (const name of [...this.#loadedSegments.keys()]) {
      if (!referenced.has(name)) this.#removeSegment(name);
    }
    for (const name of head.segments) {
      if (!before.has(name)) this.#indexSegment(name);
    }
  }

  /** Returns the latest record of a key. */
  find(key: string): ClaimRecord | undefined {
    return this.#headRecords.get(key) ?? this.#sealedRecords.get(key)?.record;
  }

  /**
   * Decides a batch of requests, and builds the head that records the
   * decisions.
   */
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
    const decisions = requests.map((request) => {
      const found = next.get(request.key) ?? this.find(request.key);
      const decision = decideRequest(found, request);
      if (decision._tag !== "Append") return decision;
      const record = withinAnswerBudget(decision.record, answerBudget);
      answerBudget -= answersIn([record]);
      next.set(record.key, record);
      return decision;
    });
    if (decisions.every((decision) => decision._tag !== "Append")) {
      return { decisions, dropped: [] };
    }
    const segments = sealsHead ? [...kept, this.#version] : kept;
    return {
      decisions,
      head: { segments, records: [...next.values()] },
      ...(sealsHead ? { sealed: records } : {}),
      dropped,
    };
  }

  /**
   * Decides a batch for a full partition. No live claim is ever evicted to make
   * room; new claims are refused.
   */
  #planFullBatch(requests: readonly PartitionRequest[]): BatchPlan {
    const decisions = requests.map((request): ClaimDecision => {
      const decision = decideRequest(this.find(request.key), request);
      return decision._tag === "Append" ? { _tag: "Full" } : decision;
    });
    return { decisions, dropped: [] };
  }

  #expiredSegments(
    options: { readonly now: number; readonly limits: ClaimLimits },
  ): readonly number[] {
    const knownSince = new Map<number, number>();
    for (const name of this.#segments) {
      const segment = this.#loadedSegments.get(name);
      if (segment !== undefined) knownSince.set(name, segment.knownSince);
    }
    const { now } = options;
    const { retentionMs } = options.limits;
    return expiredSegments(this.#segments, { knownSince, now, retentionMs });
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
 * Returns the size in bytes at which a head is sealed. Each write contains the
 * whole head and the names of all segments, so heads stay small while there are
 * few segments. Sealing is a write as well, so a head receives several batches
 * first.
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

/**
 * Removes an answer that exceeds the budget; recording the claim takes
 * precedence over keeping its answer.
 */
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
