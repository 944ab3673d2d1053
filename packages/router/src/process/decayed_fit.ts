/**
 * A straight line through observations that lose weight with time.
 *
 * @module
 */
import { Decay } from "./decay.ts";

/** One observation of the fitted line. */
export interface FitPoint {
  readonly x: number;
  readonly y: number;
  readonly weight: number;
}

interface Moments {
  weight: number;
  x: number;
  y: number;
  xx: number;
  xy: number;
}

/**
 * Weighted least squares with decay. The points of the prior keep their weight,
 * so that the line stays determined where observations are few or all alike.
 *
 * @example
 * ```ts
 * const fit = new DecayedFit(30_000, [{ x: 0, y: 1, weight: 1 }, ...]);
 * fit.record({ x: 8, y: 6.2, weight: 1 }, now);
 * const { slope, intercept } = fit.line(now);
 * ```
 */
export class DecayedFit {
  readonly #decay: Decay;
  readonly #prior = zeroMoments();
  readonly #observed = zeroMoments();

  /** @param prior at least two points with different `x`. */
  constructor(halfLifeMs: number, prior: readonly FitPoint[]) {
    this.#decay = new Decay(halfLifeMs);
    for (const point of prior) addPoint(this.#prior, point);
  }

  record(point: FitPoint, now: number): void {
    this.#applyDecay(now);
    addPoint(this.#observed, point);
  }

  line(now: number): { readonly slope: number; readonly intercept: number } {
    this.#applyDecay(now);
    const prior = this.#prior;
    const observed = this.#observed;
    const weight = prior.weight + observed.weight;
    const x = (prior.x + observed.x) / weight;
    const y = (prior.y + observed.y) / weight;
    const xx = (prior.xx + observed.xx) / weight - x * x;
    const xy = (prior.xy + observed.xy) / weight - x * y;
    const slope = xy / xx;
    return { slope, intercept: y - slope * x };
  }

  #applyDecay(now: number): void {
    const factor = this.#decay.remaining(now);
    const moments = this.#observed;
    moments.weight *= factor;
    moments.x *= factor;
    moments.y *= factor;
    moments.xx *= factor;
    moments.xy *= factor;
  }
}

function zeroMoments(): Moments {
  return { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
}

function addPoint(moments: Moments, { x, y, weight }: FitPoint): void {
  moments.weight += weight;
  moments.x += weight * x;
  moments.y += weight * y;
  moments.xx += weight * x * x;
  moments.xy += weight * x * y;
}
