/**
 * Cancels runs at engines.
 *
 * @module
 */
import type { RunnerConnections } from "../connection/runner_connections.ts";
import type { Runner } from "../process/runner.ts";

/** Longest life of a cancel request, in milliseconds. */
const CANCEL_TIMEOUT_MS = 2_000;

/**
 * Tells an engine to stop a run, without waiting for its answer. Needed for
 * runs that the engine keeps for a resume: dropping the connection does not
 * stop those, and they would go on making tokens for nobody. A lost cancel
 * costs no more than the rest of the time for which the engine keeps the run.
 */
export function cancelAtEngine(
  connections: RunnerConnections,
  runner: Runner,
  options: { readonly requestId: string },
): void {
  const request = connections.send(runner, {
    method: "POST",
    path: "/v1/cancel",
    headers: [{ name: "content-type", value: "application/json" }],
    body: Buffer.from(JSON.stringify({ requestId: options.requestId })),
    // The usual cause is a connection that went silent, so take a new one.
    fresh: true,
  });
  const timer = setTimeout(() => request.destroy(), CANCEL_TIMEOUT_MS);
  timer.unref();
  request.on("response", (response) => response.resume());
  request.on("error", () => {});
  request.on("close", () => clearTimeout(timer));
}
