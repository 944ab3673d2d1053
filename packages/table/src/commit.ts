/**
 * Conditional updates of the stored table, retried after conflicts, store
 * failures and lost replies.
 *
 * @module
 */
import type { Store, Unavailable } from "@umbermast/coordination";
import * as Clock from "effect/Clock";
import * as Effect from "effect/Effect";
import * as Random from "effect/Random";
import * as Result from "effect/Result";
import type { Finding } from "./finding.ts";
import { splitHistory, writePage } from "./history.ts";
import type { HistoryMissing } from "./history.ts";
import { parseStoredTable, TABLE_KIND, TABLE_NAME } from "./stored_table.ts";
import type { StoredTable } from "./stored_table.ts";

/** The store's limit, less a margin for the object that encloses the value. */
const MAX_VALUE_BYTES = 1_000_000;
const DEFAULT_RETRY_TIMEOUT_MS = 10_000;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;
/** Random delays up to this keep editors from conflicting with each other again. */
const MAX_CONFLICT_DELAY_MS = 30;

/** The stored table with the version of its object. */
export interface VersionedTable {
  readonly version: number;
  readonly stored: StoredTable;
}

/** The stored value is not a table. */
export interface StoredInvalid {
  readonly _tag: "StoredInvalid";
  readonly version: number;
  readonly findings: readonly Finding[];
}

/** Nothing was written: the store was unavailable or writes kept conflicting. */
export interface NotAccepted {
  readonly _tag: "NotAccepted";
  readonly reason: string;
}

/** A write may have taken effect, but could not be read back in time. */
export interface UnknownWhetherAccepted {
  readonly _tag: "UnknownWhetherAccepted";
  readonly reason: string;
}

/** The value is larger than the store accepts. */
export interface TooLarge {
  readonly _tag: "TooLarge";
  readonly bytes: number;
  readonly limitBytes: number;
}

/** Failures after which nothing is known to be committed. */
export type CommitFailure =
  | StoredInvalid
  | HistoryMissing
  | NotAccepted
  | UnknownWhetherAccepted
  | TooLarge;

/** What to do with the table that was read: nothing more, fail, or write. */
export type Decision<A, E> =
  | { readonly _tag: "Done"; readonly result: A }
  | { readonly _tag: "Refused"; readonly error: E }
  | {
    readonly _tag: "Write";
    readonly value: StoredTable;
    /** Maps the table as written, without history moved to pages, to the result. */
    readonly toResult: (written: VersionedTable) => A;
  };

/** Options of a commit. */
export interface CommitOptions {
  /** Time for which failed attempts are retried; 10,000 ms by default. */
  readonly retryTimeoutMs?: number;
}

/** Reads the stored table; `undefined` if the store holds none. */
export function readTable(
  store: Store,
): Effect.Effect<VersionedTable | undefined, Unavailable | StoredInvalid> {
  return Effect.gen(function* () {
    const object = yield* store.read(TABLE_KIND, TABLE_NAME);
    if (object === undefined) return undefined;
    const { version } = object;
    const parsed = parseStoredTable(object.value);
    if (parsed.isOk()) return { version, stored: parsed.value };
    return yield* Effect.fail<StoredInvalid>({
      _tag: "StoredInvalid",
      version,
      findings: parsed.error,
    });
  });
}

/**
 * Reads the table, calls `decide` and writes the value that it returns if the
 * version is unchanged. Conflicts and store failures are retried until an attempt
 * succeeds, is refused or the retry time-out passes.
 *
 * A write whose reply was lost may have taken effect, or may still be in flight
 * and take effect later. The next attempt reads the table back. If the version
 * has changed, `decide` finds out from the history whether the write took effect,
 * and a delayed write can no longer succeed. If the version is the same, the
 * attempt writes again: at most one of the two writes succeeds, and both contain
 * the same edit.
 *
 * @internal
 */
