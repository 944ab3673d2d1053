/**
 * The last versions of a value, from which updates are made.
 *
 * @module
 */
import { applyDelta, makeDelta } from "./json_delta.ts";
import type { Json } from "./json_delta.ts";
import type { Update } from "./published_message.ts";

/** Members further behind get the whole value. */
const KEPT_VERSIONS = 4;

interface Kept {
  readonly version: number;
  readonly value: Json;
  /** Length as JSON, to compare with that of a delta. */
  readonly size: number;
}

/** Keeps a few versions, newest last. */
export class VersionHistory {
  readonly #kept: Kept[] = [];
  readonly #updates = new Map<number, Update>();

  /** The newest version; 0 when there is none. */
  get version(): number {
    return this.#kept.at(-1)?.version ?? 0;
  }

  /** Keeps a version newer than the others. */
  add(version: number, value: Json): void {
    this.#kept.push({ version, value, size: JSON.stringify(value).length });
    if (this.#kept.length > KEPT_VERSIONS) this.#kept.shift();
    this.#updates.clear();
  }

  /** What a member with version `have` needs; made once for all members. */
  updateFor(have: number): Update {
    const newest = this.#kept.at(-1);
    if (newest === undefined) return { kind: "version", version: 0 };
    if (have >= newest.version) {
      return { kind: "version", version: newest.version };
    }
    const made = this.#updates.get(have) ?? this.#make(have, newest);
    if (made.kind === "delta") this.#updates.set(have, made);
    return made;
  }

  /** The value that an update stands for; undefined when its base is missing. */
  valueOf(update: Update): Json | undefined {
    if (update.kind === "whole") return update.value;
    if (update.kind === "version") return undefined;
    const base = this.#kept.find(({ version }) => version === update.from);
    if (base === undefined) return undefined;
    return applyDelta(base.value, update.delta);
  }

  #make(have: number, newest: Kept): Update {
    const { version, value, size } = newest;
    const base = this.#kept.find((kept) => kept.version === have);
    if (base === undefined) return { kind: "whole", version, value };
    const delta = makeDelta(base.value, value);
    if (JSON.stringify(delta).length >= size) {
      return { kind: "whole", version, value };
    }
    return { kind: "delta", version, from: have, delta };
  }
}
