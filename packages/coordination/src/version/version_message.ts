/**
 * Messages by which members pass on the versions of a value.
 *
 * @module
 */
import type { Json, JsonDelta } from "./json_delta.ts";

/** What a member has, or what it gives. */
export type VersionUpdate =
  /** Has this version, and gives nothing newer. */
  | { readonly kind: "version"; readonly version: number }
  | {
    readonly kind: "whole";
    readonly version: number;
    readonly value: Json;
  }
  /** Makes the version from the earlier version `from`. */
  | {
    readonly kind: "delta";
    readonly version: number;
    readonly from: number;
    readonly delta: JsonDelta;
  };

/** Reads an update; undefined when it is not valid. */
export function decodeUpdate(message: unknown): VersionUpdate | undefined {
  const update = message as Partial<Record<string, unknown>> | null | undefined;
  const version = update?.["version"];
  if (!isVersion(version)) return undefined;
  switch (update?.["kind"]) {
    case "version":
      return { kind: "version", version };
    case "whole":
      return { kind: "whole", version, value: update["value"] as Json };
    case "delta": {
      const from = update["from"];
      if (!isVersion(from)) return undefined;
      const delta = update["delta"] as JsonDelta;
      return { kind: "delta", version, from, delta };
    }
    default:
      return undefined;
  }
}

/** Whether this is a version; 0 stands for none. */
export function isVersion(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
