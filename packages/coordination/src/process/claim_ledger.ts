/**
 * What one version of a partition holds.
 *
 * @module
 */
import { expiredSegments, judge } from "./claim_decision.ts";
import type { PartitionRequest, Verdict } from "./claim_decision.ts";
import { storedBytes } from "./claim_record.ts";
import type { ClaimHead, ClaimRecord } from "./claim_record.ts";

/** Part of its segments beyond which a partition keeps no more answers. */
const CROWDED_PART = 0.5;
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
  readonly decisions: readonly Verdict[];
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
  #head = new Map<string, ClaimRecord>();
  readonly #known = new Map<number, KnownSegment>();
  readonly #sealed = new Map<string, SealedRecord>();

  /** Version of the head; 0 while there is none in the store. */
  get version(): number {
    return this.#version;
  }

  /** Segments named by a head that this process has not loaded. */
  missingSegments(head: ClaimHead): readonly number[] {
    return head.segments.filter((segment) => !this.#known.has(segment));
  }

  /** The segment as loaded. */
  segment(name: number): KnownSegment | undefined {
    return this.#known.get(name);
  }

  /** Keeps a loaded segment until a head no longer names it. */
  addSegment(name: number, segment: KnownSegment): void {
    if (this.#known.has(name)) return;
    this.#known.set(name, segment);
  }

  /** Takes over a head, all of whose segments are known. */
  applyHead(head: ClaimHead, version: number): void {
    this.#version = version;
    this.#head = new Map(head.records.map((record) => [record.key, record]));
    const before = new Set(this.#segments);
    const named = new Set(head.segments);
    this.#segments = head.segments;
    // Also one that was sealed here for a head that another process overtook.
    for (const name of [...this.#known.keys()]) {
      if (!named.has(name)) this.#forget(name);
    }
    for (const name of head.segments) {
      if (!before.has(name)) this.#merge(name);
    }
  }

  /** The latest record of a key. */
  find(key: string): ClaimRecord | undefined {
    return this.#head.get(key) ?? this.#sealed.get(key)?.record;
  }

  /** Judges a batch, and composes the head that would record it. */
  planBatch(
    requests: readonly PartitionRequest[],
    options: { readonly now: number; readonly limits: ClaimLimits },
  ): BatchPlan {
    const { limits } = options;
    const dropped = this.#expired(options);
    const kept = this.#segments.slice(dropped.length);
    const records = [...this.#head.values()];
    const seals = sum(records.map(storedBytes)) >= sealThreshold(limits, {
      segments: kept.length,
      requests: requests.length,
    });
    if (seals && kept.length >= limits.maxSegments) {
      return this.#composeFull(requests);
    }
    const next = new Map(seals ? [] : this.#head);
    const crowded = kept.length > limits.maxSegments * CROWDED_PART;
    let answerRoom = crowded
      ? 0
      : limits.answerBytes - answersIn(next.values());
    const verdicts = requests.map((request) => {
      const found = next.get(request.key) ?? this.find(request.key);
      const verdict = judge(found, request);
      if (verdict._tag !== "Append") return verdict;
      const record = fitted(verdict.record, answerRoom);
      answerRoom -= answersIn([record]);
      next.set(record.key, record);
      return verdict;
    });
    if (verdicts.every((verdict) => verdict._tag !== "Append")) {
      return { decisions: verdicts, dropped: [] };
    }
    const segments = seals ? [...kept, this.#version] : kept;
    return {
      decisions: verdicts,
      head: { segments, records: [...next.values()] },
      ...(seals ? { sealed: records } : {}),
      dropped,
    };
  }

  /** No live claim is ever dropped to make room: the new one is refused. */
  #composeFull(requests: readonly PartitionRequest[]): BatchPlan {
    const verdicts = requests.map((request): Verdict => {
      const verdict = judge(this.find(request.key), request);
      return verdict._tag === "Append" ? { _tag: "Full" } : verdict;
    });
    return { decisions: verdicts, dropped: [] };
  }

  #expired(
    options: { readonly now: number; readonly limits: ClaimLimits },
  ): readonly number[] {
    const learnt = new Map<number, number>();
    for (const name of this.#segments) {
      const segment = this.#known.get(name);
      if (segment !== undefined) learnt.set(name, segment.knownSince);
    }
    const { now } = options;
    const { retentionMs } = options.limits;
    return expiredSegments(this.#segments, { learnt, now, retentionMs });
  }

  #merge(name: number): void {
    for (const record of this.#known.get(name)?.records ?? []) {
      this.#sealed.set(record.key, { record, segment: name });
    }
  }

  #forget(name: number): void {
    for (const record of this.#known.get(name)?.records ?? []) {
      if (this.#sealed.get(record.key)?.segment !== name) continue;
      this.#sealed.delete(record.key);
    }
    this.#known.delete(name);
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
function fitted(record: ClaimRecord, answerRoom: number): ClaimRecord {
  if (answersIn([record]) <= answerRoom) return record;
  const { answer: _, ...bare } = record;
  return bare;
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
