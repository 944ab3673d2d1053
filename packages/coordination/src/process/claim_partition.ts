/**
 * One partition of the claims, as this process reads and writes it.
 *
 * @module
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Latch from "effect/Latch";
import type { PartitionRequest, Verdict } from "./claim_decision.ts";
import type { BatchPlan, ClaimLimits } from "./claim_ledger.ts";
import { ClaimLedger } from "./claim_ledger.ts";
import { ClaimObjects } from "./claim_objects.ts";
import type { ClaimStoreFailure } from "./claim_objects.ts";
import type { Clock } from "./clock.ts";
import type { CrashPoints } from "./crash_points.ts";
import type { Store } from "./store.ts";
import { WriteBudget } from "./write_rate_limiter.ts";

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

interface Waiting {
  readonly request: PartitionRequest;
  readonly done: Deferred.Deferred<Verdict>;
  /** A write that carries it may have taken effect. */
  tried: boolean;
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
  readonly #budget: WriteBudget;
  readonly #waiting = new Set<Waiting>();
  readonly #wake = Latch.makeUnsafe(false);
  #current = false;
  #contended = false;
  #lastFailure: ClaimStoreFailure | undefined;
  #usedAt: number;

  constructor(index: number, options: ClaimPartitionOptions) {
    this.#options = options;
    this.#objects = new ClaimObjects(index, options);
    this.#budget = new WriteBudget(options.clock, options);
    this.#usedAt = options.clock.monotonic();
  }

  /** When a request last came, by the clock that never goes back. */
  get usedAt(): number {
    return this.#usedAt;
  }

  /** Requests that are not decided yet. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Decides a request; a verdict that depends on a write comes after it. */
  submit(
    request: PartitionRequest,
    options: { readonly timeoutMs: number },
  ): Effect.Effect<Verdict, Undecided> {
    return Effect.suspend(() => {
      const done = Deferred.makeUnsafe<Verdict>();
      const item: Waiting = { request, done, tried: false };
      this.#usedAt = this.#options.clock.monotonic();
      this.#waiting.add(item);
      this.#rouse(request);
      return Deferred.await(done).pipe(
        Effect.timeoutOrElse({
          duration: options.timeoutMs,
          orElse: () => Effect.fail(this.#undecided(item)),
        }),
        Effect.ensuring(Effect.sync(() => this.#waiting.delete(item))),
      );
    });
  }

  /** Serves the requests, one write at a time, until it is interrupted. */
  run(): Effect.Effect<never> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#wake.await;
      this.#wake.closeUnsafe();
      yield* Effect.sleep(this.#options.batchMs);
      if (this.#waiting.size === 0) return;
      yield* this.#turn();
      if (this.#waiting.size > 0) this.#wake.openUnsafe();
    }).pipe(Effect.forever);
  }

  #rouse(request: PartitionRequest): void {
    const urgent = request._tag === "Claim" || request.state === "withdrawn";
    if (urgent) return void this.#wake.openUnsafe();
    setTimeout(() => this.#wake.openUnsafe(), SETTLE_DELAY_MS).unref();
  }

  /** Decides what waits, with one write at most. */
  #turn(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      // Two processes that write at the same pace would meet a conflict each
      // time if they read first and waited for their turn then. So after a
      // conflict the turn comes first, and the write follows the read at once.
      const waited = this.#contended;
      if (waited) yield* this.#budget.take();
      if (!this.#current) {
        yield* this.#objects.load(this.#ledger);
        this.#current = true;
      }
      const early = this.#compose();
      this.#resolve(early.batch, early.composition);
      if (early.composition.head === undefined) return;
      if (!waited) yield* this.#budget.take();
      const { batch, composition } = this.#compose();
      if (composition.head === undefined) {
        return this.#resolve(batch, composition);
      }
      yield* this.#write(batch, composition);
      this.#resolve(batch, composition, { written: true });
    }).pipe(
      Effect.catch((failure) => this.#retreat(failure)),
    );
  }

  #compose(): {
    readonly batch: readonly Waiting[];
    readonly composition: BatchPlan;
  } {
    const batch = [...this.#waiting].slice(0, MAX_BATCH);
    const requests = batch.map((item) => item.request);
    const now = this.#options.clock.monotonic();
    const { limits } = this.#options;
    return {
      batch,
      composition: this.#ledger.planBatch(requests, { now, limits }),
    };
  }

  #write(
    batch: readonly Waiting[],
    composition: BatchPlan,
  ): Effect.Effect<void, ClaimStoreFailure> {
    const before = batch.map(({ tried }) => tried);
    return Effect.gen({ self: this }, function* () {
      // Unknown until the write has succeeded: an interruption in between must
      // lead to a fresh read, as after a lost reply.
      this.#current = false;
      if (composition.sealed !== undefined) {
        yield* this.#budget.take();
      }
      for (const item of batch) item.tried = true;
      yield* this.#objects.save(this.#ledger, composition);
      this.#current = true;
      this.#contended = false;
      this.#lastFailure = undefined;
      this.#budget.succeeded();
    }).pipe(Effect.tapError((failure) =>
      Effect.sync(() => {
        for (const [index, item] of batch.entries()) {
          item.tried = mayStand(failure, before[index] ?? true);
        }
      })
    ));
  }

  #resolve(
    batch: readonly Waiting[],
    composition: BatchPlan,
    options: { readonly written: boolean } = { written: false },
  ): void {
    for (const [index, item] of batch.entries()) {
      const verdict = composition.decisions[index];
      if (verdict === undefined) continue;
      const appended = verdict._tag === "Append";
      if (appended && !options.written) continue;
      this.#waiting.delete(item);
      Deferred.doneUnsafe(
        item.done,
        Effect.succeed(appended ? outcomeOf(item.request) : verdict),
      );
    }
  }

  /** After a conflict, a failure or a lost reply the head is read again. */
  #retreat(failure: ClaimStoreFailure): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.#current = false;
      this.#lastFailure = failure;
      this.#contended = failure._tag === "Conflict";
      if (this.#contended) {
        this.#budget.conflicted();
        return Effect.void;
      }
      this.#budget.failed(
        failure._tag === "Unavailable" ? failure.retryAfterMs : 0,
      );
      return Effect.sleep(this.#budget.intervalMs);
    });
  }

  #undecided(item: Waiting): Undecided {
    const { tried: mayStand } = item;
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
function mayStand(failure: ClaimStoreFailure, before: boolean): boolean {
  return before || failure._tag === "Unavailable" && failure.mayHaveWritten;
}

function outcomeOf(request: PartitionRequest): Verdict {
  return { _tag: request._tag === "Claim" ? "Claimed" : "Settled" };
}
