/**
 * The layout of the claims, on which all processes must agree before they make
 * claims.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import { CLAIMS_KIND } from "./claim_objects.ts";
import type { UnreadableClaims } from "./claim_record.ts";
import type { Store, Unavailable } from "./store.ts";

const LAYOUT_NAME = "layout";

/**
 * Layout of the claims, stored by the first process that starts. Settings of
 * later processes are ignored: two processes that partition the keys
 * differently would claim one key in two places, and a process with a shorter
 * window would drop claims on which another one still relies.
 */
export interface ClaimLayout {
  /** Number of partitions. */
  readonly partitions: number;
  /**
   * Time for which a later attempt is guaranteed to find a claim, in
   * milliseconds.
   */
  readonly windowMs: number;
}

/** Reads the layout, or writes the given one if there is none. */
export function ensureLayout(
  store: Store,
  wanted: ClaimLayout,
): Effect.Effect<ClaimLayout, Unavailable | UnreadableClaims> {
  const object = { kind: CLAIMS_KIND, name: LAYOUT_NAME };
  return Effect.gen(function* () {
    const found = yield* store.read(CLAIMS_KIND, LAYOUT_NAME);
    if (found !== undefined) return yield* decodeLayout(found.value);
    yield* store.write({ ...object, value: wanted }, { ifVersion: 0 }).pipe(
      Effect.catchTag("Conflict", () => Effect.succeed(0)),
    );
    // Read back, since another process may have written first.
    const written = yield* store.read(CLAIMS_KIND, LAYOUT_NAME);
    return yield* decodeLayout(written?.value);
  });
}

function decodeLayout(
  value: unknown,
): Effect.Effect<ClaimLayout, UnreadableClaims> {
  const layout = value as Partial<Record<keyof ClaimLayout, unknown>> | null;
  const partitions = layout?.partitions;
  const windowMs = layout?.windowMs;
  if (isPositive(partitions) && isPositive(windowMs)) {
    return Effect.succeed({ partitions, windowMs });
  }
  return Effect.fail({
    _tag: "UnreadableClaims",
    message: `Cannot read claims: "${CLAIMS_KIND}/${LAYOUT_NAME}" is not valid`,
  });
}

function isPositive(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0;
}
