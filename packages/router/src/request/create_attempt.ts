/**
 * Builds the request that is sent to a runner.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { Path } from "../process/runner_paths.ts";
import { Attempt } from "./attempt.ts";
import type { Daemon } from "./daemon.ts";
import type { RunnerChoice } from "./placement.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Creates an attempt to run a request on the selected runner. Nothing is sent
 * before {@linkcode Attempt.send} is called.
 */
export function createAttempt(
  daemon: Daemon,
  routed: RoutedRequest,
  options: {
    readonly request: IncomingMessage;
    readonly choice: RunnerChoice;
    readonly path: Path;
    readonly body: Buffer;
    /** Milliseconds until the caller gets its final response at the latest. */
    readonly remainingMs: number;
    /**
     * Last event that the caller has received, if the attempt continues a
     * stream.
     */
    readonly lastEventId: number | undefined;
  },
): Attempt {
  const { request, choice, path, body, remainingMs, lastEventId } = options;
  const { head, service, workspace } = routed;
  const { runner, fetchFrom } = choice;
  const headers = daemon.dialect.runnerHeaders(request.rawHeaders, {
    runnerName: runner.name,
    deadlineMs: Math.max(1, Math.floor(remainingMs)),
    workspace: workspace?.name,
    rank: service.engine === undefined ? undefined : routed.preemptionRank,
    fetchFrom: fetchFrom && `${fetchFrom.address}:${fetchFrom.port}`,
    lastEventId,
  });
  return new Attempt(runner, {
    id: head.id,
    method: request.method!,
    target: request.url!,
    headers,
    body,
  }, {
    dialect: daemon.dialect,
    connections: daemon.connections,
    path,
    maxConnections: daemon.connectionShare(service),
    onConnect: () => daemon.metrics.runnerConnected(service.name),
  });
}
