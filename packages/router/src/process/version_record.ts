/**
 * The record in the platform's store of the software versions that services have
 * had. It outlives all daemons.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Runner } from "./runner.ts";

/** Maximum length of a version in the record; a longer one is recorded by a hash. */
const MAX_VERSION_LENGTH = 64;

/** A software version at which runners of a service are or were listed. */
export interface RecordedVersion {
  readonly service: string;
  /** See {@linkcode recordedName}. */
  readonly version: string;
  /** Whether a daemon is about to remove it, unless it is listed again. */
  readonly leaving?: true | undefined;
}

/** The object in the store. */
export interface VersionRecord {
  /**
   * Epoch of the store in which the record became complete, see `storeRevision`: it
   * then had all versions whose streams may be resumed. Undefined before. A record
   * that was restored from a backup may lack versions.
   */
  readonly completeIn: number | undefined;
  readonly versions: readonly RecordedVersion[];
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

/** Returns a key that identifies a version of a service. */
export function versionKey({ service, version }: RecordedVersion): string {
  return JSON.stringify([service, version]);
}

/** Returns the versions of runners by their keys. */
export function versionsOf(
  runners: readonly Runner[],
): ReadonlyMap<string, RecordedVersion> {
  const versions = new Map<string, RecordedVersion>();
  for (const { service, softwareVersion } of runners) {
    const version = { service, version: recordedName(softwareVersion) };
    versions.set(versionKey(version), version);
  }
  return versions;
}

/** Returns the record with versions that are listed; itself if it has them. */
export function withListed(
  record: VersionRecord,
  listed: ReadonlyMap<string, RecordedVersion>,
): VersionRecord {
  const kept = record.versions.filter((version) =>
    !version.leaving || !listed.has(versionKey(version))
  );
  const keys = new Set(kept.map(versionKey));
  const added = [...listed].filter(([key]) => !keys.has(key))
    .map(([, version]) => version);
  if (added.length === 0) return record;
  return { ...record, versions: [...kept, ...added] };
}

/** Returns the record with versions marked as leaving; itself if they are. */
export function withLeaving(
  record: VersionRecord,
  keys: ReadonlySet<string>,
): VersionRecord {
  const isNew = (version: RecordedVersion) =>
    !version.leaving && keys.has(versionKey(version));
  if (!record.versions.some(isNew)) return record;
  const versions = record.versions.map((version) =>
    isNew(version) ? { ...version, leaving: true as const } : version
  );
  return { ...record, versions };
}

/** Returns the record without the given versions. */
export function withoutVersions(
  record: VersionRecord,
  keys: ReadonlySet<string>,
): VersionRecord {
  const versions = record.versions.filter((version) =>
    !keys.has(versionKey(version))
  );
  return { ...record, versions };
}
