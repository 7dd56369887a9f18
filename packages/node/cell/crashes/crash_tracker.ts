/**
 * Attributes lost workers to the runs that they had. A worker's process ends for many reasons, so
 * other workers that are lost at the same time count as evidence against one run's being the cause.
 */
import type { WorkerName } from "@coltsfootpond/common";
import {
  type CellJobId,
  classifyLostRun,
  type Crash,
  CRASH_EVIDENCE,
  hasLasted,
  type LostRun,
} from "@coltsfootpond/policy";
import { findCrashedEarlierRun, type GetSession } from "./earlier_runs.ts";
import {
  describeUnit,
  formatUnitKey,
  type LiveJob,
  type Unit,
  type UnitOfJob,
} from "../live_job.ts";
import type { CellLog } from "../log.ts";
import {
  computeSurvivedMs,
  type GoneEvidence,
  type LostContact,
  type TaskRun,
} from "../task_run.ts";
import type { WorkerSession } from "../worker_session.ts";

/** Workers that are lost within this time of each other may have one cause. */
const COINCIDENCE_MS = 1_000;
/** The same for workers that fall silent, as calls time out at different times. */
const SILENCE_COINCIDENCE_MS = 2_000;
/** Longer than it takes until a lost run is known to be over. */
const LOSS_RETENTION_MS = 30_000;

export interface EarlierRunChecks {
  readonly getSession: GetSession;
  /** Whether a row stands under the worker's name that names no worker to use. */
  readonly hasUnusableRecord: (worker: WorkerName) => boolean;
  /** Whether the unit may have a run that no report has shown yet. */
  readonly isBlocked: (unit: Unit) => boolean;
}

export interface CrashTrackerOptions {
  readonly log: CellLog;
  readonly locateTask: (task: TaskRun["task"]) => UnitOfJob | undefined;
  readonly applyCrash: (unit: UnitOfJob, crash: Crash) => void;
}

/** A worker with which contact was lost. */
interface WorkerLoss extends LostContact {
  readonly worker: WorkerName;
  /** Jobs of the runs there that had not lasted yet. */
  readonly jobIds: ReadonlySet<CellJobId>;
}

/** Counts crashes under the units of one lease holder. */
export class CrashTracker {
  readonly #options: CrashTrackerOptions;
  #losses: readonly WorkerLoss[] = [];
  /** Units whose earlier run has been found to be over or running. */
  readonly #checkedUnits = new WeakSet<Unit>();

  private constructor(options: CrashTrackerOptions) {
    this.#options = options;
  }

  static create(options: CrashTrackerOptions): CrashTracker {
    return new CrashTracker(options);
  }

