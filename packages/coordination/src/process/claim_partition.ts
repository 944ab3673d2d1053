/**
 * One partition of the claims, as this process reads and writes it.
 *
 * @module
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Latch from "effect/Latch";
import type { ClaimDecision, PartitionRequest } from "./claim_decision.ts";
import type { BatchPlan, ClaimLimits } from "./claim_ledger.ts";
import { ClaimLedger } from "./claim_ledger.ts";
import { ClaimObjects } from "./claim_objects.ts";
import type { ClaimStoreFailure } from "./claim_objects.ts";
import type { Clock } from "./clock.ts";
import type { CrashPoints } from "./crash_points.ts";
import type { Store } from "./store.ts";
import { WriteRateLimiter } from "./write_rate_limiter.ts";

/** How long a settlement waits for claims to share their write. */
const SETTLE_DELAY_MS = 100;
/** Bounds the head: half a megabyte at the longest names. */
const MAX_BATCH = 1_000;

/** A request could not be decided in time. */
export interface Undecided {
  readonly _tag: "Undecided";
  readonly reason: string;
  /** It may be recorded, now or later; false when it certainly never will. */
  readonly mayStand: boolean;
  readonly retryAfterMs?: number;
}

/** Settings of a {@linkcode ClaimPartition}. */
export interface ClaimPartitionOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly crashPoints: CrashPoints;
  readonly limits: ClaimLimits;
  /** Claims that come together within this time share a write. */
  readonly batchMs: number;
  /** Bound on the writes of this partition by this process. */
  readonly writesPerSecond: number;
}

interface PendingRequest {
  readonly request: PartitionRequest;
  readonly done: Deferred.Deferred<ClaimDecision>;
  /** A write that carries it may have taken effect. */
  mayBeRecorded: boolean;
}

/**
 * Joins requests into conditional updates of the partition's head.
 *
 * Any number of processes may do so at once: a claim counts only when the update
 * that carries it succeeded, and the update succeeds only if the head is still
 * the one against which the claim was judged. A process that was paused, that
 * lost a reply, or that wrongly believes to be the only one, meets a conflict and
 * judges again.
 */
export class ClaimPartition {
  readonly #options: ClaimPartitionOptions;
  readonly #objects: ClaimObjects;
  readonly #ledger = new ClaimLedger();
  readonly #rateLimiter: WriteRateLimiter;
  readonly #pending = new Set<PendingRequest>();
  readonly #wake = Latch.makeUnsafe(false);
  #headIsCurrent = false;
  #lastWriteConflicted = false;
  #lastFailure: ClaimStoreFailure | undefined;
  #usedAt: number;

  constructor(index: number, options: ClaimPartitionOptions) {
    this.#options = options;
    this.#objects = new ClaimObjects(index, options);
    this.#rateLimiter = new WriteRateLimiter(options.clock, options);
    this.#usedAt = options.clock.monotonic();
  }

  /** When a request last came, by the clock that never goes back. */
  get lastUsedAt(): number {
    return this.#usedAt;
  }

