/**
 * What an answer of the platform's object store means.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { StoreResponse } from "./http_client.ts";
import type { Conflict, Unavailable } from "./store.ts";

/** The decoded body of a read, list or watch. */
export function responseBody<T>(
  reply: StoreResponse,
): Effect.Effect<T, Unavailable> {
  if (reply.status === 200 && reply.body !== undefined) {
    return Effect.succeed(reply.body as T);
  }
  return unavailable(reply, { mayHaveWritten: false });
}

/** The new version after a write. */
export function writtenVersion(
  reply: StoreResponse,
): Effect.Effect<number, Conflict | Unavailable> {
  const version = versionIn(reply);
  if (reply.status === 200 && version !== undefined) {
    return Effect.succeed(version);
  }
  return writeFailure(reply);
}

/** Succeeds after a removal; one that is gone already conflicts as version 0. */
export function removalResult(
  reply: StoreResponse,
): Effect.Effect<void, Conflict | Unavailable> {
  if (reply.status === 200) return Effect.void;
  if (reply.status === 404) return conflict(0);
  return writeFailure(reply);
}

function writeFailure(
  reply: StoreResponse,
): Effect.Effect<never, Conflict | Unavailable> {
  const version = versionIn(reply);
  if (reply.status === 409 && version !== undefined) return conflict(version);
  // 4xx and 503 are the store's own refusals. Any other answer may come from
  // something between the two ends, after the store did the write.
  const refused = reply.status >= 400 && reply.status < 500 ||
    reply.status === 503;
  return unavailable(reply, { mayHaveWritten: !refused });
}

function conflict(version: number): Effect.Effect<never, Conflict> {
  return Effect.fail({ _tag: "Conflict", version });
}

function unavailable(
  reply: StoreResponse,
  options: { readonly mayHaveWritten: boolean },
): Effect.Effect<never, Unavailable> {
  const { status, retryAfterMs } = reply;
  return Effect.fail({
    _tag: "Unavailable",
    reason: `The store answered with status ${status}`,
    mayHaveWritten: options.mayHaveWritten,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}

function versionIn(reply: StoreResponse): number | undefined {
  const version = (reply.body as { version?: unknown } | undefined)?.version;
  return typeof version === "number" ? version : undefined;
}
