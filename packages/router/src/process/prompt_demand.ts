/**
 * Which prompts draw most of the work of a service.
 *
 * @module
 */
import { Decay } from "./decay.ts";

/** Half-life in ms of work: a daemon of 73 sees a few requests a second. */
const HALF_LIFE_MS = 20_000;
/** Prompts whose demand is kept, by their shared part. */
const MAX_PROMPTS = 500;
/** Weight in requests below which a prompt is not known to be hot. */
const MIN_REQUESTS = 4;
/** Share of its homes' capacity by which a prompt gets more homes, or fewer. */
const GROW_SHARE = 1.2;
const SHRINK_SHARE = 0.4;
/**
 * Most homes of a prompt. Each of them prefills or fetches the shared part, and
 * the copies take memory from other prompts.
 */
const MAX_HOMES = 16;

interface Demand {
  work: number;
  requests: number;
  homes: number;
  /** Time up to which the figures are decayed. */
  at: number;
}

/**
 * Counts the work that prompts with the same shared part draw at this daemon,
 * and tells how many home runners they need. The number doubles and halves, so
 * that daemons mostly agree although each sees its own part of the demand.
 */
export class PromptDemand {
  readonly #prompts = new Map<string, Demand>();
  readonly #decay = new Decay(HALF_LIFE_MS);
  #work = 0;

  /** Number of prompts whose demand is kept. */
  get size(): number {
    return this.#prompts.size;
  }

  /** Records a request that was sent to a runner. */
  record(part: string, work: number, now: number): void {
    const known = this.#prompts.get(part);
    const demand = known ?? { work: 0, requests: 0, homes: 1, at: now };
    this.#prompts.delete(part);
    this.#prompts.set(part, demand);
    this.#decayTo(demand, now);
    demand.work += work;
    demand.requests += 1;
    this.#work = this.#work * this.#decay.remaining(now) + work;
    if (this.#prompts.size <= MAX_PROMPTS) return;
    const [longestUnused] = this.#prompts.keys();
    this.#prompts.delete(longestUnused!);
  }

  /**
   * Number of home runners of a prompt.
   *
   * @param homeShare share of the service's work that one home may have.
   */
  homes(part: string, homeShare: number, now: number): number {
    const demand = this.#prompts.get(part);
    if (demand === undefined || this.#work === 0) return 1;
    this.#decayTo(demand, now);
    const total = this.#work * this.#decay.remaining(now);
    this.#work = total;
    const needed = demand.requests < MIN_REQUESTS
      ? 0
      : demand.work / total / homeShare;
    while (needed > GROW_SHARE * demand.homes && demand.homes < MAX_HOMES) {
      demand.homes *= 2;
    }
    while (needed < SHRINK_SHARE * demand.homes && demand.homes > 1) {
      demand.homes /= 2;
    }
    return demand.homes;
  }

  #decayTo(demand: Demand, now: number): void {
    const factor = 0.5 ** (Math.max(0, now - demand.at) / HALF_LIFE_MS);
    demand.work *= factor;
    demand.requests *= factor;
    demand.at = Math.max(now, demand.at);
  }
}
