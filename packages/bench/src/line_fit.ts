/**
 * Straight lines through measured points, by least squares.
 *
 * @module
 */

/** One measurement. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line and how well it fits. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /**
   * Share of the variance that the line explains, 0 to 1. A quantity that does
   * not depend on x has a slope near 0 and any r2, so r2 says something only
   * beside the slope.
   */
  readonly r2: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

/**
 * Fits a line by least squares.
 *
 * @throws RangeError without two points of different x.
 *
 * @example
 * ```ts
 * const line = fitLine([{ x: 1, y: 3 }, { x: 2, y: 5 }]);
 * assert.equal(line.slope, 2);
 * ```
 */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map((point) => point.x));
  const meanY = mean(points.map((point) => point.y));
  let xx = 0;
  let xy = 0;
  let yy = 0;
  for (const { x, y } of points) {
    xx += (x - meanX) ** 2;
    xy += (x - meanX) * (y - meanY);
    yy += (y - meanY) ** 2;
  }
  if (!(xx > 0)) {
    throw new RangeError("Cannot fit a line: all points have the same x");
  }
  const slope = xy / xx;
  return {
    slope,
    intercept: meanY - slope * meanX,
    r2: yy === 0 ? 1 : (xy * xy) / (xx * yy),
  };
}
