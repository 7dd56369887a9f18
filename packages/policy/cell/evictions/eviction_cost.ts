/**
 * Cost of evicting a running unit, in job value: the work that is lost, and the value that its job
 * loses because it ends later.
 */
import { computeExpectedValue, type JobOutlook } from "./expected_value.ts";

/** Time bounds of evictions that the deployment declares. */
export interface EvictionBounds {
  /** Longest time that a task takes to stop. */
  readonly stopLimitMs: number;
  /** Period in which tasks that save their progress write checkpoints. */
  readonly checkpointPeriodMs: number;
  /** Time that a task takes to continue from a checkpoint. */
  readonly restoreMs: number;
}

/** Used where the settings have no bound; together the 1,200 ms that were assumed before. */
export const DEFAULT_CHECKPOINT_PERIOD_MS = 1_000;
export const DEFAULT_RESTORE_MS = 200;
/** Estimated time until stopped work is placed again. */
export const RESTART_WAIT_MS = 2_000;

export interface EvictionCostInput {
  readonly bounds: EvictionBounds;
  readonly savesProgress: boolean;
  /** Time that the run has run. */
  readonly elapsedMs: number;
  /** Expected time until the run ends. */
  readonly remainingMs: number;
  /** Time that reports have shown the run's present checkpoint; undefined where not known. */
  readonly checkpointAgeMs: number | undefined;
  /** Cores of all tasks of the unit, accelerators counted as cores. */
  readonly cores: number;
  /** Job value of a core-second of capacity. */
  readonly valuePerCoreSecond: number;
  /** Its job, with the expected end of the unit's run. */
  readonly outlook: JobOutlook;
  /** Evictions of the unit that this lease holder remembers. */
  readonly earlierEvictions: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Time after an eviction in which the unit is not evicted again: it could stop, continue and write
 * a checkpoint, so that the next eviction does not destroy the same work.
 */
export function computeGuardMs(
  { stopLimitMs, checkpointPeriodMs, restoreMs }: EvictionBounds,
): number {
  return stopLimitMs + restoreMs + checkpointPeriodMs;
}

/** Run time whose progress an eviction destroys. */
export function computeLostMs(
  { bounds, savesProgress, elapsedMs, checkpointAgeMs }: Pick<
    EvictionCostInput,
    "bounds" | "savesProgress" | "elapsedMs" | "checkpointAgeMs"
  >,
): number {
  if (!savesProgress) return elapsedMs;
  const { checkpointPeriodMs } = bounds;
  // Reports lag, so that half a period has passed on average when a checkpoint is seen to be new.
  const lostMs = checkpointAgeMs === undefined
    ? checkpointPeriodMs
    : Math.max(checkpointAgeMs, checkpointPeriodMs / 2);
  return Math.min(elapsedMs, lostMs);
}

/** The cost of evicting the unit now, at least 0. */
export function computeEvictionCost(input: EvictionCostInput): number {
  const { bounds, savesProgress, remainingMs, outlook } = input;
  const lostMs = computeLostMs(input);
  const restoreMs = savesProgress ? bounds.restoreMs : 0;
  const work = input.cores * (lostMs + restoreMs) / MS_PER_SECOND *
    input.valuePerCoreSecond;
  // The job ends with its last unit, which may be another one.
  const unitEndMs = remainingMs + lostMs + restoreMs + bounds.stopLimitMs +
    RESTART_WAIT_MS;
  const delayMs = Math.max(0, unitEndMs - outlook.remainingMs);
  const lateness = computeExpectedValue(outlook, 0) -
    computeExpectedValue(outlook, delayMs);
  return (work + lateness) * (1 + input.earlierEvictions);
}
