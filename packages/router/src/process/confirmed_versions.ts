/**
 * Confirms at the platform's store that a service has had one software version.
 *
 * @module
 */
import { CoalescedCall } from "./coalesced_call.ts";
import { pause } from "./pause.ts";
import type { Runner } from "./runner.ts";
import { epochOf } from "./store_revision.ts";
import { recordedName } from "./version_record.ts";
import type {
  RecordedEntry,
  StoredVersions,
  VersionRecord,
} from "./version_record.ts";

/** Why the only version of a service is not known. */
export type UnconfirmedReason =
  /** Calls to the store fail. */
  | "store_unreachable"
  /** The store did not answer in the time that the caller leaves. */
  | "store_late"
  /** The service has, or had, runners of several versions. */
  | "several_versions"
  /** The route leads, or led, to several services. */
  | "several_services"
  /** The record may lack versions. */
  | "record_incomplete"
  /** No runner is listed, or none that states its version. */
  | "no_version";

/** The only version of a service, or why it is not known. */
export type VersionConfirmation =
  | {
    readonly kind: "only";
    readonly software: string;
    /** Milliseconds since the store was asked. */
    readonly ageMs: number;
  }
  | { readonly kind: "unconfirmed"; readonly reason: UnconfirmedReason };

/** A route, and the service to which it leads. */
export interface PossibleOrigin {
  readonly route: string;
  readonly service: string;
}

/** What the store holds. */
export interface VersionSnapshot {
  readonly stored: StoredVersions;
  readonly runners: readonly Runner[];
}

/**
 * Answers from what the store holds after the question was asked: what this daemon
 * knew before may be out of date.
 */
export class ConfirmedVersions {
  readonly #reads: CoalescedCall<VersionSnapshot & { readonly at: number }>;

  /**
   * @param read rejects if the store does not answer.
   * @param options.intervalMs shortest interval of reads, in ms.
   */
  constructor(
    read: () => Promise<VersionSnapshot>,
    options: { readonly intervalMs: () => number },
  ) {
    this.#reads = new CoalescedCall(async () => {
      const at = performance.now();
      return { ...await read(), at };
    }, options);
  }

  /**
   * Returns the only version at which streams of a route can have begun, or after
   * `maxMs` that it is not known.
   */
  async confirm(
    origin: PossibleOrigin,
    maxMs: number,
  ): Promise<VersionConfirmation> {
    const snapshot = await Promise.race([
      this.#reads.next().catch(() => "failed" as const),
      pause(maxMs),
    ]);
    if (snapshot === "failed") return unconfirmed("store_unreachable");
    if (!snapshot) return unconfirmed("store_late");
    const ageMs = performance.now() - snapshot.at;
    const software = onlyVersion(origin, snapshot);
    return typeof software === "string"
      ? { kind: "only", software, ageMs }
      : software;
  }
}

function unconfirmed(reason: UnconfirmedReason): VersionConfirmation {
  return { kind: "unconfirmed", reason };
}

function onlyVersion(
  { route, service }: PossibleOrigin,
  { stored: { record, revision }, runners }: VersionSnapshot,
): string | VersionConfirmation {
  const listed = new Set(
    runners.filter((runner) => runner.service === service)
      .map(({ softwareVersion = "" }) => softwareVersion),
  );
  const versions = recordedValues(record, "service", service);
  const all = new Set([...versions, ...[...listed].map(recordedName)]);
  if (all.size > 1) return unconfirmed("several_versions");
  const services = recordedValues(record, "route", route);
  if (services.some((name) => name !== service)) {
    return unconfirmed("several_services");
  }
  const complete = record?.completeIn === epochOf(revision);
  if (!complete || services.length === 0) {
    return unconfirmed("record_incomplete");
  }
  const [software = ""] = listed;
  return software === "" ? unconfirmed("no_version") : software;
}

function recordedValues(
  record: VersionRecord | undefined,
  subject: RecordedEntry["subject"],
  name: string,
): readonly string[] {
  return (record?.entries ?? [])
    .filter((entry) => entry.subject === subject && entry.name === name)
    .map(({ value }) => value);
}
