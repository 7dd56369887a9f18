/** Derives samples of workers' speeds from the progress that their reports show. */
import type { Clock } from "@coltsfootpond/common";
import { RUN_END, type SpeedSample } from "@coltsfootpond/policy";
import type { EndedTask } from "@coltsfootpond/ports";
import type { Unit } from "../live_job.ts";
import { type TaskRun, taskRunKey } from "../task_run.ts";
import type { WorkerSession } from "../worker_session.ts";

/**
 * Progress that an interval must show, in percent. Percentages are whole numbers, so that the rate
 * of an interval of 5 is off by up to 20%, like the length of a task.
 */
const MINIMUM_PROGRESS_PERCENT = 5;
/**
 * An interval without this progress is a sample of an upper bound after this time, a little less
 * than the period of the reports, so that a worker that stalls is noticed with the next report.
 */
const BOUND_AFTER_MS = 800;
/** The samples of a run cover at most about this time, so that they show its present speed. */
const INTERVAL_MS = 1_800;
/** Ends that arrive this long after the last report were delayed. */
const LONGEST_REPORT_GAP_MS = 1_600;
/** A task that makes less than this share of its earlier progress has slowed down. */
const SLOWED_DOWN_SHARE = 0.5;
const WHOLE_PERCENT = 100;

interface Point {
  readonly percent: number;
  /** On the worker's clock. */
  readonly workerClockMs: number;
}

interface Progress {
  /** The interval's first point; undefined before the run shows progress. */
  base: Point | undefined;
  last: Point;
  readonly firstPercent: number;
  lastReceivedMs: number;
}

export interface SpeedSamplerOptions {
  readonly clock: Clock;
  /** The unit to whose run the task run belongs; undefined for a stray run. */
  readonly getUnit: (taskRun: TaskRun) => Unit | undefined;
  readonly onSample: (sample: SpeedSample) => void;
}

/** Follows the progress of single tasks. */
export class SpeedSampler {
  readonly #options: SpeedSamplerOptions;
  readonly #progress = new WeakMap<TaskRun, Progress>();

  private constructor(options: SpeedSamplerOptions) {
    this.#options = options;
  }

  static create(options: SpeedSamplerOptions): SpeedSampler {
    return new SpeedSampler(options);
  }

  /** Takes samples from the newest report of the worker. */
  recordReport(session: WorkerSession): void {
    for (const taskRun of session.taskRuns) {
      if (taskRun.isStopping || !this.#isComparable(session, taskRun)) continue;
      this.#recordProgress(session, taskRun);
    }
  }

  /** Takes a sample from the end of a task; `taskRun` may be registered no more. */
  recordEnd(session: WorkerSession, ended: EndedTask, taskRun: TaskRun): void {
    const progress = this.#progress.get(taskRun);
    if (progress === undefined || ended.end !== RUN_END.DONE) return;
    if (taskRun.isStopping || !this.#isComparable(session, taskRun)) return;
    const { base, last, lastReceivedMs } = progress;
    const gapMs = this.#options.clock.nowMs() - lastReceivedMs;
    if (base === undefined || gapMs > LONGEST_REPORT_GAP_MS) return;
    this.#addSample(session, taskRun, base, {
      percent: WHOLE_PERCENT,
      workerClockMs: last.workerClockMs + gapMs,
    });
  }

  #recordProgress(session: WorkerSession, taskRun: TaskRun): void {
    const point = {
      percent: taskRun.percent,
      workerClockMs: taskRun.percentReportedClockMs,
    };
    const receivedMs = this.#options.clock.nowMs();
    const progress = this.#progress.get(taskRun);
    if (progress === undefined) {
      const mayBeRestoring = this.#hasCheckpoint(taskRun);
      this.#progress.set(taskRun, {
        base: point.percent > 0 && !mayBeRestoring ? point : undefined,
        last: point,
        firstPercent: point.percent,
        lastReceivedMs: receivedMs,
      });
      return;
    }
    if (point.workerClockMs <= progress.last.workerClockMs) return;
    const { base, last } = progress;
    progress.last = point;
    progress.lastReceivedMs = receivedMs;
    if (base === undefined) {
      // Before it shows progress, the task waits, or is restored from its checkpoint.
      if (point.percent > progress.firstPercent) progress.base = point;
      return;
    }
    if (hasSlowedDown(base, last, point)) progress.base = last;
    if (point.percent < last.percent) progress.base = point;
    this.#addSample(session, taskRun, progress.base ?? base, point);
    const isLong = point.workerClockMs - base.workerClockMs >= INTERVAL_MS;
    const isExact = point.percent - last.percent >= MINIMUM_PROGRESS_PERCENT;
    if (isLong && isExact) progress.base = last;
  }

  /** Whether the run began at a checkpoint of an earlier run. */
  #hasCheckpoint(taskRun: TaskRun): boolean {
    const unit = this.#options.getUnit(taskRun);
    return unit === undefined || taskRun.startSentMs === undefined ||
      unit.job.progress.getCheckpoint(unit.address) !== "";
  }

  #addSample(
    { worker, incarnationStartUnixMs }: WorkerSession,
    { stepKey, task, run }: TaskRun,
    from: Point,
    to: Point,
  ): void {
    const progressPercent = to.percent - from.percent;
    const durationMs = to.workerClockMs - from.workerClockMs;
    const isUpperBound = progressPercent < MINIMUM_PROGRESS_PERCENT;
    if (durationMs <= 0 || isUpperBound && durationMs < BOUND_AFTER_MS) return;
    // Percentages are rounded down.
    const percent = progressPercent + (isUpperBound ? 1 : 0);
    this.#options.onSample({
      worker,
      incarnationStartUnixMs,
      stepKey,
      runKey: taskRunKey(task, run),
      ratePerMs: percent / WHOLE_PERCENT / durationMs,
      isUpperBound,
    });
  }

  /** Whether the task's rate depends on its worker only, apart from its length. */
  #isComparable(session: WorkerSession, taskRun: TaskRun): boolean {
    const step = this.#options.getUnit(taskRun)?.step;
    if (step === undefined) return false;
    const isNearData = step.dataRack === undefined ||
      step.dataRack === session.record?.rack;
    return !step.isGang && !step.isFiller && !step.isPersistent && isNearData;
  }
}

/**
 * Whether the task made less than half of its earlier progress between the two newest reports, so
 * that an interval over both would hide its present rate.
 */
function hasSlowedDown(base: Point, last: Point, point: Point): boolean {
  const earlierMs = last.workerClockMs - base.workerClockMs;
  const presentMs = point.workerClockMs - last.workerClockMs;
  if (earlierMs <= 0 || presentMs < BOUND_AFTER_MS) return false;
  const earlierRate = (last.percent - base.percent) / earlierMs;
  const highestRate = (point.percent - last.percent + 1) / presentMs;
  return highestRate < SLOWED_DOWN_SHARE * earlierRate;
}
