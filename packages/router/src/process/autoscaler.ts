/**
 * Autoscaling of runners from the load that the fleet observes.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import { groupBy } from "./group.ts";
import type { Runner } from "./runner.ts";
import type { RunnerLoads } from "./runner_loads.ts";
import { DemandEstimator } from "./demand_estimator.ts";
import type { RunnersNeeded } from "./demand_estimator.ts";
import type { RunnerOrder, ScalingPolicy } from "./runner_order.ts";
import { planRunners } from "./runner_plan.ts";
import type { DomainPlan, DomainState } from "./runner_plan.ts";
import { validateScaling } from "./scaling.ts";
import type { Scaling } from "./scaling.ts";

/**
 * Milliseconds without growth of the list of runners before the first order.
 */
const SETTLED_MS = 3_000;
/**
 * Milliseconds for which a failure domain counts as out of preemptible runners
 * after the platform has reclaimed them there.
 */
const RECLAIMED_DEPLETION_MS = 6_000;
/** The same, in ms, after the platform has responded that none are left. */
const UNAVAILABLE_DEPLETION_MS = 3_000;

/** Properties of a service that determine the number of its runners. */
export interface ScaledService {
  readonly name: string;
  /** Absent for a plain service. */
  readonly engine: object | undefined;
  /** Absent where daemons do not scale the service. */
  readonly scaling?: Scaling | undefined;
}

/** Inputs of an autoscaler. */
export interface AutoscalerSources {
  readonly loads: RunnerLoads;
  readonly log: EventLog;
  /** All listed runners. */
  runners(): readonly Runner[];
  services(): readonly ScaledService[];
}

type ScalableService = ScaledService & { readonly scaling: Scaling };

/** State kept per service. */
interface ServiceState {
  readonly estimator: DemandEstimator;
  /** The last logged plan. */
  logged: string;
}

/** Decides how many runners of each service to order. */
export class Autoscaler implements ScalingPolicy {
  readonly #sources: AutoscalerSources;
  readonly #states = new Map<string, ServiceState>();
  /**
   * End, in monotonic ms, of the time a pool counts as out of preemptible
   * runners.
   */
  readonly #depletedUntil = new Map<string, number>();
  /** Largest number of listed runners, by service, and when it was reached. */
  readonly #peakListed = new Map<string, { count: number; since: number }>();
  readonly #invalid = new Set<string>();

  constructor(sources: AutoscalerSources) {
    this.#sources = sources;
  }