  /** Requests that are not decided yet. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /** Decides a request; a verdict that depends on a write comes after it. */
  submit(
    request: PartitionRequest,
    options: { readonly timeoutMs: number },
  ): Effect.Effect<ClaimDecision, Undecided> {
    return Effect.suspend(() => {
      const done = Deferred.makeUnsafe<ClaimDecision>();
      const item: PendingRequest = { request, done, mayBeRecorded: false };
      this.#usedAt = this.#options.clock.monotonic();
      this.#pending.add(item);
      this.#scheduleWake(request);
      return Deferred.await(done).pipe(
        Effect.timeoutOrElse({
          duration: options.timeoutMs,
          orElse: () => Effect.fail(this.#undecided(item)),
        }),
        Effect.ensuring(Effect.sync(() => this.#pending.delete(item))),
      );
    });
  }

  /** Serves the requests, one write at a time, until it is interrupted. */
  run(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#wake.await;
      this.#wake.closeUnsafe();
      yield* Effect.sleep(this.#options.batchMs);
      if (this.#pending.size === 0) return;
      yield* this.#processPending();
      if (this.#pending.size > 0) this.#wake.openUnsafe();
    }).pipe(Effect.forever);
  }

  #scheduleWake(request: PartitionRequest): void {
    const urgent = request._tag === "Claim" || request.state === "withdrawn";
    if (urgent) return void this.#wake.openUnsafe();
    setTimeout(() => this.#wake.openUnsafe(), SETTLE_DELAY_MS).unref();
  }

  /** Decides what waits, with one write at most. */
  #processPending(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      // Two processes that write at the same pace would meet a conflict each
      // time if they read first and waited for their turn then. So after a
      // conflict the turn comes first, and the write follows the read at once.
      const waited = this.#lastWriteConflicted;
      if (waited) yield* this.#rateLimiter.acquire();
      if (!this.#headIsCurrent) {
        yield* this.#objects.load(this.#ledger);
        this.#headIsCurrent = true;
      }
      const early = this.#planBatch();
      this.#resolve(early.batch, early.composition);
      if (early.composition.head === undefined) return;
      if (!waited) yield* this.#rateLimiter.acquire();
      const { batch, composition } = this.#planBatch();
      if (composition.head === undefined) {
        return this.#resolve(batch, composition);
      }
      yield* this.#write(batch, composition);
      this.#resolve(batch, composition, { written: true });
    }).pipe(
      Effect.catch((failure) => this.#handleFailure(failure)),
    );
  }

  #planBatch(): {
    readonly batch: readonly PendingRequest[];
    readonly composition: BatchPlan;
  } {
    const batch = [...this.#pending].slice(0, MAX_BATCH);
    const requests = batch.map((item) => item.request);
    const now = this.#options.clock.monotonic();
    const { limits } = this.#options;
    return {
      batch,
      composition: this.#ledger.planBatch(requests, { now, limits }),
    };
  }

  #write(
    batch: readonly PendingRequest[],
    composition: BatchPlan,
  ): Effect.Effect<void, ClaimStoreFailure> {
    const before = batch.map(({ mayBeRecorded: tried }) => tried);
    return Effect.gen({ self: this }, function* () {
      // Unknown until the write has succeeded: an interruption in between must
      // lead to a fresh read, as after a lost reply.
      this.#headIsCurrent = false;
      if (composition.sealed !== undefined) {
        yield* this.#rateLimiter.acquire();
      }
      for (const item of batch) item.mayBeRecorded = true;
      yield* this.#objects.save(this.#ledger, composition);
      this.#headIsCurrent = true;
      this.#lastWriteConflicted = false;
      this.#lastFailure = undefined;
      this.#rateLimiter.recordSuccess();
    }).pipe(Effect.tapError((failure) =>
      Effect.sync(() => {
        for (const [index, item] of batch.entries()) {
          item.mayBeRecorded = mayBeRecorded(failure, before[index] ?? true);
        }
      })
    ));
  }

  #resolve(
    batch: readonly PendingRequest[],
    composition: BatchPlan,
    options: { readonly written: boolean } = { written: false },
  ): void {
    for (const [index, item] of batch.entries()) {
      const verdict = composition.decisions[index];
      if (verdict === undefined) continue;
      const appended = verdict._tag === "Append";
      if (appended && !options.written) continue;
      this.#pending.delete(item);
      Deferred.doneUnsafe(
        item.done,
        Effect.succeed(appended ? recordedDecision(item.request) : verdict),
      );
    }
  }

  /** After a conflict, a failure or a lost reply the head is read again. */
  #handleFailure(failure: ClaimStoreFailure): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.#headIsCurrent = false;
      this.#lastFailure = failure;
      this.#lastWriteConflicted = failure._tag === "Conflict";
      if (this.#lastWriteConflicted) {
        this.#rateLimiter.recordConflict();
        return Effect.void;
      }
      this.#rateLimiter.recordFailure(
        failure._tag === "Unavailable" ? failure.retryAfterMs : 0,
      );
      return Effect.sleep(this.#rateLimiter.intervalMs);
    });
  }

  #undecided(item: PendingRequest): Undecided {
    const { mayBeRecorded: mayStand } = item;
    const failure = this.#lastFailure;
    const unavailable = failure?._tag === "Unavailable" ? failure : undefined;
    const retryAfterMs = unavailable?.retryAfterMs;
    return {
      _tag: "Undecided",
      reason: reasonOf(failure),
      mayStand,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    };
  }
}

function reasonOf(failure: ClaimStoreFailure | undefined): string {
  switch (failure?._tag) {
    case "Conflict":
      return "Too many conflicts";
    case "Unavailable":
      return failure.reason;
    case "UnreadableClaims":
      return failure.message;
    default:
      return "No verdict in time";
  }
}

/**
 * Whether an item may be recorded after a write with it failed. A conflict says
 * that this write was not made; it may be with an earlier one that was.
 */
function mayBeRecorded(failure: ClaimStoreFailure, before: boolean): boolean {
  return before || failure._tag === "Unavailable" && failure.mayHaveWritten;
}

function recordedDecision(request: PartitionRequest): ClaimDecision {
  return { _tag: request._tag === "Claim" ? "Claimed" : "Settled" };
}
