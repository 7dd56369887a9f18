/** The live jobs of the lease holder, built from their rows and the ends of their tasks. */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import {
  type CellJobId,
  type Crash,
  JOB_STATE,
  JobProgress,
  RUN_END,
  type TaskName,
  URGENT_PRIORITY,
  type UrgentDemand,
} from "@coltsfootpond/policy";
import type { EndedTask, StateRow } from "@coltsfootpond/ports";
import {
  BACKGROUND_ACTIVITY,
  type BackgroundActivity,
} from "./background/activities.ts";
import { runInBackground } from "./background/run_in_background.ts";
import {
  formatUnitKey,
  LiveJob,
  parseTaskName,
  type TaskLocation,
  type Unit,
  type UnitOfJob,
} from "./live_job.ts";
import type { CellLog } from "./log.ts";
import type { ProgressWriter } from "./progress_writer.ts";
import {
  jobKey,
  type JobRow,
  parseBegunKey,
  parseJobKey,
  parseProgressKey,
  progressKey,
} from "./rows.ts";
import { countParts } from "./state_rows/progress_row.ts";
import {
  readBegunJobsRow,
  readJobRow,
  readProgressRow,
} from "./state_rows/row_readers.ts";
import type { TableFollower } from "./table_follower.ts";

const { APPLY_JOB_ROWS, TICK } = BACKGROUND_ACTIVITY;

export interface JobRegistryOptions {
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly writer: Pick<ProgressWriter, "mark" | "forget">;
  readonly closeRun: (unit: Unit, reason: string) => void;
  readonly urgentDemand: UrgentDemand;
  /** Called for each task that has ended as done, with the run that its unit has. */
  readonly onTaskDone: (unit: Unit) => void;
}

/** The live jobs of one epoch, by id. */
export class JobRegistry {
  readonly #options: JobRegistryOptions;
  readonly #jobs = new Map<CellJobId, LiveJob>();
  /** Live jobs that are not opened, as their progress cannot be decoded. */
  readonly #skippedJobIds = new Set<CellJobId>();
  /** Jobs that the store lists as begun, by the key of the row. */
  readonly #listedAsBegun = new Map<string, ReadonlySet<CellJobId>>();

  private constructor(options: JobRegistryOptions) {
    this.#options = options;
  }

  static create(options: JobRegistryOptions): JobRegistry {
    return new JobRegistry(options);
  }

