/**
 * Cancels runs at engines.
 *
 * @module
 */
import type { RunnerConnections } from "../connection/runner_connections.ts";
import type { Runner } from "../process/runner.ts";

/** Time-out of a cancel request, in milliseconds. */
const CANCEL_TIMEOUT_MS = 2_000;

/**
 * Cancels a run at an engine, without waiting for the response. Needed for runs
 * that the engine keeps for a resume: closing the connection does not stop
 * those, and they would go on generating tokens that are never read. If the
 * cancel request is lost, the run ends when the engine stops keeping it.
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
    // The usual cause is an unresponsive connection, so open a new one.
    fresh: true,
  });
  const timer = setTimeout(() => request.destroy(), CANCEL_TIMEOUT_MS);
  timer.unref();
  request.on("response", (response) => response.resume());
  request.on("error", () => {});
  request.on("close", () => clearTimeout(timer));
}
