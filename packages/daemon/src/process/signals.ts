/**
 * Signals that shut down the daemon.
 *
 * @module
 */
import process from "node:process";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";

/** Effects that complete on the first and on the second signal to shut down. */
export interface ShutdownSignals {
  /** Completes on the first signal: leave and finish requests in flight. */
  readonly graceful: Effect.Effect<void>;
  /** Completes on the second signal: stop immediately. */
  readonly immediate: Effect.Effect<void>;
}

const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Listens for SIGTERM and SIGINT until the scope closes. */
export const listenForSignals: Effect.Effect<
  ShutdownSignals,
  never,
  Scope.Scope
> = Effect.gen(function* () {
  const first = Deferred.makeUnsafe<void>();
  const second = Deferred.makeUnsafe<void>();
  const receive = () => {
    const next = Deferred.isDoneUnsafe(first) ? second : first;
    Deferred.doneUnsafe(next, Effect.void);
  };
  for (const signal of SIGNALS) process.on(signal, receive);
  yield* Effect.addFinalizer(() =>
    Effect.sync(() => {
      for (const signal of SIGNALS) process.off(signal, receive);
    })
  );
  return { graceful: Deferred.await(first), immediate: Deferred.await(second) };
});
