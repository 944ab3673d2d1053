/**
 * Planning of preemptible and regular runners per failure domain.
 *
 * @module
 */

import type { RunnersNeeded } from "./demand_estimator.ts";
import type { Scaling } from "./scaling.ts";

/** Bounds and prices configured by an operator. */
export type ScalingBounds = Pick<
  Scaling,
  "least" | "most" | "preemptiblePrice"
>;

/** Runners of a service in one failure domain, and their price. */
export interface DomainState {
  readonly name: string;
  /** Price of its runners relative to other failure domains. */
  readonly price: number;
  /** Preemptible runners in service. */
  readonly preemptible: number;
  /** Regular runners in service. */
  readonly regular: number;
  /**
   * Whether preemptible runners are being reclaimed there or are unavailable.
   */
  readonly depleted: boolean;
}

/** Planned numbers of runners in one failure domain. */
export interface DomainPlan {
  readonly name: string;
  readonly preemptible: number;
  readonly regular: number;
}

/**
 * Plans the cheapest set of runners that suffices even after the platform has
 * reclaimed all preemptible runners of one failure domain: each domain gets so
 * many preemptible runners that those of the other domains are enough. Where
 * none are available, the other domains get more, and regular runners cover
 * what is missing at the moment. Regular runners are removed only once others
 * serve in their place.
 *
 * @example
 * ```ts
 * const needed = { now: 8, peak: 20 };
 * planRunners(needed, bounds, domains); // 10 preemptible in each of 3 domains
 * ```
 */
export function planRunners(
  needed: RunnersNeeded,
  bounds: ScalingBounds,
  domains: readonly DomainState[],
): readonly DomainPlan[] {
  const perDomain = preemptiblePerDomain(needed.peak, bounds, domains);
  const serving = sum(domains, (domain) => domain.preemptible + domain.regular);
  const spare = Math.max(0, serving - needed.peak);
  const preemptible = planPreemptible(perDomain, bounds, domains, {
    replaceable: Math.floor(spare / Math.max(1, domains.length)),
  });
  const target = regularWanted(needed, perDomain, domains);
  const regular = planRegular(target, bounds, domains, preemptible);
  return domains.map(({ name }) => ({
    name,
    preemptible: preemptible.get(name) ?? 0,
    regular: regular.get(name) ?? 0,
  }));
}

/** Target number of preemptible runners in each failure domain. */
function preemptiblePerDomain(
  needed: number,
  { most, preemptiblePrice }: ScalingBounds,
  domains: readonly DomainState[],
): number {
  if (preemptiblePrice === undefined || preemptiblePrice >= 1) return 0;
  const available = domains.filter(({ depleted }) => !depleted).length;
  // While one domain is already depleted, no second loss is planned for.
  const sharing = available < domains.length ? available : available - 1;
  return Math.min(most, Math.ceil(needed / Math.max(1, sharing)));
}

/**
 * Preemptible runners to order now, by failure domain.
 *
 * @param options how many regular runners a domain can give up while
 * preemptible ones start.
 */
function planPreemptible(
  perDomain: number,
  { most }: ScalingBounds,
  domains: readonly DomainState[],
  options: { readonly replaceable: number },
): ReadonlyMap<string, number> {
  return new Map(domains.map(({ name, depleted, preemptible, regular }) => {
    const kept = Math.max(0, regular - options.replaceable);
    const room = Math.max(0, most - kept);
    return [name, Math.min(depleted ? preemptible : perDomain, room)];
  }));
}

/** Total of regular runners wanted, and whether new ones may be ordered. */
interface RegularWanted {
  readonly runners: number;
  /** Whether to order new ones; otherwise only existing ones are kept. */
  readonly grow: boolean;
}

function regularWanted(
  needed: RunnersNeeded,
  perDomain: number,
  domains: readonly DomainState[],
): RegularWanted {
  const serving = sum(domains, (domain) => domain.preemptible);
  const depleted = domains.some((domain) => domain.depleted);
  // Without preemptible runners, regular ones cover the whole need.
  if (perDomain === 0) return { runners: needed.peak - serving, grow: true };
  const total = perDomain * domains.length;
  if (!depleted) return { runners: total - serving, grow: false };
  return { runners: Math.min(needed.now, total) - serving, grow: true };
}

/**
 * Regular runners by failure domain: existing ones first, then the cheapest.
 */
function planRegular(
  target: RegularWanted,
  { least, most }: ScalingBounds,
  domains: readonly DomainState[],
  preemptible: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const cheapFirst = [...domains].sort((one, other) =>
    one.price - other.price || (one.name < other.name ? -1 : 1)
  );
  const plan = new Map<string, number>();
  let missing = target.runners;
  const add = (name: string, runners: number) => {
    const before = plan.get(name) ?? 0;
    const room = most - (preemptible.get(name) ?? 0) - before;
    const added = Math.max(0, Math.min(runners, room));
    plan.set(name, before + added);
    missing -= added;
  };
  for (const { name } of cheapFirst) {
    add(name, least - (preemptible.get(name) ?? 0));
  }
  for (const { name, regular } of cheapFirst) {
    add(name, Math.min(regular - plan.get(name)!, missing));
  }
  if (!target.grow) return plan;
  for (const { name } of cheapFirst) add(name, missing);
  return plan;
}

function sum<T>(items: readonly T[], of: (item: T) => number): number {
  return items.reduce((total, item) => total + of(item), 0);
}
