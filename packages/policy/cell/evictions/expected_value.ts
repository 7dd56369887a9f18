/**
 * Expected value of a job by the delay that it still gets. Durations are estimates that are wrong
 * by a factor, so the value does not drop at one moment but falls over a range of delays.
 */
import { LATE_LIMIT_FACTOR, LATE_VALUE_SHARE } from "../job_rank.ts";

/** When a job would end, and what it is worth. All times are expected ones. */
export interface JobOutlook {
  /** Value if it meets its objective, relative to a mean job of lowest priority. */
  readonly value: number;
  readonly stretch: number;
  readonly allowanceMs: number;
  /** Time since it was accepted, or since its occurrence was due. */
  readonly ageMs: number;
  readonly criticalPathMs: number;
  /** Time until it ends if nothing delays it further. */
  readonly remainingMs: number;
}

/**
 * Steepness of the log-logistic distribution of actual over estimated durations; this one has a
 * standard deviation of the logarithm of 0.45, between those of the queues (0.2 and 0.9).
 */
const DURATION_STEEPNESS = 4;

/** Expected value of the job if it gets the delay, in the unit of `value`. */
export function computeExpectedValue(
  outlook: JobOutlook,
  delayMs: number,
): number {
  const inTime = computeProbability(outlook, delayMs, 1);
  const inLimit = computeProbability(outlook, delayMs, LATE_LIMIT_FACTOR);
  return outlook.value *
    (LATE_VALUE_SHARE * inLimit + (1 - LATE_VALUE_SHARE) * inTime);
}

/**
 * Probability of an end within `factor` times the objective. The actual critical path, on which the
 * objective depends too, is the expected one times a random factor; the end is in time if
 * `factor` x (`stretch` x path + allowance) covers age, delay and remaining path.
 */
function computeProbability(
  outlook: JobOutlook,
  delayMs: number,
  factor: number,
): number {
  const { stretch, allowanceMs, ageMs, criticalPathMs, remainingMs } = outlook;
  const neededMs = ageMs + delayMs - factor * allowanceMs;
  const slackMs = factor * stretch * criticalPathMs - remainingMs;
  if (slackMs < 0) return 0;
  if (neededMs <= 0) return 1;
  if (slackMs === 0) return 0;
  return 1 / (1 + (neededMs / slackMs) ** DURATION_STEEPNESS);
}
