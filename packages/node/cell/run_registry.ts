/**
 * The runs in progress: which task of which unit runs on which worker. Starts, adopts and stops
 * runs. A stray run is one that a worker reports and that this lease holder did not start; it is
 * adopted if its unit is live and has no newer run, and stopped otherwise.
 */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import { getCountedNeed, type TaskName } from "@coltsfootpond/policy";
import type { RunningTask } from "@coltsfootpond/ports";
import { RUNS_PER_EPOCH } from "./constants.ts";
import {
  BACKGROUND_ACTIVITY,
  type BackgroundActivity,
} from "./background/activities.ts";
import { runInBackground } from "./background/run_in_background.ts";
import {
  createTaskRun,
  describeUnit,
  formatUnitKey,
  type LiveJob,
  type TaskLocation,
  type Unit,
  type UnitRun,
} from "./live_job.ts";
import type { CellLog, LogFields } from "./log.ts";
import type { QuotaExcess } from "./quotas/organisation_quotas.ts";
import { createAccount, type RunAccount } from "./quotas/run_account.ts";
import type { TaskRun } from "./task_run.ts";
import type { WorkerSession } from "./worker_session.ts";

const { RESOLVE_STRAY, START_TASK, STOP_TASK } = BACKGROUND_ACTIVITY;
const NO_RESOURCES = { cpuMilli: 0, memoryMib: 0, accelerators: 0 };

export interface RunRegistryOptions {
  readonly epoch: number;
  readonly clock: Clock;
  readonly log: CellLog;
  readonly canAct: () => boolean;
  readonly getSession: (worker: WorkerName) => WorkerSession | undefined;
  /** Whether the worker is usable and has room for all tasks that are placed there. */
  readonly mayStart: (worker: WorkerName) => boolean;
  /** What a run of a task whose job is not live counts as in the usage of organisations. */
  readonly findAccountOfEnded: (task: TaskName) => RunAccount;
  /** The excess over the quota of the unit's organisation, with the unit's reservations. */
  readonly findQuotaExcess: (unit: Unit) => QuotaExcess | undefined;
  /** The job, step and unit of a task; undefined when its job is not live. */
  readonly locateTask: (task: TaskName) => TaskLocation | undefined;
  /** Why the workers of an earlier lease holder's placement no longer count, for the log. */
  readonly describeEarlierWorkers: (
    workers: readonly WorkerName[],
  ) => LogFields;
  /** A run is over: its capacity is free and its unit may wait again. */
  readonly onFinished: () => void;
}

/** All runs of one epoch. */
export class RunRegistry {
  readonly #options: RunRegistryOptions;
  readonly #unitByTaskRun = new Map<TaskRun, Unit>();
  readonly #strays = new Map<TaskRun, WorkerSession>();
  #nextRun: number;

  private constructor(options: RunRegistryOptions) {
    this.#options = options;
    this.#nextRun = options.epoch * RUNS_PER_EPOCH;
  }

  static create(options: RunRegistryOptions): RunRegistry {
    return new RunRegistry(options);
  }

  /** Number of task runs that belong to a unit's run. */
  get size(): number {
    return this.#unitByTaskRun.size;
  }

  /** The unit to whose run the task run belongs; undefined for a stray run. */
  getUnit(taskRun: TaskRun): Unit | undefined {
    return this.#unitByTaskRun.get(taskRun);
  }

