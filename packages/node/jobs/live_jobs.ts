/**
 * The live jobs of one owned failure domain and their attempts. The one place that changes them and
 * that tells the placement engine what became of them.
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
  toQueuedJob,
} from "./live_job.ts";
import type { LiveJobsOptions } from "./live_jobs_types.ts";
import { GangAttempt } from "./gang_attempt.ts";
import type { AttemptResult } from "./attempt_types.ts";
import {
  replaceJob,
  type StoredJob,
  type TransitionOutcome,
} from "./job_rows.ts";

const CONSIDERED_AT_ONCE = 64;

/** Owns jobs and attempts of one holding. */
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

  /** The shortest period that any attempt asks for. */
  getReportPeriodMs(): number {
    const periods = [...this.#attempts.values()].map((attempt) =>
      attempt.reportPeriodMs
    );
    return Math.min(LONGEST_REPORT_PERIOD_MS, ...periods);
  }

  /** Takes over a job from its row; `tasks` are the fleet's reports when it may have been placed. */
  adopt(stored: StoredJob, tasks: readonly TaskReport[]): void {
    const { row } = stored;
    if (this.#jobs.has(row.jobId)) return;
    const service = this.#findService(row.service);
    if (service === undefined) return void this.#endUnserved(stored);
    const job: LiveJob = {
      stored,
      service,
      knownAtMs: this.#nowMs(),
      isMoving: false,
    };
    this.#jobs.set(row.jobId, job);
    const { attemptId, assignments } = row;
    if (attemptId !== undefined && assignments !== undefined) {
      return this.#restore(job, { attemptId, assignments }, tasks);
    }
    this.#apply({ kind: "job_queued", job: toQueuedJob(job, this.#nowMs()) });
    this.#leaveIfOut(job);
  }

  observe(report: TaskReport): void {
    this.#attempts.get(report.task.attemptId)?.observe(report);
  }

  /** Reports of tasks that occupy a worker for no attempt known here. */
  listOrphans(tasks: readonly TaskReport[]): readonly TaskReport[] {
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

  /** The job's row is gone: stop what runs and forget it. */
  withdraw(jobId: JobId): void {
    if (!this.#jobs.has(jobId)) return;
    this.#apply({ kind: "job_withdrawn", jobId });
    const attempt = this.#attemptOfJob.get(jobId);
    if (attempt === undefined) this.#jobs.delete(jobId);
    else attempt.stop(STOP_REASON.CANCELLED);
    this.#options.onChanged();
  }

  /** Gives waiting jobs a home elsewhere while the failure domain is out. */
  moveWaitingAway(): void {
    for (const job of this.#jobs.values()) this.#leaveIfOut(job);
  }

  /** Asks of some of the waiting jobs, in turn, whether they are better off elsewhere. */
  considerMoves(): void {
    const waiting = [...this.#jobs.values()].filter((job) =>
      !this.#attemptOfJob.has(job.stored.row.jobId) && !job.isMoving
    );
    const first = waiting.length === 0
      ? 0
      : this.#nextConsidered % waiting.length;
    const turn = [...waiting.slice(first), ...waiting.slice(0, first)];
    for (const job of turn.slice(0, CONSIDERED_AT_ONCE)) {
      void this.#moveAway(job);
    }
    this.#nextConsidered = first + CONSIDERED_AT_ONCE;
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

  /** Its service has been removed from the configuration. */
  async #endUnserved(stored: StoredJob): Promise<void> {
    const end: JobEnd = { state: "failed", resultName: "UNKNOWN_SERVICE" };
    await this.#options.recorder.recordEnd(stored, end);
    this.#options.onEnded(stored.row.jobId);
  }

  #restore(
    job: LiveJob,
    placement: GangPlacement,
    tasks: readonly TaskReport[],
  ): void {
    const own = tasks.filter((report) =>
      report.task.attemptId === placement.attemptId
    );
    const ranMs = own.reduce(
      (longest, report) => Math.max(longest, report.runMs),
      0,
    );
    const queued = toQueuedJob(job, this.#nowMs());
    this.#apply({
      kind: "job_restored",
      job: queued,
      assignments: placement.assignments,
      ranMs,
    });
    this.#createAttempt(job, placement).resume(own, ranMs);
  }

  #leaveIfOut(job: LiveJob): void {
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
      waitedHereMs: nowMs - job.knownAtMs,
    });
    job.isMoving = false;
    if (!moved || this.#jobs.get(row.jobId) !== job) return;
    this.#jobs.delete(row.jobId);
    this.#apply({ kind: "job_withdrawn", jobId: row.jobId });
  }

  #createAttempt(job: LiveJob, placement: GangPlacement): GangAttempt {
    const {
      context,
      holding,
      commander,
      recorder,
      configuration,
      isHeld,
      isDomainIn,
    } = this.#options;
    const { jobId, requestId, organisation } = job.stored.row;
    const { failureDomain, epoch } = holding;
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
      isHeld,
      onStarted: () => this.#apply({ kind: "job_started", jobId }),
      onEnded: (result) => this.#settle(job, placement, result),
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
      this.#options.holding.failureDomain,
      job.stored,
      next,
    );
  }

  #settle(job: LiveJob, placement: GangPlacement, result: AttemptResult): void {
    if (!this.#options.isHeld()) return;
    const { jobId } = job.stored.row;
    const { end, ranMs, workers, next } = result;
    this.#attempts.delete(placement.attemptId);
    this.#attemptOfJob.delete(jobId);
    this.#options.onAttemptSettled(placement.attemptId);
    this.#apply({
      kind: "attempt_ended",
      jobId,
      end,
      requeue: next.kind === "requeued",
      ranMs,
      workers,
    });
    if (next.kind === "requeued") this.#keepWaiting(job, next.stored);
    else this.#drop(jobId);
    this.#options.onChanged();
  }

  #keepWaiting(job: LiveJob, stored: StoredJob): void {
    const waiting: LiveJob = {
      stored,
      service: job.service,
      knownAtMs: this.#nowMs(),
      isMoving: false,
    };
    this.#jobs.set(stored.row.jobId, waiting);
    this.#leaveIfOut(waiting);
  }

  #drop(jobId: JobId): void {
    this.#jobs.delete(jobId);
    this.#options.onEnded(jobId);
  }
}
