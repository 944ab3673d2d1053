/**
 * An index of one configuration, for routing requests.
 *
 * @module
 */
import type {
  CallerLimits,
  Configuration,
  Route,
  Service,
  Workspace,
} from "./configuration.ts";
import { groupBy } from "../process/group.ts";

/** Routes of one host, by path prefix. */
interface HostRoutes {
  readonly byPrefix: ReadonlyMap<string, Route>;
  /** Distinct lengths of the prefixes, longest first. */
  readonly lengths: readonly number[];
}

function indexRoutes(
  routes: readonly Route[],
): ReadonlyMap<string, HostRoutes> {
  const byHost = groupBy(routes, ({ host }) => host.toLowerCase());
  const indexed = new Map<string, HostRoutes>();
  for (const [host, group] of byHost) {
    const byPrefix = new Map(group.map((route) => [route.pathPrefix, route]));
    const lengths = [...new Set(group.map((route) => route.pathPrefix.length))];
    lengths.sort((one, other) => other - one);
    indexed.set(host, { byPrefix, lengths });
  }
  return indexed;
}

function shortestGapsOf(
  routes: readonly Route[],
): ReadonlyMap<string, number> {
  const shortest = new Map<string, number>();
  for (const { destinations, streaming, gapTargetMs } of routes) {
    if (!streaming || gapTargetMs === undefined) continue;
    for (const { service } of destinations) {
      const known = shortest.get(service) ?? Infinity;
      shortest.set(service, Math.min(known, gapTargetMs));
    }
  }
  return shortest;
}

function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

function pathOf(target: string): string {
  const query = target.indexOf("?");
  return query === -1 ? target : target.slice(0, query);
}

/**
 * Finds the route and the workspace of a request. A route is found by one map
 * look-up for each distinct prefix length, regardless of the number of routes.
 *
 * @example
 * ```ts
 * const table = new RoutingTable(configuration);
 * const route = table.route("example.org", "/quotes/7");
 * ```
 */
export class RoutingTable {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly #hosts: ReadonlyMap<string, HostRoutes>;
  readonly #services: ReadonlyMap<string, Service>;
  readonly #workspaces: ReadonlyMap<string, Workspace>;
  /** Shortest gap target of the streams to each service, in ms. */
  readonly #shortestGaps: ReadonlyMap<string, number>;
  /** Weights other than 1, by name of the workspace. */
  readonly #weights: ReadonlyMap<string, number>;
  /** Distinct pairs of workspace and route tiers, the most urgent first. */
  readonly #urgencies: readonly number[];
  /** The same pairs, ordered by the route's tier first. */
  readonly #preemptions: readonly number[];

  constructor(configuration: Configuration) {
    this.version = configuration.version;
    this.limits = configuration.limits;
    this.#hosts = indexRoutes(configuration.routes);
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
    this.#shortestGaps = shortestGapsOf(configuration.routes);
    this.#urgencies = urgenciesOf(configuration);
    this.#preemptions = this.#urgencies.map(swapTiers).sort(ascending);
    this.#weights = new Map(
      configuration.workspaces.flatMap(({ name, weight = 1 }) =>
        weight > 0 && weight !== 1 ? [[name, weight] as const] : []
      ),
    );
    this.#workspaces = new Map(
      configuration.workspaces.flatMap((workspace) =>
        workspace.keys.map((key) => [key, workspace] as const)
      ),
    );
  }

  /** Weight of a workspace's share of scarce capacity. */
  weightOf(workspace: string): number {
    return this.#weights.get(workspace) ?? 1;
  }

  /** Whether any workspace is configured; without one, requests need no key. */
  get hasWorkspaces(): boolean {
    return this.#workspaces.size > 0;
  }

  /**
   * Shortest gap target of the streams to a service; Infinity without any.
   */
  shortestGapMs(service: string): number {
    return this.#shortestGaps.get(service) ?? Infinity;
  }

  /** The route with the longest prefix of `target`, a path with its query. */
  route(host: string, target: string): Route | undefined {
    const routes = this.#hosts.get(normalizeHost(host));
    if (routes === undefined) return undefined;
    const path = pathOf(target);
    for (const length of routes.lengths) {
      if (length > path.length) continue;
      const route = routes.byPrefix.get(path.slice(0, length));
      if (route !== undefined) return route;
    }
    return undefined;
  }

  /** The workspace with a key. */
  workspace(key: string): Workspace | undefined {
    return this.#workspaces.get(key);
  }

  /** The service with a name. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /**
   * The rank of a request among all configured classes, 0 being the most urgent.
   * Requests are ordered by the workspace's tier, then by the route's.
   */
  rank(route: Route, workspace: Workspace | undefined): number {
    const urgency = urgencyOf(route.tier, workspace?.tier);
    return this.#urgencies.filter((other) => other < urgency).length;
  }

  /**
   * The rank by which an engine chooses the requests to preempt, 0 being the most
   * urgent. Here the route's tier comes before the workspace's, so that a running
   * request of an urgent class is never preempted for another workspace's long
   * prompt.
   */
  preemptionRank(route: Route, workspace: Workspace | undefined): number {
    const urgency = urgencyOf(workspace?.tier ?? route.tier, route.tier);
    return this.#preemptions.filter((other) => other < urgency).length;
  }

  /** Returns the number of ranks that are less urgent than a rank. */
  lessUrgentRanks(rank: number): number {
    return this.#urgencies.length - 1 - rank;
  }
}

/** Greater than any tier of a route. */
const TIER_RANGE = 1_000;

function urgencyOf(routeTier: number, workspaceTier?: number): number {
  return (workspaceTier ?? routeTier) * TIER_RANGE + routeTier;
}

/** Swaps the two tiers of an urgency. */
function swapTiers(urgency: number): number {
  const second = urgency % TIER_RANGE;
  return second * TIER_RANGE + (urgency - second) / TIER_RANGE;
}

function ascending(one: number, other: number): number {
  return one - other;
}

function urgenciesOf(configuration: Configuration): readonly number[] {
  const { routes, workspaces } = configuration;
  const workspaceTiers = workspaces.length === 0
    ? [undefined]
    : [...new Set(workspaces.map(({ tier }) => tier))];
  const anonymous = routes.some((route) => route.anonymous) ? [undefined] : [];
  const urgencies = routes.flatMap((route) =>
    [...workspaceTiers, ...anonymous].map((tier) => urgencyOf(route.tier, tier))
  );
  return [...new Set(urgencies)].sort(ascending);
}

/**
 * Picks one of a route's services by weight.
 *
 * @param point in [0, 1), from a random number generator.
 */
export function pickDestination(
  route: Route,
  point: number,
): string | undefined {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = point * total;
  for (const { service, weight } of route.destinations) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.destinations.at(-1)?.service;
}
