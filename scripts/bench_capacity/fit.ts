/** Least squares fit of a straight line, and the median, for the measured slopes. */

/** `value = intercept + slope * size`. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals as a share of the largest value. */
  readonly residualShare: number;
}

/** Fits the values at the given sizes, one value a size; needs at least two different sizes. */
export function fitLine(
  sizes: readonly number[],
  values: readonly number[],
): LineFit {
  const meanSize = mean(sizes);
  const meanValue = mean(values);
  let covariance = 0;
  let variance = 0;
  sizes.forEach((size, index) => {
    covariance += (size - meanSize) * ((values[index] ?? 0) - meanValue);
    variance += (size - meanSize) ** 2;
  });
  const slope = covariance / variance;
  const intercept = meanValue - slope * meanSize;
  const squares = sizes.map((size, index) =>
    ((values[index] ?? 0) - intercept - slope * size) ** 2
  );
  const largest = Math.max(...values.map(Math.abs));
  const residualShare = largest === 0 ? 0 : Math.sqrt(mean(squares)) / largest;
  return { slope, intercept, residualShare };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** The middle value; the mean of the two middle ones for an even count. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  if (sorted.length % 2 === 1) return upper;
  return ((sorted[middle - 1] ?? 0) + upper) / 2;
}