  /** Reserves the capacity for a run; `sendStarts` follows once the placement is stored. */
  place(unit: Unit, workers: readonly WorkerName[]): void {
    const nowMs = this.#options.clock.nowMs();
    const run = this.#open(unit, ++this.#nextRun, true);
    const earlierPlacement = this.#describeEarlierPlacement(unit);
    unit.wasPlacedByThisHolder = true;
    this.#options.log.info("unit.started", {
      unit: describeUnit(unit),
      run: run.run,
      workers,
      waitedMs: Math.round(nowMs - unit.waitingSinceMs),
      earlierPlacement,
    });
    for (const [index, worker] of workers.entries()) {
      const session = this.#options.getSession(worker);
      if (session === undefined) continue;
      const taskRun = createTaskRun(unit, index, run.run);
      session.reserve(taskRun);
      run.taskRuns.set(taskRun, session);
      run.incarnations.set(worker, session.incarnationStartUnixMs);
      this.#unitByTaskRun.set(taskRun, unit);
    }
  }

  /**
   * Sends the starts after the unit's placement is stored, so that a later lease holder can find
   * the run.
   */
  sendStarts(unit: Unit): void {
    const { run, job } = unit;
    if (run === undefined || !run.isPending || run.isClosing) return;
    if (!this.#options.canAct()) {
      this.close(unit, "the lease is in doubt");
      return;
    }
    // The worker may have changed while the placement was being stored.
    const unusable = [...run.taskRuns.values()].find(({ worker }) =>
      !this.#options.mayStart(worker)
    );
    if (unusable !== undefined) {
      this.close(unit, `${unusable.worker} has changed since the placement`);
      return;
    }
    // The quota may have fallen, and stray runs may have been found, in the meantime.
    const excess = this.#options.findQuotaExcess(unit);
    if (excess !== undefined) {
      this.close(unit, "over the quota since the placement", { ...excess });
      return;
    }
    run.isPending = false;
    for (const [taskRun, session] of run.taskRuns) {
      this.#runInBackground(
        START_TASK,
        session,
        taskRun,
        () => session.start(taskRun, job.spec.payload),
      );
    }
  }

  /** Ends the unit's run: every task run that may still be running is stopped. */
  close(unit: Unit, reason: string, inputs: LogFields = {}): void {
    const { run } = unit;
    if (run === undefined) return;
    if (!run.isClosing) {
      run.isClosing = true;
      this.#options.log.info("unit.closing", {
        unit: describeUnit(unit),
        run: run.run,
        reason,
        members: run.taskRuns.size,
        ...inputs,
      });
      this.#stopTaskRuns(run);
    }
    this.#finish(unit, run);
  }

  /** Removes a task run that is gone; returns the unit to whose run it belonged. */
  drop(taskRun: TaskRun): Unit | undefined {
    const unit = this.#unitByTaskRun.get(taskRun);
    this.#strays.delete(taskRun);
    this.#unitByTaskRun.delete(taskRun);
    unit?.run?.taskRuns.delete(taskRun);
    return unit;
  }

  /** Registers a stray run that a worker reports. */
  addStray(session: WorkerSession, running: RunningTask): TaskRun {
    const location = this.#options.locateTask(running.task);
    const taskRun = session.adopt(running, {
      need: location === undefined
        ? NO_RESOURCES
        : getCountedNeed(location.step),
      account: location === undefined
        ? this.#options.findAccountOfEnded(running.task)
        : createAccount(location.job, location.step),
      stepKey: location?.stepKey ?? "",
    });
    this.#strays.set(taskRun, session);
    return taskRun;
  }

  /** Adopts or stops every stray run. */
  resolveStrays(): void {
    for (const [taskRun, session] of [...this.#strays]) {
      this.#runInBackground(
        RESOLVE_STRAY,
        session,
        taskRun,
        () => this.resolveStray(taskRun),
      );
    }
  }

  /** Adopts or stops a stray run; until it is gone its unit starts nothing. */
  resolveStray(taskRun: TaskRun): void {
    const session = this.#strays.get(taskRun);
    if (session === undefined) return;
    const location = this.#options.locateTask(taskRun.task);
    const unit = location?.job.units.get(formatUnitKey(location.address));
    if (unit !== undefined && this.#mayAdopt(unit, taskRun.run)) {
      const run = unit.run ?? this.#open(unit, taskRun.run, false);
      run.taskRuns.set(taskRun, session);
      run.incarnations.set(session.worker, session.incarnationStartUnixMs);
      this.#unitByTaskRun.set(taskRun, unit);
      this.#strays.delete(taskRun);
      this.#options.log.info("task.adopted", {
        task: taskRun.task,
        run: run.run,
        ...session.target,
        epoch: this.#options.epoch,
        incarnationStartUnixMs: session.incarnationStartUnixMs,
        members: run.taskRuns.size,
        count: unit.count,
      });
      return;
    }
    this.#options.log.warn("task.stray", {
      task: taskRun.task,
      run: taskRun.run,
      ...session.target,
      epoch: this.#options.epoch,
      incarnationStartUnixMs: session.incarnationStartUnixMs,
      unitRun: unit?.run?.run,
      reason: this.#describeStray(unit, taskRun.run),
    });
    this.stopTaskRun(session, taskRun);
  }

  /** Stops a task run on its worker; the outcome is passed to the listener of the session. */
  stopTaskRun(session: WorkerSession, taskRun: TaskRun): void {
    this.#runInBackground(
      STOP_TASK,
      session,
      taskRun,
      () => session.stopTaskRun(taskRun),
    );
  }

  #runInBackground(
    activity: BackgroundActivity,
    { target }: WorkerSession,
    { task, run }: TaskRun,
    work: () => unknown,
  ): void {
    const fields = { ...target, task, run };
    runInBackground(this.#options.log, activity, work, fields);
  }

  /** Workers of the job's stray runs, by unit key. */
  listStrayWorkers(job: LiveJob): ReadonlyMap<string, readonly WorkerName[]> {
    const workers = new Map<string, WorkerName[]>();
    for (const [{ task }, { worker }] of this.#strays) {
      const location = this.#options.locateTask(task);
      if (location?.job !== job) continue;
      const key = formatUnitKey(location.address);
      workers.set(key, [...workers.get(key) ?? [], worker]);
    }
    return workers;
  }

  /** Units, as `describeUnit` names them, that have a stray run. */
  listStrayUnits(): ReadonlySet<string> {
    return new Set(
      [...this.#strays.keys()].flatMap(({ task }) => {
        const location = this.#options.locateTask(task);
        if (location === undefined) return [];
        return [`${location.job.jobId}.${formatUnitKey(location.address)}`];
      }),
    );
  }

  #open(unit: Unit, number: number, isPending: boolean): UnitRun {
    const run: UnitRun = {
      run: number,
      taskRuns: new Map(),
      incarnations: new Map(),
      startedMs: this.#options.clock.nowMs(),
      isPending,
      isClosing: false,
    };
    unit.run = run;
    return run;
  }

  #stopTaskRuns(run: UnitRun): void {
    for (const [taskRun, session] of [...run.taskRuns]) {
      if (run.isPending) {
        session.release(taskRun);
        this.drop(taskRun);
      } else {
        this.stopTaskRun(session, taskRun);
      }
    }
  }

  #finish(unit: Unit, run: UnitRun): void {
    if (run.taskRuns.size > 0 || unit.run !== run) return;
    unit.run = undefined;
    unit.waitingSinceMs = this.#options.clock.nowMs();
    if (unit.job.progress.isUnitDone(unit.address)) {
      unit.job.units.delete(formatUnitKey(unit.address));
    }
    this.#options.onFinished();
  }

  /** Undefined when no earlier lease holder placed the unit. */
  #describeEarlierPlacement(unit: Unit): LogFields | undefined {
    const { earlierPlacements } = unit.job;
    const workers = earlierPlacements.get(formatUnitKey(unit.address));
    if (workers === undefined) return undefined;
    return {
      ...this.#options.describeEarlierWorkers(workers),
      wasPlacedByThisHolder: unit.wasPlacedByThisHolder,
    };
  }

  /** Why the run is not adopted. */
  #describeStray(unit: Unit | undefined, run: number): string {
    if (unit === undefined) return "the task needs no run";
    if (this.#isOwn(run)) return "a run of this epoch that was taken as over";
    return unit.run?.run === run
      ? "its run is being ended"
      : "the unit has another run";
  }

  #isOwn(run: number): boolean {
    return run > this.#options.epoch * RUNS_PER_EPOCH;
  }

  /** Runs of earlier lease holders are adopted unless the unit has a newer run. */
  #mayAdopt(unit: Unit, run: number): boolean {
    if (this.#isOwn(run)) return false;
    return unit.run === undefined ||
      unit.run.run === run && !unit.run.isClosing;
  }
}
