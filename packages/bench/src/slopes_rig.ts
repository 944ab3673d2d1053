/**
 * What measures one role.
 *
 * @module
 */
import type { Fit, Role } from "./slopes_result.ts";
import { fitSamples, type Sample } from "./slopes_result.ts";

/** How long and at which loads a rig measures. */
export interface RigOptions {
  /** Stands with each figure. */
  readonly command: string;
  readonly date: string;
  /** Seconds that each load is watched. */
  readonly seconds: number;
}

/** Measures a role, or several at once. */
export interface Rig {
  readonly name: string;
  readonly roles: readonly Role[];
  run(options: RigOptions): Promise<readonly Measured[]>;
}

/** A role's fit; `rssBytes` is the resident memory at the largest load. */
export interface Measured {
  readonly role: Role;
  readonly fit: Fit;
  readonly rssBytes?: number;
}

/** Fits the samples of a role; see {@linkcode fitSamples}. */
export function measured(
  role: Role,
  samples: readonly Sample[],
  options: {
    readonly per: string;
    readonly how: string;
    readonly run: RigOptions;
    readonly withoutIdle?: boolean;
  },
): Measured {
  const { run, ...rest } = options;
  const { command, date } = run;
  return { role, fit: fitSamples(samples, { ...rest, command, date }) };
}
