/** A job that has not ended, with its units that are due, as the lease holder schedules it. */
import type { WorkerName } from "@coltsfootpond/common";
import {
  type CellJobId,
  type CellJobSpec,
  countUnits,
  getCountedNeed,
  type JobFailure,
  JobProgress,
  type StepSpec,
  type TaskName,
  type UnitAddress,
} from "@coltsfootpond/policy";
import { createAccount } from "./quotas/run_account.ts";
import type { EndedState, PlacementRecord } from "./rows.ts";
import type { TaskRun } from "./task_run.ts";
import type { WorkerSession } from "./worker_session.ts";

/** One run of a unit: a task, or all tasks of a gang. */
export interface UnitRun {
  readonly run: number;
  /** The worker of each task run that may still be running. */
  readonly taskRuns: Map<TaskRun, WorkerSession>;
  /** Start of the incarnation of each worker that the run was placed on or adopted from. */
  readonly incarnations: Map<WorkerName, number>;
  readonly startedMs: number;
  /** The placement is not stored yet, so no start has been sent. */
  isPending: boolean;
  /** The run is being stopped, or it ends because one of its tasks ended. */
  isClosing: boolean;
}

/** A run that an earlier lease holder has placed. */
export interface EarlierRun {
  /** 0 when it is not known. */
  readonly run: number;
  /** Start of the incarnation of each worker; 0 when it is not known. */
  readonly incarnations: ReadonlyMap<WorkerName, number>;
}

/** Runs that may be running although they belong to no unit's present run. */
export interface OtherRuns {
  /** Whether the worker may run tasks of an earlier lease holder that are not known yet. */
  readonly isUnreported: (worker: WorkerName) => boolean;
  /** Workers of the job's stray runs, by unit key. */
  readonly strayWorkers: ReadonlyMap<string, readonly WorkerName[]>;
}

/** What is placed and started as one: a single task, or all tasks of a gang. */
export interface Unit {
  readonly job: LiveJob;
  readonly address: UnitAddress;
  readonly step: StepSpec;
  readonly stepKey: string;
  /** Number of tasks that start as one: 1, or the tasks of the gang. */
  readonly count: number;
  /** When it became due, or when its last run was over, on the process's clock. */
  waitingSinceMs: number;
  run: UnitRun | undefined;
  /** Whether this lease holder placed the unit itself, which rules out earlier runs of it. */
  wasPlacedByThisHolder: boolean;
  readonly failedOn: Set<WorkerName>;
}

/** A job with its progress and its units. */
export class LiveJob {
  readonly spec: CellJobSpec;
  readonly progress: JobProgress;
  readonly units = new Map<string, Unit>();
  /** Version of the job's row, for conditional writes. */
  rowVersion: number;
  /** Version of its progress row; 0 when there is none. */
  progressVersion: number;
  /** Number of further rows of its progress that may be stored, at most. */
  progressParts = 0;
  /** Ids of writes of the progress row that may have taken effect. */
  readonly writeIds = new Set<string>();
  /** Workers on which an earlier lease holder may have started units, by unit key. */
  readonly earlierPlacements: ReadonlyMap<string, readonly WorkerName[]>;
  /** The same placements with run numbers and incarnations; empty for rows of earlier versions. */
  readonly earlierRuns: ReadonlyMap<string, EarlierRun>;
  /**
   * Whether a worker has started a task of it: it accepted the start, listed the run, or listed its
   * end. A placement, a refused start and one without an answer show nothing.
   */
  hasBegun = false;
  /**
   * Its row has changed and cannot be decoded, so it may have ended: nothing is started and its end
   * is not written, but the ends of its runs are still recorded.
   */
  isHeld = false;
  /** How many units may run at once; limited once the store can't take their placements. */
  #maximumRuns = Number.POSITIVE_INFINITY;
  /** How the job ends, once that is certain; its row may not be written yet. */
  ending: EndedState | undefined;
  /** Why it ends as failed. */
  failure: JobFailure | undefined;

  private constructor(
    spec: CellJobSpec,
    progress: JobProgress,
    rowVersion: number,
    progressVersion: number,
    earlierPlacements: ReadonlyMap<string, readonly WorkerName[]>,
    earlierRuns: ReadonlyMap<string, EarlierRun>,
  ) {
    this.spec = spec;
    this.progress = progress;
    this.rowVersion = rowVersion;
    this.progressVersion = progressVersion;
    this.earlierPlacements = earlierPlacements;
    this.earlierRuns = earlierRuns;
  }

