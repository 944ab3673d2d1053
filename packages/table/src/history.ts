/**
 * The history of edits: the latest in the table's own object, older ones in
 * pages of their own.
 *
 * An edit whose reply was lost is resolved by finding its id here, so no entry
 * may be lost: a page is written before the table's object drops its entries.
 * Each page is named by its last sequence, so that pages can be followed
 * backwards without listing them.
 *
 * @module
 */
import type { Store, Unavailable } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import { decodeHistory } from "./history_entry.ts";
import type { HistoryEntry } from "./history_entry.ts";
import type { StoredTable } from "./stored_table.ts";

/** Kind of the objects that hold older entries. */
export const HISTORY_KIND = "table-history";

/** Entries in the table's object above which older ones are moved out. */
const MAX_RECENT_ENTRIES = 64;
/** Bytes of entries above which older ones are moved out. */
const MAX_RECENT_BYTES = 128_000;
const KEPT_ENTRIES = 16;
const KEPT_BYTES = 32_000;

/** Entries to be moved to a page, and those that stay. */
export interface HistorySplit {
  /** Empty when nothing has to move. */
  readonly page: readonly HistoryEntry[];
  readonly recent: readonly HistoryEntry[];
}

/** A page of the history is gone, so it cannot be known what it held. */
export interface HistoryMissing {
  readonly _tag: "HistoryMissing";
  /** Sequence of the last entry of the page. */
  readonly sequence: number;
}

/** Decides which entries leave the table's object. */
export function splitHistory(history: readonly HistoryEntry[]): HistorySplit {
  const fits = history.length <= MAX_RECENT_ENTRIES &&
    bytesOf(history) <= MAX_RECENT_BYTES;
  if (fits) return { page: [], recent: history };
  let start = history.length;
  let bytes = 0;
  while (start > 0 && history.length - start < KEPT_ENTRIES) {
    bytes += bytesOf(history[start - 1]);
    if (bytes > KEPT_BYTES) break;
    start -= 1;
  }
  return { page: history.slice(0, start), recent: history.slice(start) };
}

/**
 * Writes a page. Writing it again, or by two editors at once, does no harm:
 * entries never change, so pages of the same name are the same.
 */
export function writePage(
  store: Store,
  page: readonly HistoryEntry[],
): Effect.Effect<void, Unavailable> {
  const last = page.at(-1);
  if (last === undefined) return Effect.void;
  const name = pageName(last.sequence);
  const value = { entries: page };
  return store.write({ kind: HISTORY_KIND, name, value }, { ifVersion: 0 })
    .pipe(Effect.catchTag("Conflict", () => Effect.void), Effect.asVoid);
}

/**
 * Entries newer than `after`, newest first, read page by page as far back as is
 * needed. Ends early when `until` holds for an entry, which is the last one.
 */
export function readHistory(
  store: Store,
  stored: StoredTable,
  options: {
    readonly after: number;
    readonly until?: (entry: HistoryEntry) => boolean;
  },
): Effect.Effect<readonly HistoryEntry[], Unavailable | HistoryMissing> {
  return Effect.gen(function* () {
    const found: HistoryEntry[] = [];
    let page = stored.history;
    let next = stored.sequence;
    while (next > options.after) {
      for (const entry of page.toReversed()) {
        if (entry.sequence <= options.after) return found;
        found.push(entry);
        if (options.until?.(entry)) return found;
        next = entry.sequence - 1;
      }
      if (next > options.after) page = yield* readPage(store, next);
    }
    return found;
  });
}

function readPage(
  store: Store,
  last: number,
): Effect.Effect<readonly HistoryEntry[], Unavailable | HistoryMissing> {
  return Effect.flatMap(store.read(HISTORY_KIND, pageName(last)), (object) => {
    const value = object?.value as { readonly entries?: unknown } | undefined;
    const entries = decodeHistory(value?.entries).unwrapOr([]);
    // Passing over a page that was removed would report an edit that it held
    // as never accepted.
    if (entries.at(-1)?.sequence === last) return Effect.succeed(entries);
    return Effect.fail<HistoryMissing>({
      _tag: "HistoryMissing",
      sequence: last,
    });
  });
}

function pageName(last: number): string {
  return `page-${last}`;
}

function bytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
