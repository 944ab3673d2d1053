/**
 * Keeps the record of the software versions that services have had, and of the
 * services to which routes have led.
 *
 * @module
 */
import { CoalescedCall } from "./coalesced_call.ts";
import type { EventLog } from "./event_log.ts";
import { FeedError } from "./feed.ts";
import { epochOf } from "./store_revision.ts";
import {
  entryKey,
  withLeaving,
  withListed,
  withoutEntries,
} from "./version_record.ts";
import type {
  Entries,
  RecordedEntry,
  StoredVersions,
  VersionRecord,
  VersionStore,
} from "./version_record.ts";

/** Maximum number of writes until a change of the record is given up for now. */
const MAX_WRITES = 5;

/** Options of {@linkcode RecordedVersions}. */
export interface RecordedVersionsOptions {
  readonly log: EventLog;
  /** Monotonic time in ms. */
  readonly now: () => number;
  /**
   * Time in ms for which an entry that is no longer listed is kept, because streams
   * that began under it may be resumed.
   */
  readonly retentionMs: () => number;
  /** Returns the entries of what the store lists now. */
  readonly readListed: () => Promise<Entries>;
  /**
   * Whether no daemon has served before: the first record is complete then. Another
   * one is complete after the retention time.
   */
  readonly isFirst: () => Promise<boolean>;
}

/** An entry and when it was last listed, in monotonic ms. */
interface RecentEntry {
  readonly entry: RecordedEntry;
  readonly at: number;
}

type Change = (record: VersionRecord) => VersionRecord;

/**
 * Adds the entries that this daemon sees listed to the record, and removes those
 * that it has not seen for the retention time.
 *
 * An entry is marked before it is removed, the lists are read in between, and the
 * removal fails if the record has changed since. A daemon that sees the entry listed
 * again reads the record: before the mark, and the entry is in the lists that are
 * read after it; or after the mark, and it removes the mark.
 */
export class RecordedVersions {
  readonly #store: VersionStore;
  readonly #options: RecordedVersionsOptions;
  readonly #writePending: CoalescedCall<void>;
  /** The record as last read or written. */
  #stored: StoredVersions | undefined;
  /** Whether the store has had a record, which a restore may have lost. */
  #hadRecord = false;
  /** Keys of listed entries that are known to be in the record. */
  readonly #added = new Set<string>();
  /** Entries that the record may lack, by their keys. */
  readonly #pending = new Map<string, RecordedEntry>();
  #listed: ReadonlySet<string> = new Set();
  /** Entries that were listed within the retention time, by their keys. */
  readonly #recent = new Map<string, RecentEntry>();
  /** Whether the record has lost entries and must not count as complete. */
  #isDamaged = false;
  /** Since when all changes of the lists have been known here, in monotonic ms. */
  #knownSince: number;

