/**
 * Messages that carry versions of a value between members.
 *
 * @module
 */
import type { Json, JsonDelta } from "./json_delta.ts";

/**
 * A version that a member has, with the data to update to it if the recipient
 * needs it.
 */
export type VersionUpdate =
  /** The sender has this version; the message carries no value. */
  | { readonly kind: "version"; readonly version: number }
  | {
    readonly kind: "whole";
    readonly version: number;
    readonly value: Json;
  }
  /** Changes the earlier version `from` into this version. */
  | {
    readonly kind: "delta";
    readonly version: number;
    readonly from: number;
    readonly delta: JsonDelta;
  };

/** An update in answer to a query. */
export type VersionAnswer = VersionUpdate & {
  /**
   * Milliseconds since the store last confirmed that the sender had the newest
   * version; absent if it never did.
   */
  readonly confirmedAgoMs?: number | undefined;
};

/** Decodes an answer; returns undefined if its update is invalid. */
export function decodeAnswer(message: unknown): VersionAnswer | undefined {
  const update = decodeUpdate(message);
  if (update === undefined) return undefined;
  const { confirmedAgoMs } = message as { readonly confirmedAgoMs?: unknown };
  return isVersion(confirmedAgoMs) ? { ...update, confirmedAgoMs } : update;
}

/** Decodes an update; returns undefined if it is invalid. */
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

/** Whether this is a valid version; 0 means that there is no value yet. */
export function isVersion(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
