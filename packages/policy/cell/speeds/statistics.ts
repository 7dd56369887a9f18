/** Weighted averages. */

export interface WeightedValue {
  readonly value: number;
  readonly weight: number;
}

/** NaN without values. */
export function computeWeightedMean(values: readonly WeightedValue[]): number {
  let sum = 0;
  let weights = 0;
  for (const { value, weight } of values) {
    sum += value * weight;
    weights += weight;
  }
  return sum / weights;
}

/** The value with half of the weight on each side, or the mean of two such values; NaN without. */
export function computeWeightedMedian(
  values: readonly WeightedValue[],
): number {
  const sorted = [...values].sort((left, right) => left.value - right.value);
  const half = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2;
  let below = 0;
  for (const [position, { value, weight }] of sorted.entries()) {
    below += weight;
    if (below > half) return value;
    if (below === half) {
      return (value + (sorted[position + 1] ?? sorted[position]!).value) / 2;
    }
  }
  return sorted.at(-1)?.value ?? Number.NaN;
}

/** Undefined without values. */
export function computeMedian(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  return computeWeightedMedian(
    values.map((value) => ({ value, weight: 1 })),
  );
}
