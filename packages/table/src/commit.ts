/**
 * Conditional update of the stored table, through conflicts and lost replies.
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

/** The store's limit, with room for what surrounds the value. */
const MAX_VALUE_BYTES = 1_000_000;
const DEFAULT_GIVE_UP_MS = 10_000;
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 2_000;
/** Spreads editors that met in a conflict. */
const CONFLICT_PAUSE_MS = 30;

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

/** The store could not be reached and nothing was written. */
export interface NotAccepted {
  readonly _tag: "NotAccepted";
  readonly reason: string;
}

/** A write may have taken effect; reading it back has failed so far. */
export interface UnknownWhetherAccepted {
  readonly _tag: "UnknownWhetherAccepted";
  readonly reason: string;
}

/** The value would be larger than the store takes. */
export interface TooLarge {
  readonly _tag: "TooLarge";
  readonly bytes: number;
  readonly limitBytes: number;
}

/** Why nothing is known to be committed. */
export type CommitFailure =
  | StoredInvalid
  | HistoryMissing
  | NotAccepted
  | UnknownWhetherAccepted
  | TooLarge;

/** What to do about the table as it was read. */
export type Decision<A, E> =
  | { readonly _tag: "Done"; readonly result: A }
  | { readonly _tag: "Refused"; readonly error: E }
  | {
    readonly _tag: "Write";
    readonly value: StoredTable;
    /** The result, given what was written; older history may have left it. */
    readonly toResult: (read: VersionedTable) => A;
  };

/** Settings of an edit. */
export interface CommitOptions {
  /** How long to go on while the store cannot be reached; 10,000 by default. */
  readonly retryTimeoutMs?: number;
}

/** Reads the stored table; `undefined` when there is none yet. */
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
 * Reads the table, asks what to do about it, and writes if the version is still
 * the same; again and again until that is settled.
 *
 * A write whose reply was lost may have taken effect, or may still be under way
 * and do so later. The next round reads back and finds either a later version,
 * against which `decide` sees whether the write is in the history and past
 * which a late one can no longer succeed; or the same version, and then writes
 * again: of the two writes at most one succeeds, and both hold the same edit.
 *
 * @internal
 */
export function commit<A, E>(
  store: Store,
  decide: (
    read: VersionedTable | undefined,
  ) => Effect.Effect<Decision<A, E>, Unavailable | HistoryMissing>,
  options: CommitOptions = {},
): Effect.Effect<A, E | CommitFailure> {
  return Effect.gen(function* () {
    const started = yield* monotonicMs;
    const giveUpAt = started + (options.retryTimeoutMs ?? DEFAULT_GIVE_UP_MS);
    let mayBeWritten = false;
    let pauseMs = FIRST_PAUSE_MS;
    while (true) {
      const round = yield* Effect.result(commitOnce(store, decide));
      if (Result.isSuccess(round)) return round.success;
      const failure = round.failure as RoundFailure<E>;
      if (failure._tag === "Refused") {
        return yield* Effect.fail(failure.error);
      }
      const conflict = failure._tag === "Conflict";
      if (!conflict) mayBeWritten ||= failure.mayHaveWritten;
      const waitMs = conflict
        ? yield* Random.nextBetween(0, CONFLICT_PAUSE_MS)
        : Math.max(pauseMs, failure.retryAfterMs ?? 0);
      if ((yield* monotonicMs) + waitMs > giveUpAt) {
        const reason = conflict ? "Others edit all the time" : failure.reason;
        return yield* Effect.fail(givenUp(reason, mayBeWritten));
      }
      yield* Effect.sleep(waitMs);
      if (!conflict) pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
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

type RoundFailure<E> =
  | Refused<E>
  | Unavailable
  | { readonly _tag: "Conflict" };

function commitOnce<A, E>(
  store: Store,
  decide: (
    read: VersionedTable | undefined,
  ) => Effect.Effect<Decision<A, E>, Unavailable | HistoryMissing>,
): Effect.Effect<A, RoundFailure<E>> {
  return Effect.gen(function* () {
    const read = yield* readTable(store);
    const decision = yield* decide(read);
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
    yield* beforeTableWrite(writePage(store, page));
    const version = yield* store.write(
      { kind: TABLE_KIND, name: TABLE_NAME, value },
      { ifVersion: read?.version ?? 0 },
    );
    return decision.toResult({ version, stored: value });
  }).pipe(
    Effect.catchTag(
      ["StoredInvalid", "HistoryMissing"],
      (error) => Effect.fail<Refused<E>>({ _tag: "Refused", error }),
    ),
  );
}

/** A page that may have been written is no edit that may have been accepted. */
function beforeTableWrite(
  effect: Effect.Effect<void, Unavailable>,
): Effect.Effect<void, Unavailable> {
  return Effect.mapError(
    effect,
    (failure): Unavailable => ({ ...failure, mayHaveWritten: false }),
  );
}

function givenUp(
  reason: string,
  mayBeWritten: boolean,
): NotAccepted | UnknownWhetherAccepted {
  return {
    _tag: mayBeWritten ? "UnknownWhetherAccepted" : "NotAccepted",
    reason,
  };
}