  get jobs(): readonly LiveJob[] {
    return [...this.#jobs.values()];
  }

  /**
   * Live jobs of which at least one task has begun. Those that are not opened are included, as their
   * progress may hold ends.
   */
  get begunJobIds(): readonly CellJobId[] {
    const begun = this.jobs.filter(({ hasBegun }) => hasBegun);
    return [...begun.map(({ jobId }) => jobId), ...this.#skippedJobIds];
  }

  /** The job, step and unit of a task; undefined when no live job has the task. */
  locateTask(task: TaskName): TaskLocation | undefined {
    const name = parseTaskName(task);
    const job = name && this.#jobs.get(name.jobId);
    const step = name && job?.spec.steps[name.step];
    if (name === undefined || job === undefined || step === undefined) {
      return undefined;
    }
    // The progress of a step counts its tasks that are done, whichever they are.
    const isTask = name.occurrence < job.progress.occurrences &&
      name.index < step.count;
    if (!isTask) return undefined;
    return {
      job,
      step,
      stepKey: `${name.jobId}.${name.occurrence}.${name.step}`,
      address: { ...name, index: step.isGang ? 0 : name.index },
    };
  }

  /** Applies changed rows of the state table. */
  applyRows(rows: Iterable<StateRow>): void {
    for (const row of rows) {
      if (parseBegunKey(row.key) !== undefined) this.#applyBegunRow(row);
      const jobId = parseJobKey(row.key);
      const changedId = jobId ?? this.#findSkipped(row.key);
      if (changedId === undefined) continue;
      this.#guard(
        APPLY_JOB_ROWS,
        changedId,
        () =>
          jobId === undefined
            ? this.#retrySkipped(changedId)
            : this.#applyRow(jobId, row),
      );
    }
  }

  /** Workers on which earlier lease holders may have started tasks. */
  listEarlierWorkers(): readonly WorkerName[] {
    const workers = this.jobs.flatMap(({ earlierPlacements }) =>
      [...earlierPlacements.values()].flat()
    );
    return [...new Set(workers)];
  }

  /** Removes an ended job and stops its runs. */
  close(job: LiveJob): void {
    if (!this.#jobs.delete(job.jobId)) return;
    this.#options.writer.forget(job);
    for (const unit of job.units.values()) {
      this.#options.closeRun(unit, "job ended");
    }
  }

  /** Adds the units of recurring jobs that are due by now. */
  openDueUnits(): void {
    const { clock, nowUnixMs } = this.#options;
    for (const job of this.#jobs.values()) {
      if (job.spec.recurrence === undefined) continue;
      this.#guard(
        TICK,
        job.jobId,
        () => job.openDueUnits(clock.nowMs(), nowUnixMs()),
      );
    }
  }

  /** One job that fails keeps no other from its turn. */
  #guard(activity: BackgroundActivity, job: CellJobId, work: () => void): void {
    runInBackground(this.#options.log, activity, work, { job });
  }

  /** Records that a worker has started the task. */
  recordStart(task: TaskName): void {
    const location = this.locateTask(task);
    if (location !== undefined) location.job.hasBegun = true;
  }

  /** Records the end of a run. It counts also when the task's step does not seem due yet. */
  applyEnd({ job, address, step }: TaskLocation, ended: EndedTask): void {
    const { clock, nowUnixMs, closeRun, writer } = this.#options;
    const key = formatUnitKey(address);
    const unit = job.units.get(key);
    job.hasBegun = true;
    switch (ended.end) {
      case RUN_END.DONE:
        if (step.isPersistent || job.progress.isUnitDone(address)) return;
        if (unit?.run?.run === ended.run) this.#options.onTaskDone(unit);
        job.progress.recordDone(address);
        if (unit?.run === undefined) job.units.delete(key);
        else if (unit.run.run !== ended.run) closeRun(unit, "done before");
        job.openDueUnits(clock.nowMs(), nowUnixMs());
        break;
      case RUN_END.FAILED:
        job.progress.recordFailure(address, ended.run);
        break;
      case RUN_END.STOPPED:
      case RUN_END.LAPSED:
      case RUN_END.BROKEN:
      case RUN_END.ALONE:
        job.progress.recordCheckpoint(address, ended.checkpoint);
        break;
    }
    this.#checkEnd(job);
    if (this.#jobs.has(job.jobId)) writer.mark(job, job.ending !== undefined);
  }

  /** Records that a worker's process has ended under a run of a unit. */
  applyCrash({ job, address }: UnitOfJob, crash: Crash): void {
    job.progress.recordCrash(address, crash);
    this.#checkEnd(job);
    this.#options.writer.mark(job, job.ending !== undefined);
  }

  #applyRow(jobId: CellJobId, row: StateRow): void {
    const known = this.#jobs.get(jobId);
    const job = readJobRow(this.#options.follower, jobId, row);
    switch (job?.kind) {
      case "live":
        if (known === undefined) this.#open(job, row.version);
        else this.#release(known, row.version);
        return;
      case "unreadable":
        if (known !== undefined) this.#hold(known);
        return;
    }
    this.#skippedJobIds.delete(jobId);
    if (known === undefined) return;
    this.#options.log.info("job.closed", {
      job: jobId,
      row: job?.kind === "ended" ? job.state : job?.kind ?? "deleted",
    });
    this.close(known);
  }

