/**
 * The live jobs (not yet ended) of one owned failure domain and their attempts. Only this module
 * changes them and applies their changes to the placement engine; the domain scheduler calls it.
 */
import {
  type AttemptId,
  brandId,
  createUniqueId,
  type JobId,
  type JobServiceDeclaration,
  type ServiceName,
  type WorkerName,
} from "@coltsfootpond/common";
import type { TaskReport } from "@coltsfootpond/ports";
import { TASK_STATE } from "@coltsfootpond/ports";
import type { Assignment, EngineEvent } from "@coltsfootpond/policy";
import { LONGEST_REPORT_PERIOD_MS } from "../constants.ts";
import type { JobEnd, JobRow } from "../rows.ts";
import {
  type GangPlacement,
  getWaitedMs,
  type LiveJob,
  STOP_REASON,
  toEngineJob,
} from "./live_job.ts";
import type { LiveJobsOptions } from "./live_jobs_types.ts";
import { GangAttempt } from "./gang_attempt.ts";
import type { AttemptResult } from "./attempt_types.ts";
import {
  replaceJob,
  type StoredJob,
  type TransitionOutcome,
} from "./job_rows.ts";

/** Waiting jobs that one call of `considerMoves` considers. */
const MAXIMUM_MOVES_CONSIDERED = 64;

/** Owns the jobs and attempts of one owned failure domain. */
export class LiveJobs {
  readonly #options: LiveJobsOptions;
  readonly #jobs = new Map<JobId, LiveJob>();
  readonly #attempts = new Map<AttemptId, GangAttempt>();
  readonly #attemptOfJob = new Map<JobId, GangAttempt>();
  #nextConsidered = 0;

  private constructor(options: LiveJobsOptions) {
    this.#options = options;
  }

  static create(options: LiveJobsOptions): LiveJobs {
    return new LiveJobs(options);
  }

  has(jobId: JobId): boolean {
    return this.#jobs.has(jobId);
  }

  listIds(): readonly JobId[] {
    return [...this.#jobs.keys()];
  }

  /** Workers on which some attempt may have tasks running. */
  listLeasedWorkers(): readonly WorkerName[] {
    return [...this.#attempts.values()]
      .filter((attempt) => attempt.needsLease)
      .flatMap((attempt) =>
        attempt.placement.assignments.map((assignment) => assignment.worker)
      );
  }

  /** The shortest report period of any attempt. */
  getReportPeriodMs(): number {
    const periods = [...this.#attempts.values()].map((attempt) =>
      attempt.reportPeriodMs
    );
    return Math.min(LONGEST_REPORT_PERIOD_MS, ...periods);
  }

  /** Adds a job from its row; `tasks` are the fleet's reports, used if the row has a placement. */
  load(stored: StoredJob, tasks: readonly TaskReport[]): void {
    const { row } = stored;
    if (this.#jobs.has(row.jobId)) return;
    const service = this.#findService(row.service);
    if (service === undefined) return void this.#endUnknownService(stored);
    const job: LiveJob = {
      stored,
      service,
      waitingSinceMs: this.#nowMs(),
      isMoving: false,
    };
    this.#jobs.set(row.jobId, job);
    const { attemptId, assignments } = row;
    if (attemptId !== undefined && assignments !== undefined) {
      return this.#restore(job, { attemptId, assignments }, tasks);
    }
    this.#apply({ kind: "job_queued", job: toEngineJob(job, this.#nowMs()) });
    this.#moveIfOutOfService(job);
  }

  applyReport(report: TaskReport): void {
    this.#attempts.get(report.task.attemptId)?.applyReport(report);
  }

  /** Reports of stray (orphaned) tasks: they occupy a worker but belong to no attempt here. */
  listStrayTasks(tasks: readonly TaskReport[]): readonly TaskReport[] {
    return tasks.filter((report) => {
      const occupies = report.state === TASK_STATE.RUNNING ||
        report.state === TASK_STATE.HELD ||
        report.state === TASK_STATE.CHECKPOINTED;
      return occupies && !this.#attempts.has(report.task.attemptId);
    });
  }

  place(jobId: JobId, assignments: readonly Assignment[]): void {
    const job = this.#jobs.get(jobId);
    if (job === undefined) return;
    const attemptId = brandId<AttemptId>(createUniqueId());
    void this.#createAttempt(job, { attemptId, assignments }).start();
  }

  evict(jobId: JobId, checkpointMs: number): void {
    this.#attemptOfJob.get(jobId)?.evict(checkpointMs);
  }

  stopOverrun(jobId: JobId): void {
    this.#attemptOfJob.get(jobId)?.stop(STOP_REASON.OVERRUN);
  }

  /** Ends a job that is not placed. */
  async end(jobId: JobId, end: JobEnd): Promise<void> {
    const job = this.#jobs.get(jobId);
    if (job === undefined || this.#attemptOfJob.has(jobId)) return;
    this.#jobs.delete(jobId);
    await this.#options.recorder.recordEnd(job.stored, end);
    this.#options.onEnded(jobId);
  }

  /** The job's row was deleted: stops its attempt, if any, and drops the job. */
  withdraw(jobId: JobId): void {
    if (!this.#jobs.has(jobId)) return;
    this.#apply({ kind: "job_withdrawn", jobId });
    const attempt = this.#attemptOfJob.get(jobId);
    if (attempt === undefined) this.#jobs.delete(jobId);
    else attempt.stop(STOP_REASON.CANCELLED);
    this.#options.onChanged();
  }

  /** Moves waiting jobs to other failure domains while this one is out of service. */
  moveWaitingJobs(): void {
    for (const job of this.#jobs.values()) this.#moveIfOutOfService(job);
  }

  /**
   * Moves waiting jobs that another failure domain suits better. Each call considers the next
   * `MAXIMUM_MOVES_CONSIDERED` of them, in rotation.
   */
  considerMoves(): void {
    const waiting = [...this.#jobs.values()].filter((job) =>
      !this.#attemptOfJob.has(job.stored.row.jobId) && !job.isMoving
    );
    const first = waiting.length === 0
      ? 0
      : this.#nextConsidered % waiting.length;
    const rotated = [...waiting.slice(first), ...waiting.slice(0, first)];
    for (const job of rotated.slice(0, MAXIMUM_MOVES_CONSIDERED)) {
      void this.#moveAway(job);
    }
    this.#nextConsidered = first + MAXIMUM_MOVES_CONSIDERED;
  }

  #nowMs(): number {
    return this.#options.context.clock.nowMs();
  }

  #apply(event: EngineEvent): void {
    this.#options.engine.apply(event, this.#nowMs());
  }

  #findService(name: ServiceName): JobServiceDeclaration | undefined {
    const services =
      this.#options.configuration.current()?.declarations.services ?? [];
    const service = services.find((candidate) => candidate.name === name);
    return service?.kind === "job" ? service : undefined;
  }

  /** Ends a job whose service has been removed from the configuration. */
  async #endUnknownService(stored: StoredJob): Promise<void> {
    const end: JobEnd = { state: "failed", resultName: "UNKNOWN_SERVICE" };
    await this.#options.recorder.recordEnd(stored, end);
    this.#options.onEnded(stored.row.jobId);
  }

  #restore(
    job: LiveJob,
    placement: GangPlacement,
    tasks: readonly TaskReport[],
  ): void {
    const ownReports = tasks.filter((report) =>
      report.task.attemptId === placement.attemptId
    );
    const ranMs = ownReports.reduce(
      (longest, report) => Math.max(longest, report.runMs),
      0,
    );
    const queued = toEngineJob(job, this.#nowMs());
    this.#apply({
      kind: "job_restored",
      job: queued,
      assignments: placement.assignments,
      ranMs,
    });
    this.#createAttempt(job, placement).resume(ownReports, ranMs);
  }

