/** Linear regression by least squares. */

/** Fitted line: y = intercept + slope * x. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line, as a share of the largest y. */
  readonly residual: number;
}

/** Fits a line to at least two points; the slope is 0 if all x are equal. */
export function fitLine(
  points: readonly (readonly [number, number])[],
): LineFit {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  let numerator = 0;
  let denominator = 0;
  for (const [x, y] of points) {
    numerator += (x - meanX) * (y - meanY);
    denominator += (x - meanX) ** 2;
  }
  const slope = denominator === 0 ? 0 : numerator / denominator;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), 1e-9);
  const distances = points.map(([x, y]) => Math.abs(y - intercept - slope * x));
  return { slope, intercept, residual: Math.max(...distances) / largest };
}
