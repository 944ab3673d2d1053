/**
 * How many copies of each model a service should have: demand with hysteresis.
 *
 * @module
 */

/** Rounds in a row in which more copies are wanted before there are more. */
const RAISE_ROUNDS = 2;
/** Rounds in a row in which fewer are wanted before there is one fewer. */
const LOWER_ROUNDS = 6;
/** Share of a runner's slots that a copy is planned to fill. */
const PLANNED_UTILIZATION = 0.7;

interface Target {
  copies: number;
  roundsAbove: number;
  roundsBelow: number;
}

/** What a round knows of one model. */
export interface ModelDemand {
  readonly model: string;
  /** Requests waiting or being served. */
  readonly requests: number;
  /** Copies there are now. */
  readonly copies: number;
  /** Whether enough of the daemons were heard to believe a low figure. */
  readonly hasQuorum: boolean;
}

/**
 * Targets by model. They rise fast and fall slowly: a copy that is loaded too
 * late costs a class its target, one that is unloaded too early costs a load.
 */
export class CopyTargets {
  readonly #targets = new Map<string, Target>();

  /** Takes one round's demand in and gives the copies wanted. */
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
    if (target.roundsAbove >= RAISE_ROUNDS) {
      target.copies = desired;
      target.roundsAbove = 0;
    }
    if (target.roundsBelow >= LOWER_ROUNDS) {
      target.copies -= 1;
      target.roundsBelow = 0;
    }
    return target.copies;
  }

  /** A new holder starts from what is there, so that taking over moves nothing. */
  #targetOf(demand: ModelDemand, wanted: number): Target {
    const existing = this.#targets.get(demand.model);
    if (existing !== undefined) return existing;
    const copies = Math.max(1, demand.copies);
    const created = {
      copies,
      roundsAbove: wanted > copies ? RAISE_ROUNDS : 0,
      roundsBelow: 0,
    };
    this.#targets.set(demand.model, created);
    return created;
  }
}
