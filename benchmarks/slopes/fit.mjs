/** Straight lines through measured points. */

/** The fewest points that make a slope. */
export const LEAST_POINTS = 4;

function mean(values) {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

/**
 * The line of least squares through points `{ x, y }`, and R2, the share of the variance of y that
 * the line explains. Throws when there are fewer than four points.
 */
export function fitLine(points) {
  if (points.length < LEAST_POINTS) throw new Error('A slope needs at least four points');
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
