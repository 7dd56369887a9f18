/**
 * What evictions cost and gain, estimated from the lease holder's jobs, their runs and the workers'
 * reports. One instance serves one planning round.
 */
import {
  computeEvictionCost,
  computeGuardMs,
  computeRemainingMs,
  DEFAULT_CHECKPOINT_PERIOD_MS,
  DEFAULT_RESTORE_MS,
  estimateValue,
  type EvictionBounds,
  isProgressReported,
  type JobOutlook,
  type JobRankInput,
  type RunningUnit,
  type RunProgress,
} from "@coltsfootpond/policy";
import type { LiveJob, Unit } from "../live_job.ts";
import type { TaskRun } from "../task_run.ts";
import { computeCores } from "./core_seconds.ts";

/** Used where the settings have no bound; the shortest one that deployments declare. */
const DEFAULT_RECLAIM_MS = 2_700;
/** Core-seconds of lost work that count as much as one mean job of lowest priority. */
const CORE_SECONDS_PER_JOB = 714;
/** Longest time between two rounds. */
const ROUND_PERIOD_MS = 200;
const WHOLE_PERCENT = 100;

/** Bounds of the deployment; those that its settings do not have are undefined. */
export interface DeclaredEvictionBounds {
  /** Longest time that a task takes to stop. */
  readonly stopLimitMs: number;
  readonly checkpointPeriodMs?: number;
  readonly restoreMs?: number;
  readonly reclaimMs?: number;
}

/** The running unit's fields that evictions depend on. */
export type EvictionEstimate = Pick<
  RunningUnit<Unit>,
  "evictionCost" | "remainingMs" | "isGuarded"
>;

/** The expected course of a unit's run. */
interface RunForecast {
  /** Whole time of the run; a run from a checkpoint counts with its earlier runs. */
  readonly durationMs: number;
  readonly remainingMs: number;
  /** Has outlasted its estimate without enough reported progress, so that its end is not foreseeable. */
  readonly isOverdue: boolean;
}

export class EvictionEstimates {
  readonly #bounds: EvictionBounds;
  readonly #reclaimMs: number;
  readonly #nowMs: number;
  readonly #outlooks = new Map<LiveJob, JobOutlook>();

