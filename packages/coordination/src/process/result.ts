/**
 * Converts neverthrow results to effects.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Result } from "neverthrow";

/**
 * Converts a result to an effect that succeeds or fails with the same value.
 *
 * @example
 * ```ts
 * const value = yield* fromResult(decodeItem(bytes));
 * ```
 */
export function fromResult<A, E>(result: Result<A, E>): Effect.Effect<A, E> {
  return result.isOk()
    ? Effect.succeed(result.value)
    : Effect.fail(result.error);
}
