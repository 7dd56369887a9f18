/**
 * Expected remaining time of a run. Stands in for `forecast/remaining_time.ts`, which has the same
 * signature, until that module is merged.
 */

export interface RunProgress {
  readonly elapsedMs: number;
  /** 0 to 100; 0 when nothing is reported yet. */
  readonly percent: number;
  /** The caller's estimate for a worker of speed 1. */
  readonly estimateMs: number;
  /** Speed of the slowest worker of the run; 1 where not known. */
  readonly speed: number;
}

/** Below this percentage the rounding of reports dominates the extrapolation. */
const MINIMUM_PERCENT = 10;

/** Expected remaining time in milliseconds; at least 0. */
export function computeRemainingMs(progress: RunProgress): number {
  const { elapsedMs, percent, estimateMs, speed } = progress;
  if (percent >= MINIMUM_PERCENT) {
    return elapsedMs * Math.max(0, 100 - percent) / percent;
  }
  return Math.max(0, estimateMs / speed - elapsedMs);
}
