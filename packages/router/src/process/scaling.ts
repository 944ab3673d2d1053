/**
 * What operators say about the number of a service's runners.
 *
 * @module
 */

/** How many runners of a service may be ordered, and what they cost. */
export interface Scaling {
  /** Fewest and most runners in each failure domain, of both kinds together. */
  readonly least: number;
  readonly most: number;
  /** Milliseconds from an order until its runners serve. */
  readonly startMs: number;
  /** Price of a preemptible runner, as a part of that of another one. */
  readonly preemptiblePrice: number | undefined;
  /** Price of a runner by failure domain, against each other. */
  readonly prices: Readonly<Record<string, number>>;
}

/** Something in it that cannot be. */
export interface ScalingFinding {
  /** Where, as in `scaling.prices.north`. */
  readonly place: string;
  readonly text: string;
}

/** What is wrong with it, if anything is. */
export function validateScaling(scaling: Scaling): ScalingFinding | undefined {
  const { least, most, startMs, prices, preemptiblePrice } = scaling;
  const counts = Number.isInteger(least) && Number.isInteger(most);
  if (!counts || least < 0 || most < least) {
    const text = `Needs whole numbers, "${least}" no more than "${most}"`;
    return { place: "scaling", text };
  }
  if (!(startMs >= 0)) {
    return { place: "scaling.startMs", text: `Needs a time, not "${startMs}"` };
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
  return { place: `scaling.${name}`, text: `Needs a price, not "${price}"` };
}