  recordLostContact(
    { worker, taskRuns }: WorkerSession,
    contact: LostContact,
  ): void {
    const { locateTask } = this.#options;
    const jobIds = taskRuns.flatMap((taskRun) => {
      const location = locateTask(taskRun.task);
      return location === undefined || hasLasted(computeSurvivedMs(taskRun))
        ? []
        : [location.job.jobId];
    });
    this.#losses = [
      ...this.#losses.filter(({ atMs }) =>
        contact.atMs - atMs < LOSS_RETENTION_MS
      ),
      { ...contact, worker, jobIds: new Set(jobIds) },
    ];
  }

  /** Records a crash if the run's worker has ended under it; called before the unit waits again. */
  recordGone(
    session: WorkerSession,
    taskRun: TaskRun,
    { processFate }: GoneEvidence,
  ): void {
    const { locateTask } = this.#options;
    const location = locateTask(taskRun.task);
    if (location === undefined || session.isDraining) return;
    const wasSent = taskRun.startSentMs !== undefined ||
      taskRun.startAnsweredMs !== undefined;
    const hasEnded = processFate === "ended" ||
      processFate === "unknown" && taskRun.lostContact?.isClosed === true;
    if (wasSent && hasEnded) this.#recordLost(location, session, taskRun);
  }

  /** Counts the runs of an earlier lease holder whose workers have ended under them. */
  recordEarlierRuns(jobs: readonly LiveJob[], checks: EarlierRunChecks): void {
    for (const job of jobs) {
      for (const key of job.earlierRuns.keys()) {
        const unit = job.units.get(key);
        if (unit !== undefined) this.#checkEarlierRun(unit, checks);
      }
    }
  }

  /** Checks once, as a worker that restarts later has not crashed under the run. */
  #checkEarlierRun(unit: Unit, checks: EarlierRunChecks): void {
    if (this.#checkedUnits.has(unit) || checks.isBlocked(unit)) return;
    this.#checkedUnits.add(unit);
    const lost = findCrashedEarlierRun(
      unit,
      checks.getSession,
      checks.hasUnusableRecord,
    );
    if (lost !== undefined) this.#recordEarlier(unit, lost);
  }

  #recordEarlier(
    unit: Unit,
    { run, worker }: { readonly run: number; readonly worker: WorkerName },
  ): void {
    const { job, address } = unit;
    const known = job.progress.getCrashes(address);
    if (known.some((crash) => crash.run === run)) return;
    const evidence = CRASH_EVIDENCE.UNCERTAIN;
    this.#options.applyCrash(unit, { run, evidence, machine: worker });
    this.#options.log.warn("worker.crashed", {
      unit: describeUnit(unit),
      run,
      worker,
      evidence,
      crashes: known.length + 1,
    });
  }

  /** Clears the crashes of units whose present run has lasted. */
  clearSurvivors(jobs: readonly LiveJob[]): void {
    for (const job of jobs) {
      if (!job.progress.hasCrashes) continue;
      for (const unit of job.units.values()) this.#clearIfLasted(unit);
    }
  }

  #recordLost(
    location: UnitOfJob,
    { worker, target }: WorkerSession,
    taskRun: TaskRun,
  ): void {
    const { job, address } = location;
    const { task, run, startSentMs, lostContact } = taskRun;
    const lostRun: LostRun = {
      isClosed: lostContact?.isClosed,
      lostAfterMs: startSentMs === undefined || lostContact === undefined
        ? undefined
        : lostContact.atMs - startSentMs,
      survivedMs: computeSurvivedMs(taskRun),
      otherLostWorkers: this.#countOtherLosses(worker, job.jobId, lostContact),
    };
    const evidence = classifyLostRun(lostRun);
    job.units.get(formatUnitKey(address))?.failedOn.add(worker);
    if (evidence !== undefined) {
      this.#options.applyCrash(location, {
        run,
        evidence,
        machine: target.address,
      });
    }
    this.#options.log.warn("worker.crashed", {
      task,
      run,
      ...target,
      evidence: evidence ?? "none",
      ...lostRun,
      crashes: job.progress.getCrashes(address).length,
    });
  }

  /**
   * Other workers that were lost alike at about the same time. New runs of the same job may have
   * crashed theirs, but a worker whose process crashes does not fall silent.
   */
  #countOtherLosses(
    worker: WorkerName,
    jobId: CellJobId,
    contact: LostContact | undefined,
  ): number {
    if (contact === undefined) return 0;
    const { atMs, isClosed } = contact;
    const windowMs = isClosed ? COINCIDENCE_MS : SILENCE_COINCIDENCE_MS;
    const others = this.#losses.filter((loss) =>
      loss.worker !== worker && loss.isClosed === isClosed &&
      !(isClosed && loss.jobIds.has(jobId)) &&
      Math.abs(loss.atMs - atMs) <= windowMs
    );
    return new Set(others.map((loss) => loss.worker)).size;
  }

  #clearIfLasted(unit: Unit): void {
    const { job, address, run, count } = unit;
    const { progress } = job;
    if (run === undefined || progress.getCrashes(address).length === 0) return;
    const members = [...run.taskRuns.keys()];
    const isLasting = members.length === count &&
      members.every((taskRun) => hasLasted(computeSurvivedMs(taskRun)));
    if (!isLasting) return;
    progress.clearCrashes(address);
    this.#options.log.info("unit.survived", {
      unit: describeUnit(unit),
      run: run.run,
    });
  }
}
