/**
 * Decides requests on one partition of the claims by conditional updates of its
 * head.
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

/** Delay of settlements, so that they can share a write with claims. */
const SETTLE_DELAY_MS = 100;
/**
 * Maximum number of requests in one write. It limits the size of a head to half
 * a megabyte with names of maximum length.
 */
const MAX_BATCH = 1_000;

/** A request that was not decided before its time-out. */
export interface Undecided {
  readonly _tag: "Undecided";
  readonly reason: string;
  /**
   * Whether the request may be recorded, now or later; false if it never will
   * be.
   */
  readonly mayStand: boolean;
  readonly retryAfterMs?: number;
}

/** Settings of a {@linkcode ClaimPartition}. */
export interface ClaimPartitionOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly crashPoints: CrashPoints;
  readonly limits: ClaimLimits;
  /** Time for which requests are collected into one write, in milliseconds. */
  readonly batchMs: number;
  /** Maximum rate of this process's writes to the partition. */
  readonly writesPerSecond: number;
}

interface PendingRequest {
  readonly request: PartitionRequest;
  readonly done: Deferred.Deferred<ClaimDecision>;
  /** Whether a write that contains the request may have taken effect. */
  mayBeRecorded: boolean;
}

/**
 * Batches requests into conditional updates of the partition's head.
 *
 * Any number of processes may do so concurrently. A claim counts only once the
 * update that contains it has succeeded, and the update succeeds only if the
 * head still has the version against which the claim was decided. A process
 * that was paused, that lost a response, or that wrongly considers itself the
 * only writer gets a conflict and decides again.
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
  #lastUsedAt: number;

  constructor(index: number, options: ClaimPartitionOptions) {
    this.#options = options;
    this.#objects = new ClaimObjects(index, options);
    this.#rateLimiter = new WriteRateLimiter(options.clock, options);
    this.#lastUsedAt = options.clock.monotonic();
  }

  /** Monotonic time of the latest request, in milliseconds. */
  get lastUsedAt(): number {
    return this.#lastUsedAt;
  }

  /** Number of requests that are not decided yet. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /**
   * Decides a request. A decision that depends on a write is returned after
   * that write.
   */
  submit(
    request: PartitionRequest,
    options: { readonly timeoutMs: number },
  ): Effect.Effect<ClaimDecision, Undecided> {
    return Effect.suspend(() => {
      const done = Deferred.makeUnsafe<ClaimDecision>();
      const item: PendingRequest = { request, done, mayBeRecorded: false };
      this.#lastUsedAt = this.#options.clock.monotonic();
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

  /** Processes requests, one write at a time, until it is interrupted. */
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

  /** Decides the pending requests, with at most one update of the head. */
  #processPending(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      // Two processes that write at the same rate would conflict every time if
      // each of them read the head first and then waited for the rate limiter.
      // After a conflict, the wait therefore precedes the read, and the write
      // follows the read immediately.
      const waited = this.#lastWriteConflicted;
      if (waited) yield* this.#rateLimiter.acquire();
      if (!this.#headIsCurrent) {
        yield* this.#objects.load(this.#ledger);
        this.#headIsCurrent = true;
      }
      const preview = this.#planBatch();
      this.#resolve(preview.batch, preview.plan);
      if (preview.plan.head === undefined) return;
      if (!waited) yield* this.#rateLimiter.acquire();
      // Plans again, to include requests that arrived during the wait.
      const { batch, plan } = this.#planBatch();
      if (plan.head === undefined) {
        return this.#resolve(batch, plan);
      }
      yield* this.#write(batch, plan);
      this.#resolve(batch, plan, { written: true });
    }).pipe(
      Effect.catch((failure) => this.#handleFailure(failure)),
    );
  }

  #planBatch(): {
    readonly batch: readonly PendingRequest[];
    readonly plan: BatchPlan;
  } {
    const batch = [...this.#pending].slice(0, MAX_BATCH);
    const requests = batch.map((item) => item.request);
    const now = this.#options.clock.monotonic();
    const { limits } = this.#options;
    return {
      batch,
      plan: this.#ledger.planBatch(requests, { now, limits }),
    };
  }

  #write(
    batch: readonly PendingRequest[],
    plan: BatchPlan,
  ): Effect.Effect<void, ClaimStoreFailure> {
    const before = batch.map(({ mayBeRecorded }) => mayBeRecorded);
    return Effect.gen({ self: this }, function* () {
      // The head in the store is unknown until the write has succeeded. After
      // an interruption in between it must be read again, as after a lost
      // response.
      this.#headIsCurrent = false;
      if (plan.sealed !== undefined) {
        yield* this.#rateLimiter.acquire();
      }
      for (const item of batch) item.mayBeRecorded = true;
      yield* this.#objects.save(this.#ledger, plan);
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
    plan: BatchPlan,
    options: { readonly written: boolean } = { written: false },
  ): void {
    for (const [index, item] of batch.entries()) {
      const decision = plan.decisions[index];
      if (decision === undefined) continue;
      const appended = decision._tag === "Append";
      if (appended && !options.written) continue;
      this.#pending.delete(item);
      Deferred.doneUnsafe(
        item.done,
        Effect.succeed(appended ? recordedDecision(item.request) : decision),
      );
    }
  }

  /**
   * After a conflict, a failure or a lost response, makes the next run read the
   * head again and slows writes down.
   */
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
      return "No decision within the time-out";
  }
}

/**
 * Whether a request may be recorded after a write that contained it failed. A
 * conflict means that this write was not made, but an earlier one may have
 * been.
 */
function mayBeRecorded(failure: ClaimStoreFailure, before: boolean): boolean {
  return before || failure._tag === "Unavailable" && failure.mayHaveWritten;
}

function recordedDecision(request: PartitionRequest): ClaimDecision {
  return { _tag: request._tag === "Claim" ? "Claimed" : "Settled" };
}
