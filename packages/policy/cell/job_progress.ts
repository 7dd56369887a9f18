/**
 * Progress of a job: which units are done, which runs failed, and the newest checkpoints.
 * `ProgressRecord` is the stored form; `JobProgress` is built from it and updated at run ends. Each
 * repetition of a recurring job is an occurrence; a job that does not recur has only occurrence 0.
 */
import { type Crash, isGivenUp } from "./crashes/crash_evidence.ts";
import { CrashLog, type CrashRecord } from "./crashes/crash_log.ts";
import type { CellJobSpec, StepSpec } from "./types.ts";

/** Stored progress of one step of one occurrence. */
export interface StepRecord {
  /** Indexes of the units that are done. */
  readonly done: readonly number[];
  /** Unit index and run number of each failed run that counts towards the limit of attempts. */
  readonly failures: readonly (readonly [index: number, run: number])[];
  /** Unit index and the text of its newest checkpoint, as the worker reported it. */
  readonly checkpoints: readonly (readonly [index: number, text: string])[];
  /** Absent when there are none. */
  readonly crashes?: readonly CrashRecord[];
}

/** Step records by `{occurrence}.{step}`. */
export type ProgressRecord = Readonly<Record<string, StepRecord>>;

/** Address of a unit in its job. A gang is one unit with index 0; other tasks are one unit each. */
export interface UnitAddress {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

interface StepProgress {
  readonly done: Set<number>;
  readonly failedRuns: Map<number, Set<number>>;
  readonly checkpoints: Map<number, string>;
  readonly crashes: CrashLog;
}

/** Why a job can't complete any more, and the unit that shows it. */
export interface JobFailure {
  readonly reason: FailureReason;
  readonly unit: UnitAddress;
}

export const FAILURE_REASON = {
  /** A unit has failed as often as the job's queue allows. */
  ATTEMPTS: "attempts",
  /** A unit crashes the workers that start it. */
  CRASHES: "crashes",
} as const;
export type FailureReason =
  (typeof FAILURE_REASON)[keyof typeof FAILURE_REASON];

/** Number of units of a step: 1 for a gang, else one per task. */
export function countUnits(step: StepSpec): number {
  return step.isGang ? 1 : step.count;
}

/** Key of a step of an occurrence in a `ProgressRecord`. */
export function formatStepKey(occurrence: number, step: number): string {
  return `${occurrence}.${step}`;
}

/** Progress of one job; the cell scheduler keeps one instance per unfinished job. */
export class JobProgress {
  readonly #spec: CellJobSpec;
  readonly #steps = new Map<string, StepProgress>();

  private constructor(spec: CellJobSpec) {
    this.#spec = spec;
  }

  static create(spec: CellJobSpec, record: ProgressRecord = {}): JobProgress {
    const progress = new JobProgress(spec);
    for (const [key, step] of Object.entries(record)) {
      const stepProgress = progress.#getOrCreateStep(key, step.crashes);
      step.done.forEach((index) => stepProgress.done.add(index));
      step.checkpoints.forEach(([index, text]) =>
        stepProgress.checkpoints.set(index, text)
      );
      if (progress.#isPersistent(key)) continue;
      step.failures.forEach(([index, run]) =>
        addFailure(stepProgress.failedRuns, index, run)
      );
    }
    return progress;
  }

  /** Number of occurrences. */
  get occurrences(): number {
    return this.#spec.recurrence?.times ?? 1;
  }

  /** Wall-clock time from which an occurrence may start; undefined if the job does not recur. */
  getDueUnixMs(occurrence: number): number | undefined {
    const { recurrence } = this.#spec;
    if (recurrence === undefined) return undefined;
    return recurrence.firstRunUnixMs + occurrence * recurrence.intervalMs;
  }

  /** Whether the occurrence is due and all steps that `step` depends on are done in it. */
  isDue(occurrence: number, step: number, nowUnixMs: number): boolean {
    const dueUnixMs = this.getDueUnixMs(occurrence);
    if (dueUnixMs !== undefined && nowUnixMs < dueUnixMs) return false;
    return this.#getStepSpec(step).after.every((earlier) =>
      this.isStepDone(occurrence, earlier)
    );
  }

  isStepDone(occurrence: number, step: number): boolean {
    const spec = this.#getStepSpec(step);
    if (spec.isPersistent) return false;
    const done = this.#steps.get(formatStepKey(occurrence, step))?.done.size ??
      0;
    return done >= countUnits(spec);
  }

  isUnitDone({ occurrence, step, index }: UnitAddress): boolean {
    const stepProgress = this.#steps.get(formatStepKey(occurrence, step));
    return stepProgress?.done.has(index) ?? false;
  }

  isComplete(): boolean {
    for (let occurrence = 0; occurrence < this.occurrences; occurrence++) {
      const isDone = this.#spec.steps.every((_, step) =>
        this.isStepDone(occurrence, step)
      );
      if (!isDone) return false;
    }
    return true;
  }

  /**
   * Number of failed runs of the unit; a run that is reported twice counts once. Those of persistent
   * steps, which have no limit of attempts, are not counted.
   */
  countFailures({ occurrence, step, index }: UnitAddress): number {
    const stepProgress = this.#steps.get(formatStepKey(occurrence, step));
    return stepProgress?.failedRuns.get(index)?.size ?? 0;
  }

  /** Whether the job can't complete any more. */
  isFailed(): boolean {
    return this.findFailure() !== undefined;
  }

