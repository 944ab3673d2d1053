/**
 * Fixtures for tests of placement.
 *
 * @internal
 * @module
 */
import type { Tenure } from "@umbermast/coordination";
import { FakeClock } from "@umbermast/coordination/testing";
import * as EffectClock from "effect/Clock";
import * as Duration from "effect/Duration";
import * as Effect from "effect/Effect";
import { runnerAt } from "../../../tests/runner_fixture.ts";
import type { Runner } from "../runner.ts";
import type { EngineState } from "./placement_plan.ts";

const NANOS_PER_MS = 1_000_000n;

/** A runner of the service "pool". */
export function runnerOf(fields: Partial<Runner> = {}): Runner {
  return { ...runnerAt("r1", 1), service: "pool", ...fields };
}

/** An engine that holds the given models. */
export function engineOf(
  runner: string,
  models: readonly string[],
  fields: Partial<EngineState> = {},
): EngineState {
  return {
    runner,
    models: new Set(models),
    loading: new Set(),
    refused: new Set(),
    requests: 0,
    ...fields,
  };
}

/** A tenure that does not expire by default. */
export function tenureOf(
  remainingMs: () => number = () => 60_000,
  fencing = 1,
): Tenure {
  return { fencing, remainingMs };
}

/** A fake clock that skips sleeps, for effects and as the clock of a process. */
export class JumpingClock extends FakeClock {
  /** Runs an effect whose sleeps end at once and advance this clock. */
  run<A>(effect: Effect.Effect<A>): Promise<A> {
    const nanos = () => BigInt(Math.round(this.now())) * NANOS_PER_MS;
    const clock: EffectClock.Clock = {
      currentTimeMillisUnsafe: () => this.now(),
      currentTimeMillis: Effect.sync(() => this.now()),
      currentTimeNanosUnsafe: nanos,
      currentTimeNanos: Effect.sync(nanos),
      monotonicTimeNanosUnsafe: nanos,
      monotonicTimeNanos: Effect.sync(nanos),
      sleep: (duration) =>
        Effect.andThen(
          Effect.sync(() => this.advance(Duration.toMillis(duration))),
          Effect.yieldNow,
        ),
    };
    return Effect.runPromise(
      Effect.provideService(effect, EffectClock.Clock, clock),
    );
  }
}
