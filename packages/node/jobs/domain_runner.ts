/**
 * Runs the queue and the workers of one failure domain that this entry owns. Owns the placement
 * engine and the live jobs; other tasks reach it through its mailbox.
 */
import {
  assertNever,
  type AttemptId,
  createId,
  createUniqueId,
  type JobId,
  type JobServiceDeclaration,
  type ServiceName,
} from "@coltsfootpond/common";
import type {
  FleetReport,
  TablePort,
  TaskReport,
} from "@coltsfootpond/platform";
import type {
  Assignment,
  Decision,
  DomainSummary,
  PlacementEngine,
  WaitReason,
} from "@coltsfootpond/policy";
import { Subject } from "rxjs";
import {
  FAILURE_DOMAIN_STATE,
  getJobKey,
  type JobEnd,
  type JobRow,
} from "../rows.ts";
import type {
  ConfigurationView,
  EntryContext,
  FailureDomainView,
  Holding,
} from "../types.ts";
import {
  type GangPlacement,
  getWaitedMs,
  type LiveJob,
  STOP_REASON,
  toQueuedJob,
} from "./active_job.ts";
import { type AttemptResult, AttemptTask } from "./attempt_task.ts";
import { FleetTask } from "./fleet_task.ts";
import { createFleetCommander, type FleetCommander } from "./gang_start.ts";
import { JobRecorder } from "./job_recorder.ts";
import { readJob, replaceJob, scanJobs, type StoredJob } from "./job_rows.ts";

const RECOVERY_RETRY_MS = 500;

/** What reaches the runner's mailbox. */
export type RunnerMessage =
  | { readonly kind: "job_noticed"; readonly jobId: JobId }
  /** A job was cancelled; the row decides whether that is so. */
  | { readonly kind: "job_end_noticed"; readonly jobId: JobId }
  | { readonly kind: "configuration_changed" }
  | { readonly kind: "domain_changed" }
  /** Reads all rows again, for notices that were lost. */
  | { readonly kind: "audit" };

export interface DomainRunnerOptions {
  readonly context: EntryContext;
  readonly holding: Holding;
  readonly table: TablePort;
  readonly engine: PlacementEngine;
  readonly configuration: ConfigurationView;
  readonly failureDomains: FailureDomainView;
  /** Asked right before every externally visible act. */
  readonly mayAct: () => boolean;
  /** Tells the engine the guarantees and organisations of the present configuration. */
  readonly configureEngine: (engine: PlacementEngine) => void;
  /** Tries to give a waiting job a home elsewhere; true when it has moved. */
  readonly moveAway: (stored: StoredJob) => Promise<boolean>;
  readonly onEnded: (jobId: JobId) => void;
}

/** The task that owns one failure domain's jobs. */
export class DomainRunner {
  readonly #options: DomainRunnerOptions;
  readonly #mailbox = new Subject<RunnerMessage>();
  readonly #jobs = new Map<JobId, LiveJob>();
  readonly #attempts = new Map<AttemptId, AttemptTask>();
  readonly #attemptOfJob = new Map<JobId, AttemptTask>();
  readonly #commander: FleetCommander;
  readonly #recorder: JobRecorder;
  readonly #fleet: FleetTask;
  #stopped = false;
  #recovered = false;
  #decisionScheduled = false;