  static create(options: {
    readonly spec: CellJobSpec;
    readonly progress: JobProgress;
    readonly rowVersion: number;
    readonly progressVersion: number;
    readonly placements?: readonly PlacementRecord[];
  }): LiveJob {
    const { spec, progress, rowVersion, progressVersion } = options;
    const earlier = new Map(
      options.placements?.map(([unit, , workers]) => [unit, workers]),
    );
    const earlierRuns = new Map(
      options.placements?.flatMap(([unit, run, workers, starts]) =>
        starts === undefined
          ? []
          : [[unit, { run, incarnations: zip(workers, starts) }]]
      ),
    );
    return new LiveJob(
      spec,
      progress,
      rowVersion,
      progressVersion,
      earlier,
      earlierRuns,
    );
  }

  /**
   * Placements of all runs that may be running. Until this lease holder has placed a unit itself,
   * they include the workers of an earlier holder's placement that have not reported yet: one of
   * them may run a task of a gang of which this holder has adopted the others. Stray runs count
   * until they are gone, however they came about.
   */
  listPlacements(
    { isUnreported, strayWorkers }: OtherRuns,
  ): readonly PlacementRecord[] {
    // An occurrence that an earlier holder placed may not be due on this entry's wall clock.
    const keys = new Set([
      ...this.units.keys(),
      ...this.earlierPlacements.keys(),
      ...strayWorkers.keys(),
    ]);
    return [...keys].flatMap((key) => {
      const unit = this.units.get(key);
      const isDone = unit === undefined &&
        this.progress.isUnitDone(parseUnitKey(key));
      const own = [...unit?.run?.taskRuns.values() ?? []];
      const workers = new Set([
        ...own.map(({ worker }) => worker),
        ...isDone || unit?.wasPlacedByThisHolder
          ? []
          : this.earlierPlacements.get(key)?.filter(isUnreported) ?? [],
        ...strayWorkers.get(key) ?? [],
      ]);
      if (unit?.run === undefined && workers.size === 0) return [];
      const earlier = this.earlierRuns.get(key);
      const run = unit?.run?.run ?? earlier?.run ?? 0;
      const incarnations = [...workers].map((worker) =>
        unit?.run?.incarnations.get(worker) ??
          earlier?.incarnations.get(worker) ?? 0
      );
      return [
        incarnations.some((startUnixMs) => startUnixMs !== 0)
          ? [key, run, [...workers], incarnations] as const
          : [key, run, [...workers]] as const,
      ];
    });
  }

  /** Runs whose starts wait until their placement is stored, with their units. */
  listPending(): readonly (readonly [Unit, UnitRun])[] {
    return [...this.units.values()].flatMap((unit) =>
      unit.run?.isPending ? [[unit, unit.run] as const] : []
    );
  }

  /** Halves the number of units that may run at once, as the store can't take so many placements. */
  halveMaximumRuns(): void {
    this.#maximumRuns = Math.floor(this.#countRuns() / 2);
  }

  /** How many more of its units may run at once. */
  countStartable(): number {
    return this.#maximumRuns === Number.POSITIVE_INFINITY
      ? this.#maximumRuns
      : Math.max(0, this.#maximumRuns - this.#countRuns());
  }

  #countRuns(): number {
    return [...this.units.values()].filter(({ run }) => run !== undefined)
      .length;
  }

  get jobId(): CellJobId {
    return this.spec.jobId;
  }

  /** Adds the units of steps that have become due. */
  openDueUnits(nowMs: number, nowUnixMs: number): void {
    for (
      let occurrence = 0;
      occurrence < this.progress.occurrences;
      occurrence++
    ) {
      for (const [step, spec] of this.spec.steps.entries()) {
        if (!this.progress.isDue(occurrence, step, nowUnixMs)) continue;
        for (let index = 0; index < countUnits(spec); index++) {
          this.#openUnit({ occurrence, step, index }, spec, nowMs);
        }
      }
    }
  }

  /** When the next occurrence becomes due; undefined when there is none. */
  nextDueUnixMs(nowUnixMs: number): number | undefined {
    for (
      let occurrence = 0;
      occurrence < this.progress.occurrences;
      occurrence++
    ) {
      const dueUnixMs = this.progress.getDueUnixMs(occurrence);
      if (dueUnixMs !== undefined && dueUnixMs > nowUnixMs) return dueUnixMs;
    }
    return undefined;
  }

