/**
 * Fixtures for tests of calls with idempotency keys: daemons that share one
 * store, and crashes at named points.
 *
 * @module
 */
import type { TestContext } from "node:test";
import {
  ClaimsInStore,
  type ClaimsInStoreOptions,
  type CrashPoint,
  type CrashPoints,
} from "@umbermast/coordination";
import {
  FakeMembership,
  memberNamed,
  MemoryNetwork,
  MemoryStore,
} from "@umbermast/coordination/testing";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Scope from "effect/Scope";
import type { Runner } from "../src/process/runner.ts";
import type { CallRunner } from "../src/request/call.ts";
import { IdempotentCallRunner } from "../src/request/idempotent_call_runner.ts";
import { callBench } from "./call_fixture.ts";
import type { CallBench } from "./call_fixture.ts";

/** A daemon with claims of its own. */
export interface ClaimingDaemon {
  readonly callRunner: CallRunner;
  readonly claims: ClaimsInStore;
  readonly bench: CallBench;
}

/** Daemons over one store; all is closed at the end of the test. */
export class ClaimingFleet {
  readonly store = new MemoryStore();
  readonly network = new MemoryNetwork();
  readonly #test: TestContext;

  constructor(test: TestContext) {
    this.#test = test;
  }

  /** Starts a daemon that knows of no other, so safety rests on the store alone. */
  async daemon(
    name: string,
    options: {
      readonly runners: readonly Runner[];
      readonly crashPoints?: CrashPoints;
      readonly claims?: Partial<ClaimsInStoreOptions>;
    },
  ): Promise<ClaimingDaemon> {
    const { crashPoints } = options;
    const claims = new ClaimsInStore({
      store: this.store,
      peers: this.network.peers(name),
      membership: new FakeMembership(memberNamed(name)),
      ...(crashPoints !== undefined && { crashPoints }),
      ...options.claims,
      settings: {
        partitions: 1,
        writesPerSecond: 10_000,
        ...options.claims?.settings,
      },
    });
    const scope = Scope.makeUnsafe();
    await Effect.runPromise(Scope.provide(claims.start(), scope));
    const services = crashPoints === undefined ? {} : { crashPoints };
    const bench = callBench(options.runners, { services });
    this.#test.after(async () => {
      bench.connections.close();
      await Effect.runPromise(Scope.close(scope, Exit.void));
    });
    const callRunner = new IdempotentCallRunner(bench.callRunner, {
      claims,
      log: bench.log,
      ...services,
    });
    return { callRunner, claims, bench };
  }
}

/** Stops a daemon for good the first time that it reaches a point. */
export class CrashAt implements CrashPoints {
  /** Ends when the point is reached. */
  readonly reachedOnce: Promise<void>;
  readonly #point: CrashPoint;
  #signal: () => void = () => {};
  #crashed = false;

  constructor(point: CrashPoint) {
    this.#point = point;
    this.reachedOnce = new Promise((signal) => {
      this.#signal = signal;
    });
  }

  reached(point: CrashPoint): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (point === this.#point) this.#crashed = true;
      if (!this.#crashed) return Effect.void;
      this.#signal();
      return Effect.never;
    });
  }
}
