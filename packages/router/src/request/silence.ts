/**
 * How long a healthy runner may send nothing, by its pace.
 *
 * @module
 */
import { ASSUMED_PACE } from "../process/runner_pace.ts";
import type { Demand, RunnerFleet } from "./demand.ts";

/** Longest time in ms between events that the silence time-out allows for. */
const USUAL_EVENT_MS = 250;
/** Longest response of a plain service, in ms, that it allows for. */
const USUAL_RESPONSE_MS = 450;
/** Duration of long responses of a plain service relative to their mean. */
const LONG_RESPONSE = 2;
/** Bound of the factor: a runner that crashed must be found in some seconds. */
const MAX_FACTOR = 3;

/**
 * Returns the factor by which a runner may be silent for longer than usual. An
 * engine that takes 1.7 times as long, and at moments 2.5 times that, sends an
 * event in a second where prompts are prefilled; the usual time-out of 0.9 s
 * would eject it and leave its requests to the others.
 */
export function silenceFactor(
  { pace, now }: Pick<RunnerFleet, "pace" | "now">,
  { engine }: Pick<Demand, "engine">,
  runner: string,
): number {
  const factor = engine === undefined
    ? LONG_RESPONSE * (pace.responseMs(runner, now) ?? 0) / USUAL_RESPONSE_MS
    : engine.eventTokens * pace.chunkStepMs(runner, now) /
      Math.max(
        USUAL_EVENT_MS,
        engine.eventTokens * ASSUMED_PACE.chunkStepMs(undefined, now),
      );
  return Math.min(MAX_FACTOR, Math.max(1, factor));
}
