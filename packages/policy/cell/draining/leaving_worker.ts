/**
 * Decides which runs are stopped on a worker that leaves at short notice. What still runs there when
 * it leaves is lost with the progress since the last checkpoint, and is started again only after
 * the worker's lease has ended, as the worker no longer tells that it is gone. A run that is stopped
 * before ends for certain, with a new checkpoint if it writes any, and continues elsewhere at once.
 */

/** One run with a task on a worker that leaves. */
export interface LeavingRun {
  /** Least time until the first of its workers leaves; negative when that has passed. */
  readonly timeLeftMs: number;
  /** Expected time until the run ends. */
  readonly remainingMs: number;
  /** Runs until its job is cancelled, so that it never ends in time. */
  readonly isPersistent: boolean;
}

export interface LeavingRunLimits {
  /** Longest time that a task takes to stop. */
  readonly stopLimitMs: number;
  /** Longest time until the decision is made again. */
  readonly periodMs: number;
}

/** Time for sending the stop and for the report of the end. */
const ROUND_TRIP_MS = 100;

/** Whether to stop the run now. */
export function mustStopLeavingRun(
  { timeLeftMs, remainingMs, isPersistent }: LeavingRun,
  { stopLimitMs, periodMs }: LeavingRunLimits,
): boolean {
  // After that, a stop may not be over when the worker leaves.
  const isLastMoment = timeLeftMs <= stopLimitMs + ROUND_TRIP_MS + periodMs;
  return isPersistent ? isLastMoment : remainingMs > timeLeftMs;
}
