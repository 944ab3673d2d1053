/**
 * One version of the configuration, indexed for requests.
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

/** Routes of one host, by their prefixes. */
interface HostRoutes {
  readonly byPrefix: ReadonlyMap<string, Route>;
  /** Lengths of the prefixes, longest first. */
  readonly lengths: readonly number[];
}

function indexRoutes(
  routes: readonly Route[],
): ReadonlyMap<string, HostRoutes> {
  const byHost = groupBy(routes, ({ host }) => host.toLowerCase());
  const indexed = new Map<string, HostRoutes>();
  for (const [host, own] of byHost) {
    const byPrefix = new Map(own.map((route) => [route.pathPrefix, route]));
    const lengths = [...new Set(own.map((route) => route.pathPrefix.length))];
    lengths.sort((one, other) => other - one);
    indexed.set(host, { byPrefix, lengths });
  }
  return indexed;
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

function withoutQuery(target: string): string {
  const query = target.indexOf("?");
  return query === -1 ? target : target.slice(0, query);
}

/**
 * Finds the route and the workspace of a request. A look-up costs one probe of
 * a map for each distinct length of prefix, however many routes there are.
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
  /** Pairs of tiers in use, each once, the most urgent first. */
  readonly #urgencies: readonly number[];
  /** The same pairs with the route's tier first. */
  readonly #preemptions: readonly number[];

  constructor(configuration: Configuration) {
    this.version = configuration.version;
    this.limits = configuration.limits;
    this.#hosts = indexRoutes(configuration.routes);
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
    this.#urgencies = urgenciesOf(configuration);
    this.#preemptions = this.#urgencies.map(swapped).sort(ascending);
    this.#workspaces = new Map(
      configuration.workspaces.flatMap((workspace) =>
        workspace.keys.map((key) => [key, workspace] as const)
      ),
    );
  }

  /** Whether requests need the key of a workspace at all. */
  get hasWorkspaces(): boolean {
    return this.#workspaces.size > 0;
  }

  /** The route with the longest prefix of `target`, a path with its query. */
  route(host: string, target: string): Route | undefined {
    const routes = this.#hosts.get(withoutPort(host));
    if (routes === undefined) return undefined;
    const path = withoutQuery(target);
    for (const length of routes.lengths) {
      if (length > path.length) continue;
      const found = routes.byPrefix.get(path.slice(0, length));
      if (found !== undefined) return found;
    }
    return undefined;
  }

  /** The workspace that holds a key. */
  workspace(key: string): Workspace | undefined {
    return this.#workspaces.get(key);
  }

  /** A service by its name. */
  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /**
   * The rank of a request among all kinds that may come, 0 being the most
   * urgent. A workspace's tier goes before its routes' tiers; among requests of
   * workspaces of one tier, the routes' tiers decide.
   */
  rank(route: Route, workspace: Workspace | undefined): number {
    const urgency = urgencyOf(route.tier, workspace?.tier);
    return this.#urgencies.filter((each) => each < urgency).length;
  }

  /**
   * The rank by which an engine chooses whom it preempts, 0 being the most
   * urgent. Here the route's tier goes before the workspace's: what an engine has
   * begun of an urgent class is never put out for another workspace's long prompt.
   */
  preemptionRank(route: Route, workspace: Workspace | undefined): number {
    const urgency = urgencyOf(workspace?.tier ?? route.tier, route.tier);
    return this.#preemptions.filter((each) => each < urgency).length;
  }

  /** How many kinds of requests are less urgent than a rank. */
  ranksBelow(rank: number): number {
    return this.#urgencies.length - 1 - rank;
  }
}

/** More than any tier of a route. */
const TIER_RANGE = 1_000;

function urgencyOf(routeTier: number, workspaceTier?: number): number {
  return (workspaceTier ?? routeTier) * TIER_RANGE + routeTier;
}

/** The same pair of tiers with the other one first. */
function swapped(urgency: number): number {
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
export function destinationAt(route: Route, point: number): string | undefined {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let left = point * total;
  for (const { service, weight } of route.destinations) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.destinations.at(-1)?.service;
}