  constructor(store: VersionStore, options: RecordedVersionsOptions) {
    this.#store = store;
    this.#options = options;
    this.#knownSince = options.now();
    this.#writePending = new CoalescedCall(() => this.#addPending(), {
      intervalMs: () => 0,
    });
  }

  /** Whether an entry that was listed may be missing in the record. */
  get isPending(): boolean {
    return this.#pending.size > 0;
  }

  /** Reads the record. Rejects with {@linkcode FeedError} if that fails. */
  async read(): Promise<StoredVersions> {
    const stored = await this.#store.read();
    this.#setStored(stored);
    return stored;
  }

  /**
   * Adds entries that are listed. Reads the record first if one is newly listed. If
   * it fails, they are added later, also if they have left.
   */
  async add(listed: Entries): Promise<void> {
    for (const [key, entry] of listed) {
      if (!this.#added.has(key)) this.#pending.set(key, entry);
    }
    if (this.#pending.size === 0 && this.#stored !== undefined) return;
    await this.#writePending.next();
  }

  /** Records which entries are listed from now on. */
  observe(entries: Entries): void {
    const now = this.#options.now();
    const listed = new Set(entries.keys());
    for (const key of this.#listed) {
      const recent = this.#recent.get(key);
      if (recent !== undefined) this.#recent.set(key, { ...recent, at: now });
    }
    for (const [key, entry] of entries) {
      this.#recent.set(key, { entry, at: now });
    }
    for (const key of this.#added) {
      if (!listed.has(key)) this.#added.delete(key);
    }
    this.#listed = listed;
  }

  /**
   * Has the record read again if the store was restored since: it may have lost what
   * was added.
   */
  restored(epoch: number): void {
    if (this.#stored === undefined) return;
    if (epochOf(this.#stored.revision) >= epoch) return;
    this.#stored = undefined;
    this.#addAgain();
  }

  /**
   * Has all recent entries added again, also those that have left: the record may
   * have lost them, and is complete only after the retention time.
   */
  #addAgain(): void {
    this.#added.clear();
    this.#isDamaged = true;
    this.interrupted();
    for (const [key, { entry }] of this.#recent) this.#pending.set(key, entry);
  }

  /** Records that this daemon may have missed changes of the lists until now. */
  interrupted(): void {
    this.#knownSince = this.#options.now();
  }

  /**
   * Marks the record as complete, and removes entries, as far as this daemon has seen
   * the lists for long enough.
   */
  async maintain(): Promise<void> {
    const { now, retentionMs } = this.#options;
    const lastBefore = now() - retentionMs();
    if (this.#stored?.record === undefined || this.isPending) return;
    if (this.#knownSince > lastBefore) return;
    for (const [key, { at }] of this.#recent) {
      if (at <= lastBefore) this.#recent.delete(key);
    }
    const { record, revision } = this.#stored;
    const completeIn = epochOf(revision);
    if (record.completeIn !== completeIn) {
      await this.#update(
        "completed",
        (current) =>
          current.completeIn === completeIn
            ? current
            : { ...current, completeIn },
      );
    }
    const left = record.entries.map(entryKey)
      .filter((key) => !this.#recent.has(key) && !this.#listed.has(key));
    if (left.length > 0) await this.#remove(new Set(left));
  }

  async #addPending(): Promise<void> {
    const pending = new Map(this.#pending);
    await this.#update("added", (record) => {
      const listed = withListed(record, pending);
      const isComplete = listed.completeIn === epochOf(this.#stored!.revision);
      return this.#isDamaged && isComplete
        ? { ...listed, completeIn: undefined }
        : listed;
    });
    this.#isDamaged = false;
    for (const key of pending.keys()) {
      this.#pending.delete(key);
      this.#added.add(key);
    }
  }

  async #remove(keys: ReadonlySet<string>): Promise<void> {
    await this.#update("leaving", (record) => withLeaving(record, keys));
    const { revision, record } = this.#stored!;
    const listed = await this.#options.readListed();
    const removed = new Set([...keys].filter((key) => !listed.has(key)));
    const next = withoutEntries(record!, removed);
    if (next.entries.length === record!.entries.length) return;
    await this.#write("removed", next, revision);
  }

  /** Reads the record, and writes it if that changes it. */
  async #update(name: string, change: Change): Promise<void> {
    let stored = await this.read();
    for (let writes = 0; writes < MAX_WRITES; writes++) {
      const record = stored.record ?? await this.#firstRecord(stored);
      const next = change(record);
      if (next === stored.record) return;
      if (await this.#write(name, next, stored.revision)) return;
      stored = this.#stored!;
    }
    throw new FeedError("unavailable", "Record of versions keeps changing");
  }

  /** Writes the record if it has not changed; returns whether it was written. */
  async #write(
    change: string,
    record: VersionRecord,
    ifRevision: number,
  ): Promise<boolean> {
    const result = await this.#store.write(record, ifRevision);
    if (result.kind === "conflict") {
      this.#setStored(result.found);
      return false;
    }
    this.#setStored({ revision: result.revision, record });
    this.#options.log.event("versions_recorded", {
      change,
      entries: record.entries.length,
      complete: record.completeIn === epochOf(result.revision),
      revision: result.revision,
    });
    return true;
  }

  async #firstRecord({ revision }: StoredVersions): Promise<VersionRecord> {
    const epoch = epochOf(revision);
    const isFirst = !this.#hadRecord && await this.#options.isFirst();
    return { completeIn: isFirst ? epoch : undefined, entries: [] };
  }

  #setStored(stored: StoredVersions): void {
    this.restored(epochOf(stored.revision));
    if (this.#lacksAdded(stored.record)) this.#addAgain();
    this.#hadRecord ||= stored.record !== undefined;
    this.#stored = stored;
  }

  /** Whether a record lacks what was added, as after a write of another program. */
  #lacksAdded(record: VersionRecord | undefined): boolean {
    if (record === undefined) return this.#hadRecord && this.#added.size > 0;
    const keys = new Set(record.entries.map(entryKey));
    return [...this.#added].some((key) => !keys.has(key));
  }
}
