/**
 * Scaling configuration of a service.
 *
 * @module
 */

/** Bounds on the number of a service's runners, and their prices. */
export interface Scaling {
  /**
   * Minimum and maximum of runners in each failure domain, both kinds together.
   */
  readonly least: number;
  readonly most: number;
  /** Milliseconds from an order until its runners are in service. */
  readonly startMs: number;
  /** Price of a preemptible runner, as a fraction of that of a regular one. */
  readonly preemptiblePrice: number | undefined;
  /** Relative price of a runner, by failure domain. */
  readonly prices: Readonly<Record<string, number>>;
}

/** An invalid value in a scaling configuration. */
export interface ScalingFinding {
  /** Path of the value, as in `scaling.prices.north`. */
  readonly place: string;
  readonly text: string;
}

/** Returns the first invalid value, if any. */
export function validateScaling(scaling: Scaling): ScalingFinding | undefined {
  const { least, most, startMs, prices, preemptiblePrice } = scaling;
  const counts = Number.isInteger(least) && Number.isInteger(most);
  if (!counts || least < 0 || most < least) {
    const text =
      `Needs integers with 0 <= least <= most, got "${least}" and "${most}"`;
    return { place: "scaling", text };
  }
  if (!(startMs >= 0)) {
    return {
      place: "scaling.startMs",
      text: `Needs a duration in ms, got "${startMs}"`,
    };
  }
  const all = [
    ["preemptiblePrice", preemptiblePrice ?? 0] as const,
    ...Object.entries(prices).map(([name, price]) =>
      [`prices.${name}`, price] as const
    ),
  ];
  const wrong = all.find(([, price]) => !(price >= 0));
  if (wrong === undefined) return undefined;
  const [name, price] = wrong;
  return {
    place: `scaling.${name}`,
    text: `Needs a price of 0 or more, got "${price}"`,
  };
}
