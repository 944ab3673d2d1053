/**
 * Interprets responses of the platform's object store.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { StoreResponse } from "./http_client.ts";
import type { Conflict, Unavailable } from "./store.ts";

/** Returns the decoded body of a read, list or watch. */
export function responseBody<T>(
  response: StoreResponse,
): Effect.Effect<T, Unavailable> {
  if (response.status === 200 && response.body !== undefined) {
    return Effect.succeed(response.body as T);
  }
  return unavailable(response, { mayHaveWritten: false });
}

/** Returns the new version after a write. */
export function writtenVersion(
  response: StoreResponse,
): Effect.Effect<number, Conflict | Unavailable> {
  const version = versionIn(response);
  if (response.status === 200 && version !== undefined) {
    return Effect.succeed(version);
  }
  return writeFailure(response);
}

/**
 * Succeeds after a removal; an object that no longer exists is a conflict with
 * version 0.
 */
export function removalResult(
  response: StoreResponse,
): Effect.Effect<void, Conflict | Unavailable> {
  if (response.status === 200) return Effect.void;
  if (response.status === 404) return conflict(0);
  return writeFailure(response);
}

function writeFailure(
  response: StoreResponse,
): Effect.Effect<never, Conflict | Unavailable> {
  const stored = versionIn(response);
  if (response.status === 409 && stored !== undefined) return conflict(stored);
  // 4xx and 503 are refusals by the store itself. Any other response may come
  // from an intermediary, after the store has applied the write.
  const refused = response.status >= 400 && response.status < 500 ||
    response.status === 503;
  return unavailable(response, { mayHaveWritten: !refused });
}

function conflict(version: number): Effect.Effect<never, Conflict> {
  return Effect.fail({ _tag: "Conflict", version });
}

function unavailable(
  response: StoreResponse,
  options: { readonly mayHaveWritten: boolean },
): Effect.Effect<never, Unavailable> {
  const { status, retryAfterMs } = response;
  return Effect.fail({
    _tag: "Unavailable",
    reason: `The store answered with status ${status}`,
    mayHaveWritten: options.mayHaveWritten,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}

function versionIn(response: StoreResponse): number | undefined {
  const version = (response.body as { version?: unknown } | undefined)?.version;
  return typeof version === "number" ? version : undefined;
}
