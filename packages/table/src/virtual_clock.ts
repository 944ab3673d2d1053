/**
 * A virtual clock for tests, on which sleeping takes no real time.
 *
 * @internal
 * @module
 */
import * as Clock from "effect/Clock";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";

const NANOS_PER_MS = 1_000_000n;

/** Runs an effect on a clock that each sleep advances at once. */
export function runOnVirtualClock<A, E>(
  effect: Effect.Effect<A, E>,
): Promise<A> {
  let now = 0;
  const nanos = () => BigInt(Math.round(now)) * NANOS_PER_MS;
  const clock: Clock.Clock = {
    currentTimeMillisUnsafe: () => now,
    currentTimeMillis: Effect.sync(() => now),
    currentTimeNanosUnsafe: nanos,
    currentTimeNanos: Effect.sync(nanos),
    monotonicTimeNanosUnsafe: nanos,
    monotonicTimeNanos: Effect.sync(nanos),
    sleep: (duration) =>
      Effect.andThen(
        Effect.sync(() => {
          now += Duration.toMillis(duration);
        }),
        Effect.yieldNow,
      ),
  };
  return Effect.runPromise(Effect.provideService(effect, Clock.Clock, clock));
}
