/**
 * Finds the route, service and workspace of a request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Route, Service, Workspace } from "../version/configuration.ts";
import { pickDestination } from "../version/routing_table.ts";
import type { RoutingTable } from "../version/routing_table.ts";
import type { RequestHead } from "./dialect.ts";
import type { Refusal } from "./caller.ts";
import type { Daemon } from "./daemon.ts";
import { headerBytes } from "./headers.ts";

/**
 * Retry delay in ms for requests that this daemon cannot serve because its
 * configuration is incomplete.
 */
const CONFIGURATION_RETRY_MS = 1_000;

/** A request whose route has been found. */
export interface RoutedRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: Service;
  readonly workspace: Workspace | undefined;
  readonly version: number;
  /** Rank among all kinds of requests; 0 is the most urgent. */
  readonly rank: number;
  /** Rank by which an engine selects requests to preempt. */
  readonly preemptionRank: number;
  /** Number of less urgent ranks. */
  readonly lessUrgentRanks: number;
}

/**
 * Finds the route, service and workspace of a request, or why it is refused.
 */
export function routeRequest(
  daemon: Daemon,
  request: IncomingMessage,
  head: RequestHead,
): RoutedRequest | Refusal {
  const table = daemon.routingTable();
  if (daemon.closed) {
    return { status: 503, code: "leaving", retryAfterMs: 0, close: true };
  }
  if (table === undefined) {
    return {
      status: 503,
      code: "not_ready",
      retryAfterMs: CONFIGURATION_RETRY_MS,
    };
  }
  if (headerBytes(request.rawHeaders) > table.limits.maxHeaderBytes) {
    return { status: 431, code: "header_too_large", close: true };
  }
  const route = table.route(head.host, request.url ?? "/");
  if (route === undefined) return { status: 404, code: "no_route" };
  const workspace = authenticate(table, route, head);
  if (workspace === "unknown") return { status: 401, code: "unknown_key" };
  const name = pickDestination(route, daemon.random());
  const service = name === undefined ? undefined : table.service(name);
  if (service === undefined) {
    return {
      status: 503,
      code: "no_service",
      retryAfterMs: CONFIGURATION_RETRY_MS,
    };
  }
  const rank = table.rank(route, workspace);
  return {
    head,
    route,
    service,
    workspace,
    version: table.version,
    rank,
    preemptionRank: table.preemptionRank(route, workspace),
    lessUrgentRanks: table.lessUrgentRanks(rank),
  };
}

function authenticate(
  table: RoutingTable,
  route: Route,
  head: RequestHead,
): Workspace | undefined | "unknown" {
  const workspace = head.key === undefined
    ? undefined
    : table.workspace(head.key);
  if (workspace !== undefined) return workspace;
  if (route.anonymous || !table.hasWorkspaces) return undefined;
  return "unknown";
}
