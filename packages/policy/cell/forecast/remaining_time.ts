/**
 * Expected remaining time of a run, from its reported progress and from the caller's estimate. The
 * two are weighted by their errors, so that the result follows the estimate at the start of a run
 * and the reports later.
 */

/** Progress of one run; for a gang, that of its slowest member. */
export interface RunProgress {
  readonly elapsedMs: number;
  /** 0 to 100; 0 when nothing is reported yet. */
  readonly percent: number;
  /** The caller's estimate for a worker of speed 1. */
  readonly estimateMs: number;
  /** Speed of the slowest worker of the run; 1 where not known. */
  readonly speed: number;
  /** Actual over estimated duration, as learned from the queue's earlier tasks; default 1. */
  readonly learnedRatio?: number;
  /** Percentage at which the run started, from a checkpoint; default 0. */
  readonly startPercent?: number;
}

/** Below this progress, a percentage that is rounded down says little about the duration. */
const MINIMUM_PROGRESS_PERCENT = 3;
/** Mean error of a percentage that is rounded down. */
const ROUNDING_ERROR_PERCENT = 0.5;
/** Mean age of a reported percentage, which lags by up to a second. */
const REPORT_LAG_MS = 500;
/** Typical relative error of estimates; queues have between 0.2 and 0.9. */
const ESTIMATE_ERROR = 0.5;
/**
 * A run that has outlasted its estimate is expected to take this share of its elapsed time longer,
 * since estimates are wrong by a factor.
 */
const OVERDUE_SHARE = 0.1;
const WHOLE_PERCENT = 100;

/** Whether enough progress is reported that the remaining time does not follow the estimate only. */
export function isProgressReported(
  { percent, startPercent = 0 }: RunProgress,
): boolean {
  return percent - startPercent >= MINIMUM_PROGRESS_PERCENT;
}

/** Expected time until the run ends, in milliseconds; 0 at 100 percent, never negative. */
export function computeRemainingMs(progress: RunProgress): number {
  const elapsedMs = Math.max(0, progress.elapsedMs);
  const percent = Math.min(WHOLE_PERCENT, Math.max(0, progress.percent));
  if (percent >= WHOLE_PERCENT) return 0;
  const fromEstimateMs = computeFromEstimate(progress, elapsedMs);
  if (!isProgressReported(progress) || elapsedMs === 0) return fromEstimateMs;
  const donePercent = percent - (progress.startPercent ?? 0);
  const fromReportsMs = elapsedMs * (WHOLE_PERCENT - percent) / donePercent;
  const reportsError = ROUNDING_ERROR_PERCENT / donePercent +
    REPORT_LAG_MS / elapsedMs;
  // Weights are inverse to the squared errors, which minimises the error of the mean. The mean is
  // geometric, as estimates are wrong by a factor.
  const weight = ESTIMATE_ERROR ** 2 /
    (ESTIMATE_ERROR ** 2 + reportsError ** 2);
  return fromReportsMs ** weight * fromEstimateMs ** (1 - weight);
}

function computeFromEstimate(
  { estimateMs, speed, learnedRatio = 1, startPercent = 0 }: RunProgress,
  elapsedMs: number,
): number {
  const openShare = Math.max(0, WHOLE_PERCENT - startPercent) / WHOLE_PERCENT;
  const durationMs = Math.max(0, estimateMs) * openShare *
    replaceUnusable(learnedRatio) / replaceUnusable(speed);
  return Math.max(durationMs - elapsedMs, OVERDUE_SHARE * elapsedMs);
}

/** Ratios and speeds that are not positive and finite count as unknown. */
function replaceUnusable(factor: number): number {
  return factor > 0 && Number.isFinite(factor) ? factor : 1;
}
