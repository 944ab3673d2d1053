/**
 * Multiplies measured slopes by what a daemon sees.
 *
 * @module
 */
import type { Amounts, Carrier, Load } from "./capacity_load.ts";
import { PLAN } from "./capacity_plan.ts";

import type { Fit, Quantity, SlopesResult } from "./slopes_result.ts";

/** What loads cost a daemon, a second or held. */
export type Cost = Readonly<Record<Quantity, number>>;

/** A load's cost with the amounts of today's code, or with those to come. */
export interface Priced {
  /** On each daemon that bears it. */
  readonly borne: Cost;
  /** Spread over all daemons. */
  readonly mean: Cost;
  /** On the daemon that has most of it. */
  readonly most: Cost;
}

/** A load with its costs; `undefined` where its slope was not measured. */
export interface Line {
  readonly carrier: string;
  readonly load: Load;
  readonly today: Priced | undefined;
  /** Once the changes that the page names are made. */
  readonly later: Priced | undefined;
}

/** Costs of all loads together. */
export type Sum = Pick<Priced, "mean" | "most">;

/** What a daemon spends in all its roles together. */
export interface Total {
  readonly today: Sum;
  readonly later: Sum;
  /** Loads that were not measured and so are missing from the sums. */
  readonly missing: readonly Load[];
}

const NOTHING: Cost = {
  cpuMicros: 0,
  bytes: 0,
  messages: 0,
  stateBytes: 0,
  storeCalls: 0,
};

function each(value: (quantity: Quantity) => number): Cost {
  return {
    cpuMicros: value("cpuMicros"),
    bytes: value("bytes"),
    messages: value("messages"),
    stateBytes: value("stateBytes"),
    storeCalls: value("storeCalls"),
  };
}

/** What the measured process spends without the role. */
function without(fit: Fit, load: Load, quantity: Quantity): number {
  // A member cannot be measured without a view; the line's start stands for it.
  if (load.role === "member") return fit.lines[quantity].intercept;
  return fit.idle[quantity];
}

/**
 * Cost of `amount` units, by the line, less what the process spends without the
 * role. What an idle process spends is a load of its own.
 */
function costOf(fit: Fit, load: Load, amount: number): Cost {
  if (amount <= 0) return NOTHING;
  return each((quantity) => {
    if (load.kind === "idle") return fit.idle[quantity];
    if (load.kind === "held" && quantity !== "stateBytes") return 0;
    const { slope, intercept } = fit.lines[quantity];
    const spent = intercept + slope * amount;
    return Math.max(0, spent - without(fit, load, quantity));
  });
}

function priced(fit: Fit, load: Load, amounts: Amounts): Priced {
  const share = amounts.bearers / PLAN.daemons;
  const borne = costOf(fit, load, amounts.amount);
  return {
    borne,
    mean: each((quantity) => borne[quantity] * share),
    most: costOf(fit, load, amounts.most),
  };
}

/** The cost of each load of each role. */
export function costs(
  carriers: readonly Carrier[],
  result: SlopesResult,
): readonly Line[] {
  return carriers.flatMap((carrier) =>
    carrier.loads.map((load) => {
      const fit = result.fits[load.role];
      return {
        carrier: carrier.name,
        load,
        today: fit && priced(fit, load, load.today),
        later: fit && priced(fit, load, load.later ?? load.today),
      };
    })
  );
}

function add(a: Cost, b: Cost): Cost {
  return each((quantity) => a[quantity] + b[quantity]);
}

function sum(all: readonly (Priced | undefined)[]): Sum {
  const known = all.filter((one) => one !== undefined);
  return {
    mean: known.reduce((total, { mean }) => add(total, mean), NOTHING),
    most: known.reduce((total, { most }) => add(total, most), NOTHING),
  };
}

/** Sums the loads that are control. */
export function total(lines: readonly Line[]): Total {
  const control = lines.filter((line) => line.load.control);
  return {
    today: sum(control.map((line) => line.today)),
    later: sum(control.map((line) => line.later)),
    missing: control
      .filter((line) => line.today === undefined)
      .map((line) => line.load),
  };
}