  private constructor(options: DomainRunnerOptions) {
    this.#options = options;
    const { context, holding, table } = options;
    this.#commander = createFleetCommander({
      fleet: context.platform.fleet,
      holding,
      entry: context.identity.entry,
      mayAct: () => !this.#stopped && options.mayAct(),
    });
    this.#recorder = JobRecorder.create({
      clock: context.clock,
      random: context.random,
      table,
      objects: context.platform.objects,
      failureDomain: holding.failureDomain,
      isHeld: () => !this.#stopped,
    });
    this.#fleet = FleetTask.create({
      clock: context.clock,
      fleet: context.platform.fleet,
      failureDomain: holding.failureDomain,
      commander: this.#commander,
      onReport: (report) => this.#applyReport(report),
      listLeasedWorkers: () => this.#listLeasedWorkers(),
    });
    this.#mailbox.subscribe((message) => this.#handle(message));
  }

  static create(options: DomainRunnerOptions): DomainRunner {
    return new DomainRunner(options);
  }

  get holding(): Holding {
    return this.#options.holding;
  }

  post(message: RunnerMessage): void {
    this.#mailbox.next(message);
  }

  explain(jobId: JobId): WaitReason {
    return this.#options.engine.explain(jobId);
  }

  summarise(): DomainSummary {
    return this.#options.engine.summarise();
  }

  /** Recovers what earlier owners left, then runs until stopped. */
  async start(): Promise<void> {
    const { clock } = this.#options.context;
    while (!this.#stopped && !(await this.#recover())) {
      await clock.sleep(RECOVERY_RETRY_MS);
    }
    if (this.#stopped) return;
    this.#fleet.start();
    this.#scheduleDecision();
  }

  /** Drops all memory; what runs goes on under its leases for the next owner. */
  stop(): void {
    this.#stopped = true;
    this.#fleet.stop();
    this.#mailbox.complete();
  }

  #nowMs(): number {
    return this.#options.context.clock.nowMs();
  }

  #handle(message: RunnerMessage): void {
    if (this.#stopped || !this.#recovered) return;
    switch (message.kind) {
      case "job_noticed":
        return void this.#loadJob(message.jobId);
      case "job_end_noticed":
        return void this.#confirmEnd(message.jobId);
      case "configuration_changed":
        this.#options.configureEngine(this.#options.engine);
        return this.#scheduleDecision();
      case "domain_changed":
        this.#applyDomainState();
        return this.#scheduleDecision();
      case "audit":
        return void this.#audit();
      default:
        return assertNever(message);
    }
  }

  /** The fence goes up first: after it, no command of an earlier owner has an effect. */
  async #recover(): Promise<boolean> {
    const { table, holding, context, engine, configuration } = this.#options;
    if (configuration.current() === undefined) return false;
    const fence = await this.#commander.command([]);
    if (fence.kind === "no_answer") return false;
    const stored = await scanJobs(table, holding.failureDomain);
    const report = stored === "unavailable"
      ? undefined
      : await this.#fleet.fetch();
    if (stored === "unavailable" || report === undefined || this.#stopped) {
      return false;
    }
    this.#options.configureEngine(engine);
    this.#applyDomainState();
    this.#applyWorkers(report);
    for (const job of stored) this.#adopt(job, report.tasks);
    this.#recovered = true;
    this.#stopOrphans(report.tasks);
    const { failureDomain, epoch } = holding;
    context.events.emit(
      "domain.recovered",
      { failureDomain, epoch },
      `${stored.length} jobs`,
    );
    return true;
  }

  #findService(name: ServiceName): JobServiceDeclaration | undefined {
    const services =
      this.#options.configuration.current()?.declarations.services ?? [];
    const service = services.find((candidate) => candidate.name === name);
    return service?.kind === "job" ? service : undefined;
  }

  #adopt(stored: StoredJob, tasks: readonly TaskReport[]): void {
    const { row } = stored;
    if (this.#jobs.has(row.jobId)) return;
    const service = this.#findService(row.service);
    if (service === undefined) {
      const end: JobEnd = { state: "failed", resultName: "UNKNOWN_SERVICE" };
      return void this.#recorder.recordEnd(stored, end).then(() =>
        this.#options.onEnded(row.jobId)
      );
    }
    const job: LiveJob = { stored, service, knownAtMs: this.#nowMs() };
    this.#jobs.set(row.jobId, job);
    if (row.attemptId !== undefined && row.assignments !== undefined) {
      this.#restore(job, tasks);
    } else this.#enqueue(job);
  }

  #enqueue(job: LiveJob): void {
    const nowMs = this.#nowMs();
    this.#options.engine.apply({
      kind: "job_queued",
      job: toQueuedJob(job, nowMs),
    }, nowMs);
    if (!this.#isDomainIn()) void this.#moveAway(job);
  }

  #restore(job: LiveJob, tasks: readonly TaskReport[]): void {
    const { attemptId, assignments } = job.stored.row;
    if (attemptId === undefined || assignments === undefined) return;
    const own = tasks.filter((report) => report.task.attemptId === attemptId);
    const ranMs = own.reduce(
      (longest, report) => Math.max(longest, report.runMs),
      0,
    );
    const nowMs = this.#nowMs();
    const queued = toQueuedJob(job, nowMs);
    this.#options.engine.apply({
      kind: "job_restored",
      job: queued,
      assignments,
      ranMs,
    }, nowMs);
    this.#createAttempt(job, { attemptId, assignments }).resume(own, ranMs);
  }

  /** Tasks that run for no recorded attempt are stopped. */
  #stopOrphans(tasks: readonly TaskReport[]): void {
    const orphans = tasks.filter((report) =>
      !this.#attempts.has(report.task.attemptId) &&
      (report.state === "running" || report.state === "held")
    );
    if (orphans.length === 0) return;
    void this.#commander.command(
      orphans.map((report) => ({
        kind: "stop",
        worker: report.worker,
        task: report.task,
      })),
    );
  }

  async #loadJob(jobId: JobId): Promise<void> {
    if (this.#jobs.has(jobId)) return;
    const stored = await readJob(
      this.#options.table,
      getJobKey(this.holding.failureDomain, jobId),
    );
    if (this.#stopped || stored === undefined || stored === "unavailable") {
      return;
    }
    this.#adopt(stored, []);
    this.#scheduleDecision();
  }

  async #audit(): Promise<void> {
    const stored = await scanJobs(
      this.#options.table,
      this.holding.failureDomain,
    );
    if (this.#stopped || stored === "unavailable") return;
    for (const job of stored) {
      if (job.row.state === "queued") this.#adopt(job, []);
    }
    const present = new Set(stored.map((job) => job.row.jobId));
    for (const jobId of [...this.#jobs.keys()]) {
      if (!present.has(jobId)) void this.#confirmEnd(jobId);
    }
    this.#scheduleDecision();
  }

  /** A cancelled job's row is gone; only that counts, not the message. */
  async #confirmEnd(jobId: JobId): Promise<void> {
    const job = this.#jobs.get(jobId);
    if (job === undefined) return;
    const stored = await readJob(
      this.#options.table,
      getJobKey(this.holding.failureDomain, jobId),
    );
    if (
      this.#stopped || stored !== undefined || this.#jobs.get(jobId) !== job
    ) return;
    this.#options.engine.apply({ kind: "job_withdrawn", jobId }, this.#nowMs());
    const attempt = this.#attemptOfJob.get(jobId);
    if (attempt === undefined) this.#jobs.delete(jobId);
    else attempt.stop(STOP_REASON.CANCELLED);
    this.#scheduleDecision();
  }

  #isDomainIn(): boolean {
    return this.#options.failureDomains.get(this.holding.failureDomain)
      .state === FAILURE_DOMAIN_STATE.IN;
  }

  #applyDomainState(): void {
    const { engine, configuration } = this.#options;
    if (this.#isDomainIn()) {
      return engine.apply({ kind: "domain_in" }, this.#nowMs());
    }
    const declared = configuration.current()?.declarations.failureDomains ?? [];
    const drainMs =
      declared.find((domain) => domain.name === this.holding.failureDomain)
        ?.drainMs ?? 0;
    engine.apply({ kind: "domain_out", drainMs }, this.#nowMs());
    for (const job of this.#jobs.values()) {
      if (!this.#attemptOfJob.has(job.stored.row.jobId)) {
        void this.#moveAway(job);
      }
    }
  }

  async #moveAway(job: LiveJob): Promise<void> {
    const { jobId } = job.stored.row;
    const moved = await this.#options.moveAway(job.stored);
    if (!moved || this.#stopped || this.#jobs.get(jobId) !== job) return;
    this.#jobs.delete(jobId);
    this.#options.engine.apply({ kind: "job_withdrawn", jobId }, this.#nowMs());
  }

  #applyReport(report: FleetReport): void {
    if (this.#stopped) return;
    this.#applyWorkers(report);
    for (const task of report.tasks) {
      this.#attempts.get(task.task.attemptId)?.observe(task);
    }
    if (report.workers.length > 0 || report.tasks.length > 0) {
      this.#scheduleDecision();
    }
  }

  #applyWorkers(report: FleetReport): void {
    const { engine } = this.#options;
    for (const worker of report.workers) {
      if (worker.state === "up") {
        engine.apply({ kind: "worker_up", worker }, this.#nowMs());
      } else {engine.apply(
          { kind: "worker_down", worker: worker.name },
          this.#nowMs(),
        );}
    }
  }

  #listLeasedWorkers() {
    const leased = [...this.#attempts.values()].filter((attempt) =>
      attempt.needsLease
    );
    return leased.flatMap((attempt) =>
      attempt.placement.assignments.map((assignment) => assignment.worker)
    );
  }

  #scheduleDecision(): void {
    if (this.#decisionScheduled || this.#stopped) return;
    this.#decisionScheduled = true;
    queueMicrotask(() => {
      this.#decisionScheduled = false;
      this.#decide();
    });
  }

  #decide(): void {
    const { engine, context } = this.#options;
    if (this.#stopped || !this.#recovered || !this.#options.mayAct()) return;
    for (const decision of engine.decide(this.#nowMs())) {
      this.#perform(decision);
    }
    const dueMs = engine.nextDecisionMs();
    if (dueMs !== undefined) {
      context.clock.after(
        Math.max(1, dueMs - this.#nowMs()),
        () => this.#scheduleDecision(),
      );
    }
  }

  #perform(decision: Decision): void {
    const job = this.#jobs.get(decision.jobId);
    if (job === undefined) return;
    const attempt = this.#attemptOfJob.get(decision.jobId);
    switch (decision.kind) {
      case "place":
        return void this.#place(job, decision.assignments);
      case "evict":
        if (decision.reason === "overrun") {
          return attempt?.stop(STOP_REASON.OVERRUN);
        }
        return attempt?.evict(decision.checkpointMs);
      case "fail":
        return void this.#fail(job, {
          state: "failed",
          resultName: decision.resultName,
        });
      default:
        return assertNever(decision);
    }
  }

  #place(job: LiveJob, assignments: readonly Assignment[]): void {
    const attemptId = createId<AttemptId>(createUniqueId());
    void this.#createAttempt(job, { attemptId, assignments }).start();
  }

  async #fail(job: LiveJob, end: JobEnd): Promise<void> {
    this.#jobs.delete(job.stored.row.jobId);
    await this.#recorder.recordEnd(job.stored, end);
    this.#options.onEnded(job.stored.row.jobId);
  }

  #createAttempt(job: LiveJob, placement: GangPlacement): AttemptTask {
    const { context, configuration } = this.#options;
    const { jobId, requestId, organisation } = job.stored.row;
    const attempt = AttemptTask.create({
      job,
      placement,
      clock: context.clock,
      events: context.events,
      subject: {
        requestId,
        organisation,
        attemptId: placement.attemptId,
        failureDomain: this.holding.failureDomain,
        epoch: this.holding.epoch,
      },
      commander: this.#commander,
      recorder: this.#recorder,
      recordPlacement: () => this.#recordPlacement(job, placement),
      mayStart: () => this.#isDomainIn() && configuration.isFresh(),
      isHeld: () => !this.#stopped,
      onStarted: () =>
        this.#options.engine.apply(
          { kind: "job_started", jobId },
          this.#nowMs(),
        ),
      onEnded: (result) => this.#settleAttempt(job, placement, result),
    });
    this.#attempts.set(placement.attemptId, attempt);
    this.#attemptOfJob.set(jobId, attempt);
    return attempt;
  }

  #recordPlacement(job: LiveJob, placement: GangPlacement) {
    const { row } = job.stored;
    const waitedMs = getWaitedMs(job, this.#nowMs());
    const next: JobRow = {
      ...row,
      ...placement,
      state: "running",
      attempts: row.attempts + 1,
      waitedMs,
    };
    return replaceJob(
      this.#options.table,
      this.holding.failureDomain,
      job.stored,
      next,
    );
  }

  #settleAttempt(
    job: LiveJob,
    placement: GangPlacement,
    result: AttemptResult,
  ): void {
    if (this.#stopped) return;
    const { jobId } = job.stored.row;
    const { end, ranMs, workers, next } = result;
    this.#attempts.delete(placement.attemptId);
    this.#attemptOfJob.delete(jobId);
    this.#fleet.forget(placement.attemptId);
    const requeue = next.kind === "requeued";
    this.#options.engine.apply({
      kind: "attempt_ended",
      jobId,
      end,
      requeue,
      ranMs,
      workers,
    }, this.#nowMs());
    if (next.kind === "requeued") this.#keepWaiting(job, next.stored);
    else {
      this.#jobs.delete(jobId);
      this.#options.onEnded(jobId);
    }
    this.#scheduleDecision();
  }

  #keepWaiting(job: LiveJob, stored: StoredJob): void {
    const { jobId } = stored.row;
    const waiting: LiveJob = {
      stored,
      service: job.service,
      knownAtMs: this.#nowMs(),
    };
    this.#jobs.set(jobId, waiting);
    if (!this.#isDomainIn()) void this.#moveAway(waiting);
  }
}
