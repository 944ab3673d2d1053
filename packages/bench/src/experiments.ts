/**
 * The experiments by name. Each is loaded only when it is asked for, so that
 * one cannot slow or break another.
 *
 * @module
 */
import type { Experiment } from "./experiment.ts";

/** A module that holds an experiment. */
export interface ExperimentModule {
  readonly experiment: Experiment;
}

/** How to load each experiment; one line each, in order of name. */
export const EXPERIMENTS: Readonly<
  Record<string, () => Promise<ExperimentModule>>
> = {
  arrivals: () => import("./arrivals_experiment.ts"),
  claims: () => import("./claims.ts"),
  edit: () => import("./edit.ts"),
  faults: () => import("./faults.ts"),
  membership: () => import("./membership_experiment.ts"),
  overhead: () => import("./overhead.ts"),
  surge: () => import("./surge.ts"),
};