  /**
   * Stops the runs of a job whose row can no longer be decoded: rows of live jobs change only when
   * the job ends. The job stays, as a run that ends as done must not run again once the row can be
   * decoded.
   */
  #hold(job: LiveJob): void {
    if (job.isHeld) return;
    job.isHeld = true;
    job.ending = undefined;
    this.#options.log.warn("job.held", { job: job.jobId });
    for (const unit of job.units.values()) {
      this.#options.closeRun(unit, "the job's row is unreadable");
    }
    this.#options.writer.mark(job, false);
  }

  /** The job's row can be decoded, and shows that the job has not ended. */
  #release(job: LiveJob, rowVersion: number): void {
    job.rowVersion = rowVersion;
    if (!job.isHeld) return;
    job.isHeld = false;
    this.#options.log.info("job.released", { job: job.jobId });
    this.#checkEnd(job);
  }

  /** The skipped job of a progress row; undefined for other rows. */
  #findSkipped(key: string): CellJobId | undefined {
    if (this.#skippedJobIds.size === 0) return undefined;
    const jobId = parseProgressKey(key);
    return jobId !== undefined && this.#skippedJobIds.has(jobId)
      ? jobId
      : undefined;
  }

  /** Opens a job that was skipped once its progress can be decoded or is deleted. */
  #retrySkipped(jobId: CellJobId): void {
    const row = this.#options.follower.get(jobKey(jobId));
    if (row !== undefined) this.#applyRow(jobId, row);
  }

  #open(
    { spec }: Extract<JobRow, { kind: "live" }>,
    rowVersion: number,
  ): void {
    const { follower, clock, nowUnixMs, log, urgentDemand } = this.#options;
    const stored = follower.get(progressKey(spec.jobId));
    const reading = readProgressRow(follower, spec, stored);
    if (reading.kind === "unreadable") {
      // Without its progress, tasks that are done would run again.
      this.#skippedJobIds.add(spec.jobId);
      log.warn("job.skipped", { job: spec.jobId });
      return;
    }
    const wasSkipped = this.#skippedJobIds.delete(spec.jobId);
    if (spec.priority === URGENT_PRIORITY) urgentDemand.record(spec);
    const row = reading.kind === "progress" ? reading.row : undefined;
    const job = LiveJob.create({
      spec,
      progress: JobProgress.create(spec, row?.record),
      rowVersion,
      progressVersion: stored?.version ?? 0,
      placements: row?.placements,
    });
    job.hasBegun = wasSkipped || job.progress.hasRun ||
      this.#isListedAsBegun(spec.jobId);
    job.progressParts = stored?.value ? countParts(stored.value) : 0;
    this.#jobs.set(spec.jobId, job);
    job.openDueUnits(clock.nowMs(), nowUnixMs());
    log.info("job.opened", {
      job: spec.jobId,
      queue: spec.queue,
      priority: spec.priority,
      tasks: spec.steps.map(({ count }) => count),
      need: spec.steps[0]?.need,
      estimateMs: spec.steps[0]?.estimateMs,
      gang: spec.steps[0]?.isGang,
      ageMs: nowUnixMs() - spec.acceptedUnixMs,
    });
    this.#checkEnd(job);
  }

  /**
   * A job that the store has listed as begun stays so, even if its worker is gone. An earlier holder's
   * write may take effect after this one has started.
   */
  #applyBegunRow(row: StateRow): void {
    const listed = readBegunJobsRow(this.#options.follower, row);
    if (listed === undefined) return;
    this.#listedAsBegun.set(row.key, new Set(listed.jobIds));
    for (const jobId of listed.jobIds) {
      const job = this.#jobs.get(jobId);
      if (job !== undefined) job.hasBegun = true;
    }
  }

  #isListedAsBegun(jobId: CellJobId): boolean {
    return [...this.#listedAsBegun.values()].some((jobIds) =>
      jobIds.has(jobId)
    );
  }

  /** Ends the job if it is complete or can't complete any more. */
  #checkEnd(job: LiveJob): void {
    if (job.ending !== undefined || job.isHeld) return;
    job.failure = job.progress.findFailure();
    if (job.progress.isComplete()) job.ending = JOB_STATE.COMPLETED;
    else if (job.failure !== undefined) job.ending = JOB_STATE.FAILED;
    else return;
    for (const unit of job.units.values()) {
      this.#options.closeRun(unit, job.ending);
    }
    this.#options.writer.mark(job, true);
  }
}
