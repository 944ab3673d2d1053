/**
 * Cost of a runner in another failure domain.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import type { Demand, RunnerFleet } from "./demand.ts";

/** Round trip between failure domains in ms. */
const ROUND_TRIP_MS = 3;
/** Milliseconds that a byte takes between them: 100 MB/s for one request. */
const MS_PER_BYTE = 1e-5;
/** Bytes of a prompt token in a request. */
const PROMPT_TOKEN_BYTES = 4;
/** Bytes of a generated token in the events of a stream. */
const OUTPUT_TOKEN_BYTES = 40;

/**
 * Returns the time in ms by which a request takes longer at a runner in another
 * failure domain. Where the traffic of a domain swings by half, work goes to the
 * others as soon as the wait here is longer than this.
 */
export function remoteMs(
  { failureDomain }: Pick<RunnerFleet, "failureDomain">,
  { promptTokens, expectedOutputTokens = 0 }: Pick<
    Demand,
    "promptTokens" | "expectedOutputTokens"
  >,
  runner: Pick<Runner, "failureDomain">,
): number {
  if (runner.failureDomain === failureDomain) return 0;
  const bytes = PROMPT_TOKEN_BYTES * promptTokens +
    OUTPUT_TOKEN_BYTES * expectedOutputTokens;
  return ROUND_TRIP_MS + MS_PER_BYTE * bytes;
}
