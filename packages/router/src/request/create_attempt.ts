/**
 * What a runner is sent for a request.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Attempt } from "./attempt.ts";
import type { Daemon } from "./daemon.ts";
import type { RunnerChoice } from "./placement.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Makes an attempt to have a request run by the runner that was chosen; nothing
 * is sent until it is started.
 */
export function createAttempt(
  daemon: Daemon,
  subject: RoutedRequest,
  options: {
    readonly request: IncomingMessage;
    readonly choice: RunnerChoice;
    readonly body: Buffer;
    /** Milliseconds until the caller gets its final answer in any case. */
    readonly leftMs: number;
    /** Last event that the caller has of a stream that goes on. */
    readonly lastEventId: number | undefined;
  },
): Attempt {
  const { request, choice, body, leftMs, lastEventId } = options;
  const { head: call, service, workspace } = subject;
  const { runner, fetchFrom } = choice;
  const headers = daemon.dialect.runnerHeaders(request.rawHeaders, {
    runnerName: runner.name,
    deadlineMs: Math.max(1, Math.floor(leftMs)),
    workspace: workspace?.name,
    rank: service.engine === undefined ? undefined : subject.preemptionRank,
    fetchFrom: fetchFrom && `${fetchFrom.address}:${fetchFrom.port}`,
    lastEventId,
  });
  return new Attempt(runner, {
    id: call.id,
    method: request.method!,
    target: request.url!,
    headers,
    body,
  }, {
    dialect: daemon.dialect,
    connections: daemon.connections,
    maxConnections: daemon.connectionShare(service),
    onConnect: () => daemon.metrics.connected(service.name),
  });
}
