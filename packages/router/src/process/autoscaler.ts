/**
 * Which runners are ordered for the load that the fleet sees.
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

/** Milliseconds for which the list of runners must not have grown at first. */
const SETTLED_MS = 3_000;
/**
 * Milliseconds for which a failure domain has no preemptible runners to give after
 * some of them were taken back there.
 */
const RECLAIMED_MS = 6_000;
/** The same after the platform has said so. */
const NONE_LEFT_MS = 3_000;

/** A service, as far as the number of its runners depends on it. */
export interface ScaledService {
  readonly name: string;
  /** Absent for a plain service. */
  readonly engine: object | undefined;
  /** Absent where the number of runners is not for daemons to decide. */
  readonly scaling?: Scaling | undefined;
}

/** What an autoscaler looks at. */
export interface AutoscalerSources {
  readonly loads: RunnerLoads;
  readonly log: EventLog;
  /** All runners that are listed. */
  runners(): readonly Runner[];
  services(): readonly ScaledService[];
}

type ScalableService = ScaledService & { readonly scaling: Scaling };

/** What is kept of one service. */
interface ServiceState {
  readonly need: DemandEstimator;
  /** The last plan, as it was logged. */
  logged: string;
}

/** Decides how many runners each service has. */
export class Autoscaler implements ScalingPolicy {
  readonly #sources: AutoscalerSources;
  readonly #states = new Map<string, ServiceState>();
  /** Until when, in steady ms, a place is taken to have no preemptible runners. */
  readonly #depletedUntil = new Map<string, number>();
  /** Most runners that were listed, by service, and since when. */
  readonly #listed = new Map<string, { count: number; since: number }>();
  readonly #unsound = new Set<string>();

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
    return this.#sources.services().flatMap((service) => {
      const { name, scaling } = service;
      if (scaling === undefined || !this.#isSound(name, scaling)) return [];
      return this.#ordersOf({ ...service, scaling }, {
        runners: byService.get(name) ?? [],
        orders: orders.filter((each) => each.service === name),
        now,
      });
    });
  }

  recordNoneLeft({ service, failureDomain }: RunnerOrder, now: number): void {
    this.#depletedUntil.set(
      placeOf(service, failureDomain),
      now + NONE_LEFT_MS,
    );
  }

  #ordersOf(
    service: ScalableService,
    seen: {
      readonly runners: readonly Runner[];
      readonly orders: readonly RunnerOrder[];
      readonly now: number;
    },
  ): readonly RunnerOrder[] {
    const { runners, orders, now } = seen;
    const { name, scaling } = service;
    const begun = orders.length > 0 || this.#isSettled(name, runners, now);
    if (!begun) return [];
    this.#noteReclaims(runners, now);
    const domains = this.#domains(service, seen);
    const state = this.#stateOf(name, domains, orders);
    const ready = runners.filter(({ draining }) => !draining);
    const busy = this.#busy(service, ready);
    state.need.observe(busy, now);
    const needed = state.need.estimate(now);
    const plan = planRunners(needed, scaling, domains);
    this.#logPlan(name, state, { needed, busy, ready: ready.length, plan });
    return plan.flatMap((each) => ordersIn(name, each));
  }

  /** While all start, runners enter one after the other. */
  #isSettled(
    service: string,
    { length: count }: readonly Runner[],
    now: number,
  ): boolean {
    const before = this.#listed.get(service);
    if (count === 0) return false;
    if (before === undefined || count > before.count) {
      this.#listed.set(service, { count, since: now });
      return false;
    }
    return now - before.since >= SETTLED_MS;
  }

  /** Where only some leave they are replaced, or were not wanted any more. */
  #noteReclaims(runners: readonly Runner[], now: number): void {
    const preemptible = runners.filter((each) => each.preemptible);
    const byDomain = groupBy(preemptible, (each) => each.failureDomain);
    for (const [failureDomain, ofDomain] of byDomain) {
      if (!ofDomain.every(({ draining }) => draining)) continue;
      const place = placeOf(ofDomain[0]!.service, failureDomain);
      this.#depletedUntil.set(place, now + RECLAIMED_MS);
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
      const ready = runners.filter((each) =>
        each.failureDomain === name && !each.draining
      );
      const preemptible = ready.filter((each) => each.preemptible).length;
      const depletedUntil = this.#depletedUntil.get(placeOf(service, name)) ??
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
    const standing = domains
      .reduce((sum, each) => sum + each.preemptible + each.regular, 0);
    const need = new DemandEstimator(neededBefore(orders, domains) ?? standing);
    const state = { need, logged: "" };
    this.#states.set(service, state);
    return state;
  }

  /** How many runners' worth of work there is at this moment. */
  #busy({ engine }: ScaledService, ready: readonly Runner[]): number {
    return ready.reduce((sum, { id, slots }) => {
      const { inFlight, unreadTokens } = this.#sources.loads.of(id).total;
      const reads = engine !== undefined && unreadTokens > 0;
      return sum + (reads ? 1 : Math.min(1, inFlight / slots));
    }, 0);
  }

  #isSound(service: string, scaling: Scaling): boolean {
    const finding = validateScaling(scaling);
    if (finding === undefined) {
      this.#unsound.delete(service);
      return true;
    }
    if (!this.#unsound.has(service)) {
      this.#unsound.add(service);
      const place = `${service}.${finding.place}`;
      this.#sources.log.event("scaling_invalid", { place, text: finding.text });
    }
    return false;
  }

  #logPlan(service: string, state: ServiceState, told: {
    readonly needed: RunnersNeeded;
    readonly busy: number;
    readonly ready: number;
    readonly plan: readonly DomainPlan[];
  }): void {
    const plan = told.plan
      .map((each) => `${each.name}:${each.preemptible}+${each.regular}`)
      .join(",");
    if (plan === state.logged) return;
    state.logged = plan;
    this.#sources.log.event("runners_planned", {
      service,
      needed_now: told.needed.now,
      needed_most: told.needed.peak,
      busy: Math.round(10 * told.busy) / 10,
      ready: told.ready,
      preemptible_and_regular: plan,
    });
  }
}

/** Runners that the leader before took to be needed; none if nobody led. */
function neededBefore(
  orders: readonly RunnerOrder[],
  domains: readonly DomainState[],
): number | undefined {
  const ordered = (preemptible: boolean) =>
    orders
      .filter((each) => each.preemptible === preemptible)
      .reduce((sum, { runners }) => sum + runners, 0);
  if (orders.length === 0) return undefined;
  // Beside preemptible ones others stand in for a while only.
  if (ordered(true) === 0) return ordered(false);
  const spare = domains.length > 1 ? 1 / domains.length : 0;
  return (1 - spare) * ordered(true);
}

function placeOf(service: string, failureDomain: string): string {
  return `${service} ${failureDomain}`;
}

function ordersIn(
  service: string,
  { name: failureDomain, preemptible, regular }: DomainPlan,
): readonly RunnerOrder[] {
  return [
    { service, failureDomain, preemptible: true, runners: preemptible },
    { service, failureDomain, preemptible: false, runners: regular },
  ];
}
