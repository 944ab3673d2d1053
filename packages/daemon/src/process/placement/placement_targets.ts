/**
 * Target number of copies of each model of a service: demand with hysteresis.
 *
 * @module
 */

/** Consecutive rounds of higher demand before the target is raised. */
const ROUNDS_TO_RAISE = 2;
/** Consecutive rounds of lower demand before the target is lowered by one. */
const ROUNDS_TO_LOWER = 6;
/** Planned utilization of the slots of a runner by a copy. */
const PLANNED_UTILIZATION = 0.7;

interface Target {
  copies: number;
  roundsAbove: number;
  roundsBelow: number;
}

/** Demand for and copies of one model in one round. */
export interface ModelDemand {
  readonly model: string;
  /** Requests waiting or being served. */
  readonly requests: number;
  /** Current number of copies. */
  readonly copies: number;
  /** Whether enough daemons responded to trust a low number. */
  readonly hasQuorum: boolean;
}

/**
 * Targets by model. They rise quickly and fall slowly: loading a copy too late
 * causes a class to miss its target, while unloading one too early only costs
 * another load.
 */
export class CopyTargets {
  readonly #targets = new Map<string, Target>();

  /** Applies the demand of one round and returns the target number of copies. */
  update(
    demand: ModelDemand,
    options: { readonly slotsPerRunner: number },
  ): number {
    const perCopy = options.slotsPerRunner * PLANNED_UTILIZATION;
    const desired = Math.max(1, Math.ceil(demand.requests / perCopy));
    const target = this.#targetOf(demand, desired);
    target.roundsAbove = desired > target.copies ? target.roundsAbove + 1 : 0;
    const isBelow = desired < target.copies && demand.hasQuorum;
    target.roundsBelow = isBelow ? target.roundsBelow + 1 : 0;
    if (target.roundsAbove >= ROUNDS_TO_RAISE) {
      target.copies = desired;
      target.roundsAbove = 0;
    }
    if (target.roundsBelow >= ROUNDS_TO_LOWER) {
      target.copies -= 1;
      target.roundsBelow = 0;
    }
    return target.copies;
  }

  /** A new lease holder starts from the current copies, so that none are moved. */
  #targetOf(demand: ModelDemand, wanted: number): Target {
    const existing = this.#targets.get(demand.model);
    if (existing !== undefined) return existing;
    const copies = Math.max(1, demand.copies);
    const created = {
      copies,
      roundsAbove: wanted > copies ? ROUNDS_TO_RAISE : 0,
      roundsBelow: 0,
    };
    this.#targets.set(demand.model, created);
    return created;
  }
}
