/**
 * Reads and writes the objects in the store that hold a partition's claims.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { BatchPlan, ClaimLedger, KnownSegment } from "./claim_ledger.ts";
import { decodeHead, decodeRecords, encodeHead } from "./claim_record.ts";
import { encodeRecords } from "./claim_record.ts";
import type { ClaimHead, UnreadableClaims } from "./claim_record.ts";
import type { Clock } from "./clock.ts";
import type { CrashPoints } from "./crash_points.ts";
import type { Conflict, Store, StoredObject, Unavailable } from "./store.ts";

/** Object kind of the heads. */
export const CLAIMS_KIND = "claims";
/** Above this number, missing segments are read by one list request. */
const MAX_SINGLE_READS = 4;

/** Why a partition could not be read or written. */
export type ClaimStoreFailure = Conflict | Unavailable | UnreadableClaims;

/** Options of {@linkcode ClaimObjects}. */
export interface ClaimObjectsOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly crashPoints: CrashPoints;
}

/**
 * Reads and writes a partition: a head, and the sealed segments that it
 * references. Only the conditional update of the head decides anything. A
 * segment that no head references, left by a crash between the two writes, has
 * no effect.
 */
export class ClaimObjects {
  readonly #options: ClaimObjectsOptions;
  readonly #headName: string;
  readonly #segmentKind: string;

  constructor(index: number, options: ClaimObjectsOptions) {
    this.#options = options;
    this.#headName = `head-${index}`;
    this.#segmentKind = `${CLAIMS_KIND}-${index}`;
  }

  /** Updates the ledger to the head in the store. */
  load(ledger: ClaimLedger): Effect.Effect<void, ClaimStoreFailure> {
    const { store } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const found = yield* store.read(CLAIMS_KIND, this.#headName);
      if (found === undefined) return;
      if (found.version === ledger.version) return;
      const head = decodeHead(found.value);
      if ("_tag" in head) return yield* Effect.fail(head);
      yield* this.#loadSegments(ledger, head, found.version);
      ledger.applyHead(head, found.version);
    });
  }

  /**
   * Seals the current head's records if the plan requires it, then writes the
   * next head.
   */
  save(
    ledger: ClaimLedger,
    plan: BatchPlan,
  ): Effect.Effect<void, ClaimStoreFailure> {
    const { store, crashPoints } = this.#options;
    const head = plan.head;
    if (head === undefined) return Effect.void;
    return Effect.gen({ self: this }, function* () {
      yield* this.#seal(ledger, plan);
      yield* crashPoints.reached("claim.before_write");
      const dropped = plan.dropped.map((name) => ({
        name,
        version: ledger.segment(name)?.version ?? 0,
      }));
      const version = yield* store.write({
        kind: CLAIMS_KIND,
        name: this.#headName,
        value: encodeHead(head),
      }, { ifVersion: ledger.version });
      ledger.applyHead(head, version);
      yield* crashPoints.reached("claim.after_write");
      yield* Effect.forEach(dropped, (segment) => this.#discard(segment));
    });
  }

  #seal(
    ledger: ClaimLedger,
    plan: BatchPlan,
  ): Effect.Effect<void, ClaimStoreFailure> {
    const { store, clock, crashPoints } = this.#options;
    const { sealed } = plan;
    if (sealed === undefined) return Effect.void;
    const name = ledger.version;
    return Effect.gen({ self: this }, function* () {
      yield* crashPoints.reached("claim.before_seal");
      const version = yield* store.write({
        kind: this.#segmentKind,
        name: String(name),
        value: encodeRecords(sealed),
      }, { ifVersion: 0 }).pipe(
        // The name is the head's version, and a version has only one content,
        // so a process that sealed it earlier wrote the same.
        Effect.catchTag(
          "Conflict",
          (conflict) => Effect.succeed(conflict.version),
        ),
      );
      // This process learns of the segment now at the earliest; the head that
      // references it is written later.
      ledger.addSegment(name, {
        records: sealed,
        version,
        knownSince: clock.monotonic(),
      });
      yield* crashPoints.reached("claim.after_seal");
    });
  }

  #loadSegments(
    ledger: ClaimLedger,
    head: ClaimHead,
    headVersion: number,
  ): Effect.Effect<void, ClaimStoreFailure> {
    const missing = ledger.missingSegments(head);
    return Effect.gen({ self: this }, function* () {
      const objects = missing.length > MAX_SINGLE_READS
        ? yield* this.#listSegments(head, headVersion)
        : yield* Effect.forEach(missing, (name) => this.#readSegment(name));
      const byName = new Map(objects.map((item) => [Number(item.name), item]));
      for (const name of missing) {
        const segment = this.#decodeSegment(byName.get(name), name);
        if ("_tag" in segment) return yield* Effect.fail(segment);
        ledger.addSegment(name, segment);
      }
    });
  }

  #readSegment(
    name: number,
  ): Effect.Effect<StoredObject, Unavailable | UnreadableClaims> {
    const { store } = this.#options;
    return Effect.flatMap(
      store.read(this.#segmentKind, String(name)),
      (found) =>
        found === undefined
          ? Effect.fail(this.#missingSegment(name))
          : Effect.succeed(found),
    );
  }

  #listSegments(
    head: ClaimHead,
    headVersion: number,
  ): Effect.Effect<readonly StoredObject[], Unavailable> {
    const { store } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const { items } = yield* store.list(this.#segmentKind);
      const referenced = new Set(head.segments);
      for (const item of items) {
        const name = Number(item.name);
        // Only the head that replaces version `name` can add a reference to
        // this segment. The current head is past that version and has none, so
        // no head ever will.
        if (referenced.has(name) || name >= headVersion) continue;
        yield* this.#discard({ name, version: item.version });
      }
      return items;
    });
  }

  #decodeSegment(
    object: StoredObject | undefined,
    name: number,
  ): KnownSegment | UnreadableClaims {
    // If a missing segment were ignored, its keys would appear to be free, so
    // nothing is claimed.
    if (object === undefined) return this.#missingSegment(name);
    const records = decodeRecords(object.value);
    if ("_tag" in records) return records;
    const knownSince = this.#options.clock.monotonic();
    return { records, version: object.version, knownSince };
  }

  #missingSegment(name: number): UnreadableClaims {
    return {
      _tag: "UnreadableClaims",
      message: `Cannot read claims: no segment "${this.#segmentKind}/${name}"`,
    };
  }

  /**
   * Removes a segment to free memory of the store; a segment left behind does
   * no harm.
   */
  #discard(
    segment: { readonly name: number; readonly version: number },
  ): Effect.Effect<void> {
    const object = { kind: this.#segmentKind, name: String(segment.name) };
    const remove = this.#options.store.remove(object, {
      ifVersion: segment.version,
    });
    return Effect.ignore(remove);
  }
}
