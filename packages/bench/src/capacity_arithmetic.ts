/**
 * Multiplies measured slopes by what a daemon sees.
 *
 * @module
 */
import type { Carrier, Load } from "./capacity_roles.ts";
import type { Fit, SlopesResult } from "./slopes_result.ts";

/** What a load costs a daemon; `undefined` where it was not measured. */
export interface Cost {
  readonly cpuMicros: number;
  readonly bytes: number;
  readonly messages: number;
  readonly stateBytes: number;
  readonly storeCalls: number;
}

/** A load with its cost. */
export interface Line {
  readonly carrier: string;
  readonly load: Load;
  readonly mean: Cost | undefined;
  readonly most: Cost | undefined;
}

/** What a daemon spends in all its roles together. */
export interface Total {
  readonly mean: Cost;
  readonly most: Cost;
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

/**
 * Cost of `amount` units. The intercept is that of an idle process, which
 * every rig has; it is counted once, with the members.
 */
function costOf(fit: Fit, load: Load, amount: number): Cost {
  const base = load.role === "member" ? 1 : 0;
  const at = (line: { slope: number; intercept: number }) =>
    Math.max(0, line.slope * amount + base * line.intercept);
  const state = at(fit.lines.stateBytes);
  if (load.held) return { ...NOTHING, stateBytes: state };
  return {
    cpuMicros: at(fit.lines.cpuMicros),
    bytes: at(fit.lines.bytes),
    messages: at(fit.lines.messages),
    stateBytes: state,
    storeCalls: at(fit.lines.storeCalls),
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
        mean: fit && costOf(fit, load, load.mean),
        most: fit && costOf(fit, load, load.most),
      };
    })
  );
}

function add(a: Cost, b: Cost): Cost {
  return {
    cpuMicros: a.cpuMicros + b.cpuMicros,
    bytes: a.bytes + b.bytes,
    messages: a.messages + b.messages,
    stateBytes: a.stateBytes + b.stateBytes,
    storeCalls: a.storeCalls + b.storeCalls,
  };
}

/** Sums the loads that are control. */
export function total(lines: readonly Line[]): Total {
  const control = lines.filter((line) => line.load.control);
  return {
    mean: control.reduce((sum, line) => add(sum, line.mean ?? NOTHING), {
      ...NOTHING,
    }),
    most: control.reduce((sum, line) => add(sum, line.most ?? NOTHING), {
      ...NOTHING,
    }),
    missing: control
      .filter((line) => line.mean === undefined)
      .map((line) => line.load),
  };
}
