/** A measured value `y` at the size `x`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains. */
  readonly rSquared: number;
}

/** Fits a line by ordinary least squares. */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map((point) => point.x));
  const meanY = mean(points.map((point) => point.y));
  let sxx = 0;
  let sxy = 0;
  let syy = 0;
  for (const { x, y } of points) {
    sxx += (x - meanX) ** 2;
    sxy += (x - meanX) * (y - meanY);
    syy += (y - meanY) ** 2;
  }
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const rSquared = sxx === 0 || syy === 0 ? 1 : sxy ** 2 / (sxx * syy);
  return { slope, intercept: meanY - slope * meanX, rSquared };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