export function commit<A, E>(
  store: Store,
  decide: (
    current: VersionedTable | undefined,
  ) => Effect.Effect<Decision<A, E>, Unavailable | HistoryMissing>,
  options: CommitOptions = {},
): Effect.Effect<A, E | CommitFailure> {
  return Effect.gen(function* () {
    const startedAt = yield* monotonicMs;
    const deadline = startedAt +
      (options.retryTimeoutMs ?? DEFAULT_RETRY_TIMEOUT_MS);
    let mayHaveWritten = false;
    let backoffMs = INITIAL_BACKOFF_MS;
    while (true) {
      const attempt = yield* Effect.result(attemptCommit(store, decide));
      if (Result.isSuccess(attempt)) return attempt.success;
      const failure = attempt.failure as AttemptFailure<E>;
      if (failure._tag === "Refused") {
        return yield* Effect.fail(failure.error);
      }
      const isConflict = failure._tag === "Conflict";
      if (!isConflict) mayHaveWritten ||= failure.mayHaveWritten;
      const waitMs = isConflict
        ? yield* Random.nextBetween(0, MAX_CONFLICT_DELAY_MS)
        : Math.max(backoffMs, failure.retryAfterMs ?? 0);
      if ((yield* monotonicMs) + waitMs > deadline) {
        const reason = isConflict ? "Others edit all the time" : failure.reason;
        return yield* Effect.fail(retryTimeoutFailure(reason, mayHaveWritten));
      }
      yield* Effect.sleep(waitMs);
      if (!isConflict) backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  });
}

const NANOS_PER_MS = 1_000_000n;
const monotonicMs = Effect.map(
  Clock.monotonicTimeNanos,
  (nanos) => Number(nanos / NANOS_PER_MS),
);

interface Refused<E> {
  readonly _tag: "Refused";
  readonly error: E | CommitFailure;
}

type AttemptFailure<E> =
  | Refused<E>
  | Unavailable
  | { readonly _tag: "Conflict" };

function attemptCommit<A, E>(
  store: Store,
  decide: (
    current: VersionedTable | undefined,
  ) => Effect.Effect<Decision<A, E>, Unavailable | HistoryMissing>,
): Effect.Effect<A, AttemptFailure<E>> {
  return Effect.gen(function* () {
    const current = yield* readTable(store);
    const decision = yield* decide(current);
    if (decision._tag === "Done") return decision.result;
    if (decision._tag === "Refused") {
      return yield* Effect.fail<Refused<E>>(decision);
    }
    const { page, recent } = splitHistory(decision.value.history);
    const value = { ...decision.value, history: recent };
    const bytes = Buffer.byteLength(JSON.stringify(value));
    if (bytes > MAX_VALUE_BYTES) {
      return yield* Effect.fail<Refused<E>>({
        _tag: "Refused",
        error: { _tag: "TooLarge", bytes, limitBytes: MAX_VALUE_BYTES },
      });
    }
    yield* asTableNotWritten(writePage(store, page));
    const version = yield* store.write(
      { kind: TABLE_KIND, name: TABLE_NAME, value },
      { ifVersion: current?.version ?? 0 },
    );
    return decision.toResult({ version, stored: value });
  }).pipe(
    Effect.catchTag(
      ["StoredInvalid", "HistoryMissing"],
      (error) => Effect.fail<Refused<E>>({ _tag: "Refused", error }),
    ),
  );
}

/**
 * Clears `mayHaveWritten` of a failure: a history page that may have been written
 * does not mean that the edit may have been accepted.
 */
function asTableNotWritten(
  effect: Effect.Effect<void, Unavailable>,
): Effect.Effect<void, Unavailable> {
  return Effect.mapError(
    effect,
    (failure): Unavailable => ({ ...failure, mayHaveWritten: false }),
  );
}

function retryTimeoutFailure(
  reason: string,
  mayHaveWritten: boolean,
): NotAccepted | UnknownWhetherAccepted {
  return {
    _tag: mayHaveWritten ? "UnknownWhetherAccepted" : "NotAccepted",
    reason,
  };
}