  /** Units that are not done and have no run. */
  *waitingUnits(): IterableIterator<Unit> {
    for (const unit of this.units.values()) {
      if (unit.run === undefined) yield unit;
    }
  }

  #openUnit(address: UnitAddress, step: StepSpec, nowMs: number): void {
    const key = formatUnitKey(address);
    if (this.units.has(key) || this.progress.isUnitDone(address)) return;
    this.units.set(key, {
      job: this,
      address,
      step,
      stepKey: `${this.jobId}.${address.occurrence}.${address.step}`,
      count: step.isGang ? step.count : 1,
      waitingSinceMs: nowMs,
      run: undefined,
      wasPlacedByThisHolder: false,
      failedOn: new Set(),
    });
  }
}

function zip<Key, Value>(
  keys: readonly Key[],
  values: readonly Value[],
): ReadonlyMap<Key, Value> {
  return new Map(keys.map((key, position) => [key, values[position]!]));
}

/** A unit, whether or not it is open. */
export interface UnitOfJob {
  readonly job: LiveJob;
  readonly address: UnitAddress;
}

/** The job, step and unit that a task belongs to. */
export interface TaskLocation extends UnitOfJob {
  readonly step: StepSpec;
  readonly stepKey: string;
}

/** A unit's name in logs: `{job}.{occurrence}.{step}.{index}`. */
export function describeUnit(unit: Unit): string {
  return `${unit.job.jobId}.${formatUnitKey(unit.address)}`;
}

/**
 * Whether an earlier lease holder placed the unit on a worker that has not reported yet, which may
 * run its task, or one task of its gang while this holder has adopted the others.
 */
export function mayStillRunUnreported(
  unit: Unit,
  isUnreported: (worker: WorkerName) => boolean,
): boolean {
  if (unit.wasPlacedByThisHolder) return false;
  const workers = unit.job.earlierPlacements.get(formatUnitKey(unit.address));
  return workers?.some(isUnreported) ?? false;
}

/** Key of a unit within its job: `{occurrence}.{step}.{index}`. */
export function formatUnitKey(
  { occurrence, step, index }: UnitAddress,
): string {
  return `${occurrence}.${step}.${index}`;
}

/** The address of a key that `formatUnitKey` returned. */
export function parseUnitKey(key: string): UnitAddress {
  const [occurrence = 0, step = 0, index = 0] = key.split(".").map(Number);
  return { occurrence, step, index };
}

/** Name of one task of a unit; `taskIndex` counts the tasks of a gang. */
export function formatTaskName(unit: Unit, taskIndex: number): TaskName {
  const index = unit.step.isGang ? taskIndex : unit.address.index;
  return `${unit.stepKey}.${index}` as TaskName;
}

/** Splits a task name; undefined when it does not have the format of `formatTaskName`. */
export function parseTaskName(
  task: TaskName,
):
  | (UnitAddress & { readonly jobId: CellJobId })
  | undefined {
  const parts = task.split(".");
  const [jobId, occurrence, step, index] = parts;
  if (parts.length !== 4 || jobId === undefined) return undefined;
  const texts = [occurrence, step, index];
  const numbers = texts.map(Number);
  const isCanonical = numbers.every((number, position) =>
    Number.isSafeInteger(number) && number >= 0 &&
    String(number) === texts[position]
  );
  if (!isCanonical) return undefined;
  return {
    jobId: jobId as CellJobId,
    occurrence: numbers[0]!,
    step: numbers[1]!,
    index: numbers[2]!,
  };
}

/** Creates the record of a task run that is about to be started. */
export function createTaskRun(unit: Unit, index: number, run: number): TaskRun {
  return {
    task: formatTaskName(unit, index),
    run,
    need: getCountedNeed(unit.step),
    account: createAccount(unit.job, unit.step),
    stepKey: unit.stepKey,
    startSentMs: undefined,
    startAnsweredMs: undefined,
    isListed: false,
    isStopping: false,
    stopAnsweredMs: undefined,
    checkpoint: unit.job.progress.getCheckpoint(unit.address),
    percent: 0,
    percentChangedClockMs: 0,
    percentReportedClockMs: 0,
    firstReportedClockMs: undefined,
    lostContact: undefined,
  };
}
