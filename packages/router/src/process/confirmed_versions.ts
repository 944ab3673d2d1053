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
import type { StoredVersions } from "./version_record.ts";

/** Why the only version of a service is not known. */
export type UnconfirmedReason =
  /** The store did not answer in time. */
  | "store_unreachable"
  /** The service has, or had, runners of several versions. */
  | "several_versions"
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

  /** Returns the only version of a service, or after `maxMs` that it is not known. */
  async confirm(service: string, maxMs: number): Promise<VersionConfirmation> {
    const snapshot = await Promise.race([
      this.#reads.next().catch(() => undefined),
      pause(maxMs),
    ]);
    if (!snapshot) return unconfirmed("store_unreachable");
    const ageMs = performance.now() - snapshot.at;
    const software = onlyVersion(service, snapshot);
    return typeof software === "string"
      ? { kind: "only", software, ageMs }
      : software;
  }
}

function unconfirmed(reason: UnconfirmedReason): VersionConfirmation {
  return { kind: "unconfirmed", reason };
}

function onlyVersion(
  service: string,
  { stored: { record, revision }, runners }: VersionSnapshot,
): string | VersionConfirmation {
  const listed = new Set(
    runners.filter((runner) => runner.service === service)
      .map(({ softwareVersion = "" }) => softwareVersion),
  );
  const recorded = (record?.versions ?? [])
    .filter((version) => version.service === service)
    .map(({ version }) => version);
  const all = new Set([...recorded, ...[...listed].map(recordedName)]);
  if (all.size > 1) return unconfirmed("several_versions");
  if (record?.completeIn !== epochOf(revision)) {
    return unconfirmed("record_incomplete");
  }
  const [software = ""] = listed;
  return software === "" ? unconfirmed("no_version") : software;
}
