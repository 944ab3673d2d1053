/**
 * How many runners of each kind are ordered, and where.
 *
 * @module
 */

import type { RunnersNeeded } from "./runner_need.ts";
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
  readonly dry: boolean;
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
  const each = preemptibleEach(needed.most, bounds, domains);
  const serving = sum(domains, (one) => one.preemptible + one.regular);
  const spare = Math.max(0, serving - needed.most);
  const preemptible = planPreemptible(each, bounds, domains, {
    swapped: Math.floor(spare / Math.max(1, domains.length)),
  });
  const regular = planRegular(needed, { each, preemptible }, bounds, domains);
  return domains.map(({ name }) => ({
    name,
    preemptible: preemptible.get(name) ?? 0,
    regular: regular.get(name) ?? 0,
  }));
}

/** Preemptible runners that each failure domain should have. */
function preemptibleEach(
  needed: number,
  { most, preemptiblePrice }: ScalingBounds,
  domains: readonly DomainState[],
): number {
  if (preemptiblePrice === undefined || preemptiblePrice >= 1) return 0;
  const wet = domains.filter(({ dry }) => !dry).length;
  // While one domain is lost already, no second loss is planned for.
  const sharing = wet < domains.length ? wet : wet - 1;
  return Math.min(most, Math.ceil(needed / Math.max(1, sharing)));
}

/**
 * Preemptible runners by failure domain, as far as they may be ordered now.
 *
 * @param options how many regular ones a domain can spare while others start.
 */
function planPreemptible(
  each: number,
  { most }: ScalingBounds,
  domains: readonly DomainState[],
  options: { readonly swapped: number },
): ReadonlyMap<string, number> {
  return new Map(domains.map(({ name, dry, preemptible, regular }) => {
    const kept = Math.max(0, regular - options.swapped);
    const room = Math.max(0, most - kept);
    return [name, Math.min(dry ? preemptible : each, room)];
  }));
}

/** Regular runners for what preemptible ones do not make up for. */
function planRegular(
  needed: RunnersNeeded,
  planned: {
    readonly each: number;
    readonly preemptible: ReadonlyMap<string, number>;
  },
  { least, most }: ScalingBounds,
  domains: readonly DomainState[],
): ReadonlyMap<string, number> {
  const cheapFirst = [...domains].sort((one, other) =>
    one.price - other.price || (one.name < other.name ? -1 : 1)
  );
  const ordered = (name: string) => planned.preemptible.get(name) ?? 0;
  const plan = new Map<string, number>();
  const give = (name: string, runners: number): number => {
    const before = plan.get(name) ?? 0;
    const given = Math.max(
      0,
      Math.min(runners, most - ordered(name) - before),
    );
    plan.set(name, before + given);
    return given;
  };
  const serving = sum(domains, (each) => each.preemptible);
  const dry = domains.some((each) => each.dry);
  const steady = planned.each === 0
    ? needed.most
    : planned.each * domains.length;
  let missing = (dry ? Math.min(needed.now, steady) : steady) - serving;
  for (const { name } of cheapFirst) {
    missing -= give(name, least - ordered(name));
  }
  for (const { name, regular } of cheapFirst) {
    missing -= give(name, Math.min(regular - plan.get(name)!, missing));
  }
  if (!dry && planned.each > 0) return plan;
  for (const { name } of cheapFirst) missing -= give(name, missing);
  return plan;
}

function sum<T>(items: readonly T[], of: (item: T) => number): number {
  return items.reduce((total, each) => total + of(each), 0);
}
