/** Division of one service's capacity by weights: weighted max-min fairness of dominant shares. */
import type { CellResources } from "../types.ts";

/** What an organisation uses and waits for, as a dominant share of the capacity. */
export interface WeightedDemand {
  readonly weight: number;
  readonly dominantShare: number;
}

/** The largest share of the capacity that is in use of any resource. */
export function computeDominantShare(
  used: CellResources,
  capacity: CellResources,
): number {
  const shares = [
    [used.cpuMilli, capacity.cpuMilli],
    [used.memoryMib, capacity.memoryMib],
    [used.accelerators, capacity.accelerators],
  ] as const;
  return Math.max(
    ...shares.map(([part, whole]) => whole > 0 ? part / whole : 0),
  );
}

/**
 * The dominant share for each unit of weight, so that the whole capacity is divided: what an
 * organisation with a smaller demand leaves goes to the others in the ratio of their weights.
 * Infinite if all demands are met.
 */
export function computeFairLevel(demands: readonly WeightedDemand[]): number {
  const sorted = [...demands].sort((left, right) =>
    left.dominantShare / left.weight - right.dominantShare / right.weight
  );
  let remainingShare = 1;
  let remainingWeight = sorted.reduce((sum, { weight }) => sum + weight, 0);
  for (const { weight, dominantShare } of sorted) {
    const level = Math.max(0, remainingShare) / remainingWeight;
    if (dominantShare / weight > level) return level;
    remainingShare -= dominantShare;
    remainingWeight -= weight;
  }
  return Number.POSITIVE_INFINITY;
}
