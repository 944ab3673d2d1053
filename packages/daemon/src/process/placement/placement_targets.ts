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
const PLANNED_USE = 0.7;

interface Target {
  copies: number;
  above: number;
  below: number;
}

/** What a round knows of one model. */
export interface ModelDemand {
  readonly model: string;
  /** Requests waiting or being served. */
  readonly requests: number;
  /** Copies there are now. */
  readonly copies: number;
  /** Whether enough of the daemons were heard to believe a low figure. */
  readonly complete: boolean;
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
    const perCopy = options.slotsPerRunner * PLANNED_USE;
    const wanted = Math.max(1, Math.ceil(demand.requests / perCopy));
    const target = this.#targetOf(demand, wanted);
    target.above = wanted > target.copies ? target.above + 1 : 0;
    const lower = wanted < target.copies && demand.complete;
    target.below = lower ? target.below + 1 : 0;
    if (target.above >= RAISE_ROUNDS) {
      target.copies = wanted;
      target.above = 0;
    }
    if (target.below >= LOWER_ROUNDS) {
      target.copies -= 1;
      target.below = 0;
    }
    return target.copies;
  }

  /** A new holder starts from what is there, so that taking over moves nothing. */
  #targetOf(demand: ModelDemand, wanted: number): Target {
    const known = this.#targets.get(demand.model);
    if (known !== undefined) return known;
    const copies = Math.max(1, demand.copies);
    const first = {
      copies,
      above: wanted > copies ? RAISE_ROUNDS : 0,
      below: 0,
    };
    this.#targets.set(demand.model, first);
    return first;
  }
}
