/**
 * The history of edits. The latest entries are in the table's own object; older
 * ones are moved to page objects.
 *
 * An edit whose reply was lost is resolved by finding its id in the history, so
 * no entry may be lost: a page is written before its entries are removed from
 * the table's object. Each page is named after the sequence of its last entry,
 * so that pages can be read from newest to oldest without listing them.
 *
 * @module
 */
import type { Store, Unavailable } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import { decodeHistory } from "./history_entry.ts";
import type { HistoryEntry } from "./history_entry.ts";
import type { StoredTable } from "./stored_table.ts";

/** Kind of the page objects. */
export const HISTORY_KIND = "table-history";

/** Number of entries in the table's object above which older ones move to a page. */
const MAX_RECENT_ENTRIES = 64;
/** JSON size of these entries above which older ones move to a page. */
const MAX_RECENT_BYTES = 128_000;
/** Limits on the entries that stay when older ones move to a page. */
const RETAINED_ENTRIES = 16;
const RETAINED_BYTES = 32_000;

/** The entries to move to a page, and those that stay. */
export interface HistorySplit {
  /** Empty if nothing has to move. */
  readonly page: readonly HistoryEntry[];
  readonly recent: readonly HistoryEntry[];
}

/** A page of the history is missing or invalid, so its entries are unknown. */
export interface HistoryMissing {
  readonly _tag: "HistoryMissing";
  /** Sequence of the last entry of the page. */
  readonly sequence: number;
}

/** Decides which entries move from the table's object to a page. */
export function splitHistory(history: readonly HistoryEntry[]): HistorySplit {
  const fits = history.length <= MAX_RECENT_ENTRIES &&
    jsonBytes(history) <= MAX_RECENT_BYTES;
  if (fits) return { page: [], recent: history };
  let start = history.length;
  let bytes = 0;
  while (start > 0 && history.length - start < RETAINED_ENTRIES) {
    bytes += jsonBytes(history[start - 1]);
    if (bytes > RETAINED_BYTES) break;
    start -= 1;
  }
  return { page: history.slice(0, start), recent: history.slice(start) };
}

/**
 * Writes a page. The write is idempotent, also for two editors at once: entries
 * never change, so pages of the same name are identical.
 */
export function writePage(
  store: Store,
  page: readonly HistoryEntry[],
): Effect.Effect<void, Unavailable> {
  const lastEntry = page.at(-1);
  if (lastEntry === undefined) return Effect.void;
  const name = pageName(lastEntry.sequence);
  const value = { entries: page };
  return store.write({ kind: HISTORY_KIND, name, value }, { ifVersion: 0 })
    .pipe(Effect.catchTag("Conflict", () => Effect.void), Effect.asVoid);
}

/**
 * Reads the entries whose sequence is greater than `after`, newest first, with as
 * many pages as needed. Stops after the first entry for which `until` returns
 * true.
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
    const entries: HistoryEntry[] = [];
    let page = stored.history;
    let next = stored.sequence;
    while (next > options.after) {
      for (const entry of page.toReversed()) {
        if (entry.sequence <= options.after) return entries;
        entries.push(entry);
        if (options.until?.(entry)) return entries;
        next = entry.sequence - 1;
      }
      if (next > options.after) page = yield* readPage(store, next);
    }
    return entries;
  });
}

/** Reads the page whose last entry has the sequence `last`. */
function readPage(
  store: Store,
  last: number,
): Effect.Effect<readonly HistoryEntry[], Unavailable | HistoryMissing> {
  return Effect.flatMap(store.read(HISTORY_KIND, pageName(last)), (object) => {
    const value = object?.value as { readonly entries?: unknown } | undefined;
    const entries = decodeHistory(value?.entries).unwrapOr([]);
    // Skipping a page that was removed would report the edits in it as never
    // accepted.
    if (entries.at(-1)?.sequence === last) return Effect.succeed(entries);
    return Effect.fail<HistoryMissing>({
      _tag: "HistoryMissing",
      sequence: last,
    });
  });
}

function pageName(lastSequence: number): string {
  return `page-${lastSequence}`;
}

function jsonBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}
