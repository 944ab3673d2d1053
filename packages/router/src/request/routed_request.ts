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
import type { Refusal } from "./refusal.ts";
import { leavingRefusal } from "./refusals.ts";
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
  /**
   * Rank by the tiers of the workspace and then of the route; 0 is the most
   * urgent.
   */
  readonly rank: number;
  /**
   * Rank by which the runner's inference engine selects requests to preempt; 0
   * is the most urgent. The route's tier counts before the workspace's.
   */
  readonly preemptionRank: number;
  /** Number of ranks that are less urgent than `rank`. */
  readonly lessUrgentRanks: number;
}

/**
 * Returns the route of a request, one of the route's services, drawn by weight,
 * and the workspace; or the refusal.
 */
export function routeRequest(
  daemon: Daemon,
  request: IncomingMessage,
  head: RequestHead,
): RoutedRequest | Refusal {
  const table = daemon.routingTable();
  if (daemon.closed) return leavingRefusal();
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

/**
 * Returns the workspace of the request's key, undefined if the request may be
 * anonymous, or "unknown" if it must be refused.
 */
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