  desiredOrders(
    orders: readonly RunnerOrder[],
    now: number,
  ): readonly RunnerOrder[] {
    const byService = groupBy(
      this.#sources.runners(),
      ({ service }) => service,
    );
    const ordersByService = groupBy(orders, ({ service }) => service);
    return this.#sources.services().flatMap((service) => {
      const { name, scaling } = service;
      if (scaling === undefined || !this.#isValid(name, scaling)) return [];
      return this.#ordersOf({ ...service, scaling }, {
        runners: byService.get(name) ?? [],
        orders: ordersByService.get(name) ?? [],
        now,
      });
    });
  }

  recordDepleted(
    { service, failureDomain }: RunnerOrder,
    now: number,
  ): void {
    this.#depletedUntil.set(
      poolKey(service, failureDomain),
      now + UNAVAILABLE_DEPLETION_MS,
    );
  }

  #ordersOf(
    service: ScalableService,
    inputs: {
      readonly runners: readonly Runner[];
      readonly orders: readonly RunnerOrder[];
      readonly now: number;
    },
  ): readonly RunnerOrder[] {
    const { runners, orders, now } = inputs;
    const { name, scaling } = service;
    const started = orders.length > 0 || this.#isSettled(name, runners, now);
    if (!started) return [];
    this.#markReclaimed(runners, now);
    const domains = this.#domains(service, inputs);
    // Another writer may have stored more than there can be.
    const possible = orders.map((order) => ({
      ...order,
      runners: Math.min(order.runners, scaling.most),
    }));
    const state = this.#stateOf(name, domains, possible);
    const ready = runners.filter(({ draining }) => !draining);
    const busy = this.#busy(service, ready);
    state.estimator.observe(busy, now);
    const needed = state.estimator.estimate(now);
    const plan = planRunners(needed, scaling, domains);
    this.#logPlan(name, state, { needed, busy, ready: ready.length, plan });
    return plan.flatMap((domain) => toOrders(name, domain));
  }

  /**
   * Whether the list of a service's runners has stopped growing and is presumed
   * complete: when all runners start, they are added one by one.
   */
  #isSettled(
    service: string,
    { length: count }: readonly Runner[],
    now: number,
  ): boolean {
    const before = this.#peakListed.get(service);
    if (count === 0) return false;
    if (before === undefined || count > before.count) {
      this.#peakListed.set(service, { count, since: now });
      return false;
    }
    return now - before.since >= SETTLED_MS;
  }

  /**
   * Marks failure domains as depleted in which all preemptible runners drain.
   * Where only some drain, they are being replaced or were scaled down.
   */
  #markReclaimed(runners: readonly Runner[], now: number): void {
    const preemptible = runners.filter((runner) => runner.preemptible);
    const byDomain = groupBy(preemptible, (runner) => runner.failureDomain);
    for (const [failureDomain, inDomain] of byDomain) {
      if (!inDomain.every(({ draining }) => draining)) continue;
      const pool = poolKey(inDomain[0]!.service, failureDomain);
      this.#depletedUntil.set(pool, now + RECLAIMED_DEPLETION_MS);
    }
  }

  #domains(
    { name: service, scaling }: ScalableService,
    { runners, orders, now }: {
      readonly runners: readonly Runner[];
      readonly orders: readonly RunnerOrder[];
      readonly now: number;
    },
  ): readonly DomainState[] {
    const names = new Set(
      [...runners, ...orders].map(({ failureDomain }) => failureDomain),
    );
    return [...names].sort().map((name) => {
      const ready = runners.filter((runner) =>
        runner.failureDomain === name && !runner.draining
      );
      const preemptible = ready.filter((runner) => runner.preemptible).length;
      const depletedUntil = this.#depletedUntil.get(poolKey(service, name)) ??
        -Infinity;
      return {
        name,
        price: scaling.prices[name] ?? 1,
        preemptible,
        regular: ready.length - preemptible,
        depleted: now < depletedUntil,
      };
    });
  }

  #stateOf(
    service: string,
    domains: readonly DomainState[],
    orders: readonly RunnerOrder[],
  ): ServiceState {
    const known = this.#states.get(service);
    if (known !== undefined) return known;
    const serving = domains
      .reduce((sum, domain) => sum + domain.preemptible + domain.regular, 0);
    const estimator = new DemandEstimator(
      neededByPreviousLeader(orders, domains) ?? serving,
    );
    const state = { estimator, logged: "" };
    this.#states.set(service, state);
    return state;
  }

  /** Returns the current load, in units of fully busy runners. */
  #busy({ engine }: ScaledService, ready: readonly Runner[]): number {
    return ready.reduce((sum, { id, slots }) => {
      const { inFlight, unreadTokens } = this.#sources.loads.of(id).total;
      const prefilling = engine !== undefined && unreadTokens > 0;
      return sum + (prefilling ? 1 : Math.min(1, inFlight / slots));
    }, 0);
  }

  #isValid(service: string, scaling: Scaling): boolean {
    const finding = validateScaling(scaling);
    if (finding === undefined) {
      this.#invalid.delete(service);
      return true;
    }
    if (!this.#invalid.has(service)) {
      this.#invalid.add(service);
      const place = `${service}.${finding.place}`;
      this.#sources.log.event("scaling_invalid", { place, text: finding.text });
    }
    return false;
  }

  #logPlan(service: string, state: ServiceState, details: {
    readonly needed: RunnersNeeded;
    readonly busy: number;
    readonly ready: number;
    readonly plan: readonly DomainPlan[];
  }): void {
    const plan = details.plan
      .map((domain) => `${domain.name}:${domain.preemptible}+${domain.regular}`)
      .join(",");
    if (plan === state.logged) return;
    state.logged = plan;
    this.#sources.log.event("runners_planned", {
      service,
      needed_now: details.needed.now,
      needed_most: details.needed.peak,
      busy: Math.round(10 * details.busy) / 10,
      ready: details.ready,
      preemptible_and_regular: plan,
    });
  }
}

/**
 * Returns the number of runners needed according to the previous leader's orders;
 * undefined without orders.
 */
function neededByPreviousLeader(
  orders: readonly RunnerOrder[],
  domains: readonly DomainState[],
): number | undefined {
  const ordered = (preemptible: boolean) =>
    orders
      .filter((order) => order.preemptible === preemptible)
      .reduce((sum, { runners }) => sum + runners, 0);
  if (orders.length === 0) return undefined;
  // Regular runners beside preemptible ones only replace them temporarily.
  if (ordered(true) === 0) return ordered(false);
  const spare = domains.length > 1 ? 1 / domains.length : 0;
  return (1 - spare) * ordered(true);
}

function poolKey(service: string, failureDomain: string): string {
  return `${service} ${failureDomain}`;
}

function toOrders(
  service: string,
  { name: failureDomain, preemptible, regular }: DomainPlan,
): readonly RunnerOrder[] {
  return [
    { service, failureDomain, preemptible: true, runners: preemptible },
    { service, failureDomain, preemptible: false, runners: regular },
  ];
}
