/**
 * How many runners of each kind are ordered, and where.
 *
 * @module
 */

import type { RunnersNeeded } from "./demand_estimator.ts";
import type { Scaling } from "./scaling.ts";

/** What an operator allows. */
export type ScalingBounds = Pick<
  Scaling,
  "least" | "most" | "preemptiblePrice"
>;

/** A failure domain with runners of a service. */
export interface DomainState {
  readonly name: string;
  /** Price of its runners against that of others. */
  readonly price: number;
  /** Preemptible runners that serve. */
  readonly preemptible: number;
  /** Others that serve. */
  readonly regular: number;
  /** Whether preemptible runners leave there, or are not to be had. */
  readonly depleted: boolean;
}

/** Numbers for one failure domain. */
export interface DomainPlan {
  readonly name: string;
  readonly preemptible: number;
  readonly regular: number;
}

/**
 * Plans so that what is needed is there also after the platform has taken back
 * all preemptible runners of one failure domain, at the least price: preemptible
 * ones in all domains, so many that those of the others suffice. Where there are
 * none to be had, the other domains get more, and what is missing at the moment
 * comes as regular runners. Regular ones go only as others serve in their place.
 *
 * @example
 * ```ts
 * const needed = { now: 8, most: 20 };
 * planRunners(needed, bounds, domains); // 10 preemptible in each of three domains
 * ```
 */
export function planRunners(
  needed: RunnersNeeded,
  bounds: ScalingBounds,
  domains: readonly DomainState[],
): readonly DomainPlan[] {
  const perDomain = preemptiblePerDomain(needed.peak, bounds, domains);
  const serving = sum(domains, (each) => each.preemptible + each.regular);
  const spare = Math.max(0, serving - needed.peak);
  const preemptible = planPreemptible(perDomain, bounds, domains, {
    replaceable: Math.floor(spare / Math.max(1, domains.length)),
  });
  const wanted = regularWanted(needed, perDomain, domains);
  const regular = planRegular(wanted, bounds, domains, preemptible);
  return domains.map(({ name }) => ({
    name,
    preemptible: preemptible.get(name) ?? 0,
    regular: regular.get(name) ?? 0,
  }));
}

/** Preemptible runners that each failure domain should have. */
function preemptiblePerDomain(
  needed: number,
  { most, preemptiblePrice }: ScalingBounds,
  domains: readonly DomainState[],
): number {
  if (preemptiblePrice === undefined || preemptiblePrice >= 1) return 0;
  const available = domains.filter(({ depleted }) => !depleted).length;
  // While one domain is lost already, no second loss is planned for.
  const sharing = available < domains.length ? available : available - 1;
  return Math.min(most, Math.ceil(needed / Math.max(1, sharing)));
}

/**
 * Preemptible runners by failure domain, as far as they may be ordered now.
 *
 * @param options how many regular ones a domain can do without while others
 * start.
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

/** Regular runners that are wanted in all, and whether more may come. */
interface RegularWanted {
  readonly runners: number;
  /** Otherwise only some of those that there are stay. */
  readonly more: boolean;
}

function regularWanted(
  needed: RunnersNeeded,
  perDomain: number,
  domains: readonly DomainState[],
): RegularWanted {
  const serving = sum(domains, (each) => each.preemptible);
  const depleted = domains.some((each) => each.depleted);
  // Without preemptible ones, regular runners are all that there is.
  if (perDomain === 0) return { runners: needed.peak - serving, more: true };
  const total = perDomain * domains.length;
  if (!depleted) return { runners: total - serving, more: false };
  return { runners: Math.min(needed.now, total) - serving, more: true };
}

/** Regular runners by failure domain: those that are there first, then cheap ones. */
function planRegular(
  wanted: RegularWanted,
  { least, most }: ScalingBounds,
  domains: readonly DomainState[],
  preemptible: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const cheapFirst = [...domains].sort((one, other) =>
    one.price - other.price || (one.name < other.name ? -1 : 1)
  );
  const plan = new Map<string, number>();
  let missing = wanted.runners;
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
  if (!wanted.more) return plan;
  for (const { name } of cheapFirst) add(name, missing);
  return plan;
}

function sum<T>(items: readonly T[], of: (item: T) => number): number {
  return items.reduce((total, each) => total + of(each), 0);
}
