/**
 * What speaks against a runner, besides its load.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import type { RunnerLoad } from "../process/runner_load.ts";

/**
 * Number of requests by which a runner in another failure domain must be less
 * loaded to be selected.
 */
export const REMOTE_DOMAIN_PENALTY = 0.7;

/**
 * Additional relative cost of a runner of a plain service when all its responses
 * are failures. A runner that fails at once appears idle: one was sent 19 of 46
 * requests in two seconds, half of which failed. With 16, a runner that fails 4 of
 * 10 requests is selected only when the others have seven times its load.
 */
const FAILURE_RATE_WEIGHT = 16;
/** Assumed slowdown factor of a runner that is warming up. */
const WARM_UP_FACTOR = 2;

/** Factor by which work takes longer on a runner that is warming up. */
export function slowdownOf({ warmUpMs }: Pick<Runner, "warmUpMs">): number {
  return warmUpMs > 0 ? WARM_UP_FACTOR : 1;
}

/** Factor on the cost of a runner of a plain service: its slowdown and failures. */
export function penaltyFactor(
  runner: Runner,
  load: Pick<RunnerLoad, "failureRate">,
  now: number,
): number {
  return slowdownOf(runner) *
    (1 + FAILURE_RATE_WEIGHT * load.failureRate(now));
}
