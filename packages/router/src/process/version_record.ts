/**
 * The record in the platform's store of the software versions that services have
 * had, and of the services to which routes have led. It outlives all daemons.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Runner } from "./runner.ts";

/** A route, as far as it is recorded. */
export interface RecordedRoute {
  readonly name: string;
  readonly destinations: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
}

/** Maximum length of a version in the record; a longer one is recorded by a hash. */
const MAX_VERSION_LENGTH = 64;

/** What a service or a route has, or had. */
export interface RecordedEntry {
  readonly subject: "service" | "route";
  /** Name of the service or the route. */
  readonly name: string;
  /**
   * A software version of the service, see {@linkcode recordedName}; a service to
   * which the route leads.
   */
  readonly value: string;
  /** Whether a daemon is about to remove it, unless it is listed again. */
  readonly leaving?: true | undefined;
}

/** The object in the store. */
export interface VersionRecord {
  /**
   * Epoch of the store in which the record became complete, see `storeRevision`: it
   * then had all entries that streams depend on which may be resumed. Undefined
   * before. A record that was restored from a backup may lack entries.
   */
  readonly completeIn: number | undefined;
  readonly entries: readonly RecordedEntry[];
}

/** The record and its revision in the store, of the store's present epoch. */
export interface StoredVersions {
  /** Start of the epoch if there is no record; see `storeRevision`. */
  readonly revision: number;
  /** Undefined if there is none. */
  readonly record: VersionRecord | undefined;
}

/** Result of a conditional write. */
export type VersionWriteResult =
  | { readonly kind: "written"; readonly revision: number }
  /** The store holds another revision, or no record. */
  | { readonly kind: "conflict"; readonly found: StoredVersions };

/**
 * Access to the record. Both calls reject with `FeedError` if no response arrives; a
 * write may have taken effect nevertheless.
 */
export interface VersionStore {
  /** Returns the record as it is now. */
  read(): Promise<StoredVersions>;
  /**
   * Replaces the record.
   *
   * @param ifRevision revision to be replaced, as it was read.
   */
  write(record: VersionRecord, ifRevision: number): Promise<VersionWriteResult>;
}

/**
 * Returns the name of a version in the record: a runner's entry may state any text,
 * or none.
 *
 * @example
 * ```ts
 * recordedName("v2.1"); // "v2.1"
 * ```
 */
export function recordedName(softwareVersion: string | undefined): string {
  const version = softwareVersion ?? "";
  if (version.length <= MAX_VERSION_LENGTH) return version;
  return `sha256:${createHash("sha256").update(version).digest("base64url")}`;
}

/** Entries by their keys. */
export type Entries = ReadonlyMap<string, RecordedEntry>;

/** Returns a key that identifies an entry. */
export function entryKey({ subject, name, value }: RecordedEntry): string {
  return JSON.stringify([subject, name, value]);
}

function byKey(entries: readonly RecordedEntry[]): Entries {
  return new Map(entries.map((entry) => [entryKey(entry), entry]));
}

/** Returns the versions of the services of runners. */
export function versionsOf(runners: readonly Runner[]): Entries {
  return byKey(runners.map(({ service, softwareVersion }) => ({
    subject: "service",
    name: service,
    value: recordedName(softwareVersion),
  })));
}

/** Returns the services to which routes lead. */
export function destinationsOf(routes: readonly RecordedRoute[]): Entries {
  return byKey(
    routes.flatMap(({ name, destinations }) =>
      destinations.filter(({ weight }) => weight > 0).map(({ service }) => ({
        subject: "route",
        name,
        value: service,
      }))
    ),
  );
}

/** Returns the record with entries that are listed; itself if it has them. */
export function withListed(
  record: VersionRecord,
  listed: Entries,
): VersionRecord {
  const kept = record.entries.filter((entry) =>
    !entry.leaving || !listed.has(entryKey(entry))
  );
  const keys = new Set(kept.map(entryKey));
  const added = [...listed].filter(([key]) => !keys.has(key))
    .map(([, entry]) => entry);
  if (added.length === 0) return record;
  return { ...record, entries: [...kept, ...added] };
}

/** Returns the record with entries marked as leaving; itself if they are. */
export function withLeaving(
  record: VersionRecord,
  keys: ReadonlySet<string>,
): VersionRecord {
  const isNew = (entry: RecordedEntry) =>
    !entry.leaving && keys.has(entryKey(entry));
  if (!record.entries.some(isNew)) return record;
  const entries = record.entries.map((entry) =>
    isNew(entry) ? { ...entry, leaving: true as const } : entry
  );
  return { ...record, entries };
}

/** Returns the record without the given entries. */
export function withoutEntries(
  record: VersionRecord,
  keys: ReadonlySet<string>,
): VersionRecord {
  const entries = record.entries.filter((entry) => !keys.has(entryKey(entry)));
  return { ...record, entries };
}
