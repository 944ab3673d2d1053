/**
 * Keeps the newest versions of a value, to create deltas between them and to
 * apply received ones.
 *
 * @module
 */
import { applyDelta, makeDelta } from "./json_delta.ts";
import type { Json } from "./json_delta.ts";
import type { VersionUpdate } from "./version_message.ts";

/** Number of versions kept; members with an older one get the whole value. */
const MAX_VERSIONS = 4;

interface HistoryEntry {
  readonly version: number;
  readonly value: Json;
  /**
   * Length of the value as JSON, in UTF-16 code units, to compare with that of a
   * delta.
   */
  readonly jsonLength: number;
}

/** The newest versions of a value, in ascending order. */
export class VersionHistory {
  readonly #entries: HistoryEntry[] = [];
  readonly #updateCache = new Map<number, VersionUpdate>();

  /** The newest version; 0 when there is none. */
  get newestVersion(): number {
    return this.#entries.at(-1)?.version ?? 0;
  }

  /** Adds a version that is newer than the others. */
  add(version: number, value: Json): void {
    this.#entries.push({
      version,
      value,
      jsonLength: JSON.stringify(value).length,
    });
    if (this.#entries.length > MAX_VERSIONS) this.#entries.shift();
    this.#updateCache.clear();
  }

  /**
   * Returns the update to send to a member with the given version: the version
   * alone if the member has the newest or a newer one, otherwise a delta or the
   * whole value. Deltas are cached.
   */
  updateFor(memberVersion: number): VersionUpdate {
    const newest = this.#entries.at(-1);
    if (newest === undefined) return { kind: "version", version: 0 };
    if (memberVersion >= newest.version) {
      return { kind: "version", version: newest.version };
    }
    const update = this.#updateCache.get(memberVersion) ??
      this.#createUpdate(memberVersion, newest);
    if (update.kind === "delta") this.#updateCache.set(memberVersion, update);
    return update;
  }

  /**
   * Returns the value that results from an update; undefined if the update has
   * neither a value nor a delta, or if the version to which its delta applies is
   * not kept.
   *
   * @throws {DeltaMismatch} if the delta cannot be applied.
   */
  resolveUpdate(update: VersionUpdate): Json | undefined {
    if (update.kind === "whole") return update.value;
    if (update.kind === "version") return undefined;
    const base = this.#entries.find(({ version }) => version === update.from);
    if (base === undefined) return undefined;
    return applyDelta(base.value, update.delta);
  }

  #createUpdate(memberVersion: number, newest: HistoryEntry): VersionUpdate {
    const { version, value, jsonLength } = newest;
    const base = this.#entries.find((entry) => entry.version === memberVersion);
    if (base === undefined) return { kind: "whole", version, value };
    const delta = makeDelta(base.value, value);
    if (JSON.stringify(delta).length >= jsonLength) {
      return { kind: "whole", version, value };
    }
    return { kind: "delta", version, from: memberVersion, delta };
  }
}