  #moveIfOutOfService(job: LiveJob): void {
    const isPlaced = this.#attemptOfJob.has(job.stored.row.jobId);
    if (isPlaced || job.isMoving || this.#options.isDomainIn()) return;
    void this.#moveAway(job);
  }

  async #moveAway(job: LiveJob): Promise<void> {
    const { row, version } = job.stored;
    const nowMs = this.#nowMs();
    job.isMoving = true;
    const moved = await this.#options.moveAway({
      stored: { version, row: { ...row, waitedMs: getWaitedMs(job, nowMs) } },
      waitedHereMs: nowMs - job.waitingSinceMs,
    });
    job.isMoving = false;
    if (!moved || this.#jobs.get(row.jobId) !== job) return;
    this.#jobs.delete(row.jobId);
    this.#apply({ kind: "job_withdrawn", jobId: row.jobId });
  }

  #createAttempt(job: LiveJob, placement: GangPlacement): GangAttempt {
    const {
      context,
      owned,
      commander,
      recorder,
      configuration,
      isOwned,
      isDomainIn,
    } = this.#options;
    const { jobId, requestId, organisation } = job.stored.row;
    const { failureDomain, epoch } = owned;
    const attempt = GangAttempt.create({
      job,
      placement,
      clock: context.clock,
      events: context.events,
      subject: {
        requestId,
        organisation,
        attemptId: placement.attemptId,
        failureDomain,
        epoch,
      },
      commander,
      recorder,
      recordPlacement: () => this.#recordPlacement(job, placement),
      mayStart: () => isDomainIn() && configuration.isFresh(),
      isOwned,
      onStarted: () => this.#apply({ kind: "job_started", jobId }),
      onEnded: (result) => this.#endAttempt(job, placement, result),
    });
    this.#attempts.set(placement.attemptId, attempt);
    this.#attemptOfJob.set(jobId, attempt);
    return attempt;
  }

  #recordPlacement(
    job: LiveJob,
    placement: GangPlacement,
  ): Promise<TransitionOutcome> {
    const { row } = job.stored;
    const next: JobRow = {
      ...row,
      ...placement,
      state: "running",
      attempts: row.attempts + 1,
      waitedMs: getWaitedMs(job, this.#nowMs()),
    };
    return replaceJob(
      this.#options.table,
      this.#options.owned.failureDomain,
      job.stored,
      next,
    );
  }

  #endAttempt(
    job: LiveJob,
    placement: GangPlacement,
    result: AttemptResult,
  ): void {
    if (!this.#options.isOwned()) return;
    const { jobId } = job.stored.row;
    const { end, ranMs, workers, next } = result;
    this.#attempts.delete(placement.attemptId);
    this.#attemptOfJob.delete(jobId);
    this.#options.onAttemptEnded(placement.attemptId);
    this.#apply({
      kind: "attempt_ended",
      jobId,
      end,
      requeue: next.kind === "requeued",
      ranMs,
      workers,
    });
    if (next.kind === "requeued") this.#requeue(job, next.stored);
    else this.#removeEnded(jobId);
    this.#options.onChanged();
  }

  #requeue(job: LiveJob, stored: StoredJob): void {
    const waiting: LiveJob = {
      stored,
      service: job.service,
      waitingSinceMs: this.#nowMs(),
      isMoving: false,
    };
    this.#jobs.set(stored.row.jobId, waiting);
    this.#moveIfOutOfService(waiting);
  }

  #removeEnded(jobId: JobId): void {
    this.#jobs.delete(jobId);
    this.#options.onEnded(jobId);
  }
}
