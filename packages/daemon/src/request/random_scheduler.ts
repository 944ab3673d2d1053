/**
 * Baseline scheduler: a random live runner, without queueing.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Clock } from "@umbermast/coordination";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import type { Log } from "../process/log.ts";
import type { Ask, Grant, Refusal } from "./ask.ts";
import type { Scheduler } from "./scheduler.ts";
import { noRunner } from "./refusals.ts";

const GRANT_TIMEOUT_MS = 5_000;

/** Grants every ask immediately at a random live runner. */
export class RandomScheduler implements Scheduler {
  readonly #dependencies: {
    readonly directory: RunnerDirectory;
    readonly clock: Clock;
    readonly log: Log;
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
  };

  constructor(dependencies: {
    readonly directory: RunnerDirectory;
    readonly clock: Clock;
    readonly log: Log;
    readonly random: () => number;
  }) {
    this.#dependencies = dependencies;
  }

  acquire(ask: Ask): Effect.Effect<Grant, Refusal> {
    return Effect.suspend(() => {
      const { directory, clock, log, random } = this.#dependencies;
      const live = directory.runners(ask.service).filter((runner) =>
        runner.state === "live" && !ask.excluded.includes(runner.name)
      );
      const runner = live[Math.floor(random() * live.length)];
      if (runner === undefined) return Effect.fail(noRunner(ask));
      log.decision("slot_granted", {
        requestId: ask.requestId,
        askId: ask.askId,
        runner: runner.name,
        why: "random",
      });
      return Effect.succeed<Grant>({
        askId: ask.askId,
        runner,
        expiresAt: clock.now() + GRANT_TIMEOUT_MS,
        release: () => {},
      });
    });
  }
}
