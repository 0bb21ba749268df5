/** Fits straight lines to measured points. */

/** Minimum number of points for a slope. */
export const MINIMUM_POINTS = 4;

function mean(values) {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

/**
 * Fits a line to points `{ x, y }` by least squares. Returns slope, intercept and R2, the share of
 * the variance of y that the line explains. Throws an error when there are fewer than four points.
 */
export function fitLine(points) {
  if (points.length < MINIMUM_POINTS) throw new Error('A slope needs at least four points');
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const products = points.map(({ x, y }) => (x - meanX) * (y - meanY));
  const squares = points.map(({ x }) => (x - meanX) ** 2);
  const slope = mean(products) / mean(squares);
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) => (y - intercept - slope * x) ** 2);
  const deviations = points.map(({ y }) => (y - meanY) ** 2);
  const isFlat = mean(deviations) === 0;
  const r2 = isFlat ? 1 : 1 - mean(residuals) / mean(deviations);
  return { slope, intercept, r2 };
}