  /** Why the job can't complete any more; undefined while it can. */
  findFailure(): JobFailure | undefined {
    for (const [key, step] of this.#steps) {
      const index = this.#findFailedUnit(step);
      if (index !== undefined) {
        const unit = { ...parseStepKey(key), index };
        return { reason: FAILURE_REASON.ATTEMPTS, unit };
      }
      const crashed = step.crashes.indexes.find((index) =>
        isGivenUp(step.crashes.get(index)) && !step.done.has(index)
      );
      if (crashed !== undefined) {
        const unit = { ...parseStepKey(key), index: crashed };
        return { reason: FAILURE_REASON.CRASHES, unit };
      }
    }
    return undefined;
  }

  /**
   * A unit that has failed `maximumAttempts` times, the limit of the job's queue; failures of
   * persistent steps are not recorded.
   */
  #findFailedUnit(step: StepProgress): number | undefined {
    const limit = this.#spec.maximumAttempts;
    return [...step.failedRuns].find(([index, runs]) =>
      runs.size >= limit && !step.done.has(index)
    )?.[0];
  }

  /** Whether it shows that a task has run: a unit is done, has failed or has a checkpoint. */
  get hasRun(): boolean {
    return [...this.#steps.values()].some(({ done, failedRuns, checkpoints }) =>
      done.size > 0 || failedRuns.size > 0 || checkpoints.size > 0
    );
  }

  /** Whether any unit has crashes. */
  get hasCrashes(): boolean {
    return [...this.#steps.values()].some(({ crashes }) => !crashes.isEmpty);
  }

  /** Crashes of the unit's workers since its last run that lasted. */
  getCrashes({ occurrence, step, index }: UnitAddress): readonly Crash[] {
    const stepProgress = this.#steps.get(formatStepKey(occurrence, step));
    return stepProgress?.crashes.get(index) ?? [];
  }

  /** Whether a unit of the step is done. */
  hasDoneUnit({ occurrence, step }: UnitAddress): boolean {
    const stepProgress = this.#steps.get(formatStepKey(occurrence, step));
    return (stepProgress?.done.size ?? 0) > 0;
  }

  /** Newest checkpoint of the unit; empty if there is none. */
  getCheckpoint({ occurrence, step, index }: UnitAddress): string {
    const stepProgress = this.#steps.get(formatStepKey(occurrence, step));
    return stepProgress?.checkpoints.get(index) ?? "";
  }

  recordDone({ occurrence, step, index }: UnitAddress): void {
    const stepProgress = this.#getOrCreateStep(formatStepKey(occurrence, step));
    stepProgress.done.add(index);
    stepProgress.checkpoints.delete(index);
    stepProgress.crashes.clear(index);
  }

  recordFailure(
    { occurrence, step, index }: UnitAddress,
    run: number,
  ): void {
    // Persistent steps fail any number of times, so the record would grow without a bound.
    if (this.#getStepSpec(step).isPersistent) return;
    const stepProgress = this.#getOrCreateStep(formatStepKey(occurrence, step));
    addFailure(stepProgress.failedRuns, index, run);
  }

  recordCrash({ occurrence, step, index }: UnitAddress, crash: Crash): void {
    this.#getOrCreateStep(formatStepKey(occurrence, step)).crashes.record(
      index,
      crash,
    );
  }

  /** A run of the unit has lasted, so that its earlier crashes count no more. */
  clearCrashes({ occurrence, step, index }: UnitAddress): void {
    this.#steps.get(formatStepKey(occurrence, step))?.crashes.clear(index);
  }

  recordCheckpoint(
    { occurrence, step, index }: UnitAddress,
    text: string,
  ): void {
    if (text === "") return;
    this.#getOrCreateStep(formatStepKey(occurrence, step)).checkpoints.set(
      index,
      text,
    );
  }

  toRecord(): ProgressRecord {
    return Object.fromEntries(
      [...this.#steps].map(([key, step]) => [key, {
        done: [...step.done],
        failures: [...step.failedRuns].flatMap(([index, runs]) =>
          [...runs].map((run) => [index, run] as const)
        ),
        checkpoints: [...step.checkpoints],
        ...(step.crashes.isEmpty ? {} : { crashes: step.crashes.toRecords() }),
      }]),
    );
  }

  #isPersistent(key: string): boolean {
    return this.#spec.steps[parseStepKey(key).step]?.isPersistent ?? false;
  }

  #getStepSpec(step: number): StepSpec {
    const spec = this.#spec.steps[step];
    if (spec === undefined) {
      throw new RangeError(`job ${this.#spec.jobId} has no step ${step}`);
    }
    return spec;
  }

  #getOrCreateStep(
    key: string,
    crashes: readonly CrashRecord[] = [],
  ): StepProgress {
    const known = this.#steps.get(key);
    if (known !== undefined) return known;
    const created: StepProgress = {
      done: new Set(),
      failedRuns: new Map(),
      checkpoints: new Map(),
      crashes: CrashLog.create(crashes),
    };
    this.#steps.set(key, created);
    return created;
  }
}

/** The step of a key that `formatStepKey` returned. */
function parseStepKey(key: string): Pick<UnitAddress, "occurrence" | "step"> {
  const [occurrence = 0, step = 0] = key.split(".").map(Number);
  return { occurrence, step };
}

function addFailure(
  runsByIndex: Map<number, Set<number>>,
  index: number,
  run: number,
): void {
  const runs = runsByIndex.get(index) ?? new Set();
  runs.add(run);
  runsByIndex.set(index, runs);
}