  private constructor(declared: DeclaredEvictionBounds, nowMs: number) {
    this.#bounds = {
      stopLimitMs: declared.stopLimitMs,
      checkpointPeriodMs: declared.checkpointPeriodMs ??
        DEFAULT_CHECKPOINT_PERIOD_MS,
      restoreMs: declared.restoreMs ?? DEFAULT_RESTORE_MS,
    };
    this.#reclaimMs = declared.reclaimMs ?? DEFAULT_RECLAIM_MS;
    this.#nowMs = nowMs;
  }

  static create(
    declared: DeclaredEvictionBounds,
    nowMs: number,
  ): EvictionEstimates {
    return new EvictionEstimates(declared, nowMs);
  }

  /** For a unit that runs. */
  estimateRunning(unit: Unit, rankInput: JobRankInput): EvictionEstimate {
    const { step, lastEvictedMs } = unit;
    const { remainingMs, isOverdue } = forecastRun(unit, this.#nowMs);
    const evictionCost = computeEvictionCost({
      bounds: this.#bounds,
      savesProgress: step.savesProgress,
      elapsedMs: computeElapsedMs(unit, this.#nowMs),
      remainingMs: remainingMs + computeTailMs(unit, rankInput),
      checkpointAgeMs: findCheckpointAge(unit),
      cores: computeCores(step) * unit.count,
      valuePerCoreSecond: 1 / CORE_SECONDS_PER_JOB,
      outlook: this.#getOutlook(unit.job, rankInput),
      earlierEvictions: unit.evictions,
    });
    const isGuarded = lastEvictedMs !== undefined &&
      this.#nowMs - lastEvictedMs < computeGuardMs(this.#bounds);
    return {
      evictionCost,
      remainingMs: isOverdue ? undefined : remainingMs,
      isGuarded,
    };
  }

  /**
   * Within which time runs must end for a unit that has waited for `waitedMs` to wait for them: the
   * time in which an eviction frees capacity. Undefined if an eviction after that wait could free
   * capacity too late for guaranteed work.
   */
  getEndsWithinMs(waitedMs: number): number | undefined {
    const { stopLimitMs } = this.#bounds;
    const latestMs = waitedMs + 2 * (stopLimitMs + ROUND_PERIOD_MS);
    return latestMs <= this.#reclaimMs ? stopLimitMs : undefined;
  }

  /** The outlook of a job of which units run. */
  #getOutlook(job: LiveJob, rankInput: JobRankInput): JobOutlook {
    const known = this.#outlooks.get(job);
    if (known !== undefined) return known;
    let remainingMs = 0;
    let criticalPathMs = rankInput.criticalPathMs;
    for (const unit of job.units.values()) {
      const tailMs = computeTailMs(unit, rankInput);
      const { estimateMs } = unit.step;
      const forecast = unit.run === undefined
        ? { durationMs: estimateMs, remainingMs: estimateMs }
        : forecastRun(unit, this.#nowMs);
      if (forecast.remainingMs + tailMs <= remainingMs) continue;
      remainingMs = forecast.remainingMs + tailMs;
      criticalPathMs = Math.max(
        forecast.durationMs,
        rankInput.criticalPathMs - estimateMs + forecast.durationMs,
      );
    }
    const outlook = {
      value: estimateValue(rankInput),
      stretch: job.spec.stretch,
      allowanceMs: job.spec.allowanceMs,
      ageMs: rankInput.ageMs,
      criticalPathMs,
      remainingMs,
    };
    this.#outlooks.set(job, outlook);
    return outlook;
  }
}

/** Critical path of the steps that follow the unit's step. */
function computeTailMs({ step }: Unit, rankInput: JobRankInput): number {
  return Math.max(0, rankInput.remainingCriticalPathMs - step.estimateMs);
}

/** The time that a run has run; that of an adopted run before its adoption is estimated. */
function computeElapsedMs({ run, step }: Unit, nowMs: number): number {
  if (run === undefined) return 0;
  const adopted = [...run.taskRuns.keys()].filter(isAdopted);
  const adoptedPercent = Math.max(
    0,
    ...adopted.map(({ firstPercent }) => firstPercent ?? 0),
  );
  return nowMs - run.startedMs +
    step.estimateMs * adoptedPercent / WHOLE_PERCENT;
}

function isAdopted({ startSentMs, isListed }: TaskRun): boolean {
  return startSentMs === undefined && isListed;
}

/** The run's course by its slowest task. */
function forecastRun(unit: Unit, nowMs: number): RunForecast {
  const { run, step: { estimateMs, savesProgress } } = unit;
  if (run === undefined) {
    return {
      durationMs: estimateMs,
      remainingMs: estimateMs,
      isOverdue: false,
    };
  }
  const elapsedMs = nowMs - run.startedMs;
  let slowest: RunForecast = {
    durationMs: 0,
    remainingMs: 0,
    isOverdue: false,
  };
  for (const taskRun of run.taskRuns.keys()) {
    // Such a run may have begun with progress, which the first report shows.
    const startPercent = savesProgress || isAdopted(taskRun)
      ? taskRun.firstPercent ?? 0
      : 0;
    const progress: RunProgress = {
      elapsedMs,
      percent: taskRun.percent,
      estimateMs,
      speed: 1,
      startPercent,
    };
    const remainingMs = computeRemainingMs(progress);
    if (remainingMs < slowest.remainingMs) continue;
    const openPercent = Math.max(1, WHOLE_PERCENT - startPercent);
    slowest = {
      durationMs: (elapsedMs + remainingMs) * WHOLE_PERCENT / openPercent,
      remainingMs,
      isOverdue: !isProgressReported(progress) && elapsedMs >= estimateMs,
    };
  }
  return slowest;
}

/** Age of the oldest checkpoint of the unit's tasks when it was last reported. */
function findCheckpointAge({ run }: Unit): number | undefined {
  let oldestMs: number | undefined;
  for (const taskRun of run?.taskRuns.keys() ?? []) {
    const { checkpointChangedClockMs, percentReportedClockMs } = taskRun;
    if (checkpointChangedClockMs === undefined) return undefined;
    const ageMs = percentReportedClockMs - checkpointChangedClockMs;
    oldestMs = Math.max(oldestMs ?? 0, ageMs);
  }
  return oldestMs;
}
