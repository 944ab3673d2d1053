/**
 * A scheduler that gives the runner with the fewest requests of this daemon.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Runner } from "../process/runner.ts";
import type { Ask, Grant, Refusal } from "./ask.ts";
import type { Scheduler } from "./scheduler.ts";

/** Gives slots at once, without queue or limit. */
export class LeastInFlightScheduler implements Scheduler {
  readonly #runners: () => readonly Runner[];
  readonly #inFlight = new Map<string, number>();

  constructor(runners: () => readonly Runner[]) {
    this.#runners = runners;
  }

  acquire(ask: Ask): Effect.Effect<Grant, Refusal> {
    return Effect.suspend(() => {
      const runner = this.#choose(ask);
      if (runner === undefined) return Effect.fail(noRunner(ask));
      return Effect.succeed(this.#grant(ask, runner));
    });
  }

  #count(runner: Runner): number {
    return this.#inFlight.get(runner.name) ?? 0;
  }

  #choose(ask: Ask): Runner | undefined {
    return this.#runners()
      .filter(({ service, state, name }) =>
        service === ask.service && state === "live" &&
        !ask.excluded.includes(name)
      )
      .sort((a, b) => this.#count(a) - this.#count(b))[0];
  }

  #grant(ask: Ask, runner: Runner): Grant {
    this.#inFlight.set(runner.name, this.#count(runner) + 1);
    let held = true;
    const release = () => {
      if (held) this.#inFlight.set(runner.name, this.#count(runner) - 1);
      held = false;
    };
    const { askId, deadline } = ask;
    return { askId, runner, expiresAt: deadline, release };
  }
}

function noRunner(ask: Ask): Refusal {
  return {
    _tag: "Refusal",
    code: "no_runner",
    message: `Cannot serve the request: service "${ask.service}" has no runner`,
    retryAfterMs: 1000,
  };
}
