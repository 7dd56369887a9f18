/**
 * Schedules the jobs of one failure domain that this entry owns: drives the placement engine and
 * carries out its decisions on the domain's workers. `JobsController` creates one per owned failure
 * domain and posts messages to its mailbox.
 */
import { assertNever, type JobId, type Timer } from "@coltsfootpond/common";
import type { FleetReport, TablePort, TaskReport } from "@coltsfootpond/ports";
import type {
  Decision,
  DomainSummary,
  PlacementEngine,
  WaitReason,
} from "@coltsfootpond/policy";
import { Subject } from "rxjs";
import { FAILURE_DOMAIN_STATE, getJobKey } from "../rows.ts";
import type {
  ConfigurationView,
  EntryContext,
  FailureDomainView,
  OwnedDomain,
} from "../types.ts";
import { applyWorkers } from "./apply_workers.ts";
import { FleetPoller } from "./fleet_poller.ts";
import { createFleetCommander, type FleetCommander } from "./gang_start.ts";
import { JobRecorder } from "./job_recorder.ts";
import { readJob, scanJobs } from "./job_rows.ts";
import { LiveJobs } from "./live_jobs.ts";
import type { MoveCandidate } from "./live_jobs_types.ts";

const RECOVERY_RETRY_MS = 500;
const MOVE_PERIOD_MS = 1_000;

/** Messages to the scheduler's mailbox. */
export type DomainMessage =
  /** A job was submitted; read its row. */
  | { readonly kind: "job_noticed"; readonly jobId: JobId }
  /** A job may have been cancelled; only its row is authoritative. */
  | { readonly kind: "job_end_noticed"; readonly jobId: JobId }
  | { readonly kind: "configuration_changed" }
  | { readonly kind: "domain_changed" }
  /** Read all job rows again, in case notices were lost. */
  | { readonly kind: "audit" };

export interface DomainSchedulerOptions {
  readonly context: EntryContext;
  readonly owned: OwnedDomain;
  readonly table: TablePort;
  readonly engine: PlacementEngine;
  readonly configuration: ConfigurationView;
  readonly failureDomains: FailureDomainView;
  /** Checked right before every externally visible action. */
  readonly mayAct: () => boolean;
  /** Applies the guarantees and organisations of the present configuration to the engine. */
  readonly configureEngine: (engine: PlacementEngine) => void;
  /** Moves a waiting job to another failure domain where that is better; true when it has moved. */
  readonly moveAway: (move: MoveCandidate) => Promise<boolean>;
  readonly onEnded: (jobId: JobId) => void;
}

/** Owns the placement engine, the live jobs and the fleet poller of one failure domain. */
export class DomainScheduler {
  readonly #options: DomainSchedulerOptions;
  readonly #mailbox = new Subject<DomainMessage>();
  readonly #commander: FleetCommander;
  readonly #fleet: FleetPoller;
  readonly #jobs: LiveJobs;
  #stopped = false;
  #recovered = false;
  /** A message arrived during recovery, whose scan may have been too early to cover it. */
  #missedMessages = false;
  #decisionScheduled = false;
  #nextDecision: Timer | undefined;
  #moves: Timer | undefined;

  private constructor(options: DomainSchedulerOptions) {
    this.#options = options;
    const { context, owned, table, engine, configuration } = options;
    const { clock, platform } = context;
    const { failureDomain } = owned;
    const isOwned = (): boolean => !this.#stopped;
    this.#commander = createFleetCommander({
      fleet: platform.fleet,
      owned,
      entry: context.identity.entry,
      mayAct: () => isOwned() && options.mayAct(),
    });
    this.#jobs = LiveJobs.create({
      context,
      owned,
      table,
      engine,
      configuration,
      commander: this.#commander,
      recorder: JobRecorder.create({
        clock,
        random: context.random,
        table,
        objects: platform.objects,
        failureDomain,
        isOwned,
      }),
      isOwned,
      isDomainIn: () => this.#isDomainIn(),
      moveAway: options.moveAway,
      onChanged: () => this.#scheduleDecision(),
      onEnded: options.onEnded,
      onAttemptEnded: (attemptId) => this.#fleet.forget(attemptId),
    });
    this.#fleet = FleetPoller.create({
      clock,
      fleet: platform.fleet,
      failureDomain,
      commander: this.#commander,
      onReport: (report) => this.#applyReport(report),
      listLeasedWorkers: () => this.#jobs.listLeasedWorkers(),
      getReportPeriodMs: () => this.#jobs.getReportPeriodMs(),
    });
    this.#mailbox.subscribe((message) => this.#handle(message));
  }

  static create(options: DomainSchedulerOptions): DomainScheduler {
    return new DomainScheduler(options);
  }

  get owned(): OwnedDomain {
    return this.#options.owned;
  }

  post(message: DomainMessage): void {
    this.#mailbox.next(message);
  }

  getWaitReason(jobId: JobId): WaitReason {
    return this.#options.engine.getWaitReason(jobId);
  }

  summarise(): DomainSummary {
    return this.#options.engine.summarise();
  }

  /** Recovers the jobs and tasks that earlier owners left, then runs until stopped. */
  async start(): Promise<void> {
    const { clock } = this.#options.context;
    while (!this.#stopped && !(await this.#recover())) {
      await clock.sleep(RECOVERY_RETRY_MS);
    }
    if (this.#stopped) return;
    this.#fleet.start();
    this.#moves = clock.every(MOVE_PERIOD_MS, () => this.#jobs.considerMoves());
    if (this.#missedMessages) void this.#audit();
    this.#scheduleDecision();
  }

  /** Drops all state in memory; running tasks continue under their leases for the next owner. */
  stop(): void {
    this.#stopped = true;
    this.#nextDecision?.cancel();
    this.#moves?.cancel();
    this.#fleet.stop();
    this.#mailbox.complete();
  }

  #nowMs(): number {
    return this.#options.context.clock.nowMs();
  }

  #handle(message: DomainMessage): void {
    if (this.#stopped) return;
    if (!this.#recovered) {
      this.#missedMessages = true;
      return;
    }
    switch (message.kind) {
      case "job_noticed":
        return void this.#load(message.jobId);
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

  /** Sends an empty batch first: its epoch fences all later commands of earlier owners. */
  async #recover(): Promise<boolean> {
    const { table, owned, context, engine, configuration } = this.#options;
    if (configuration.current() === undefined) return false;
    const fence = await this.#commander.command([]);
    if (fence.kind === "no_answer") return false;
    const stored = await scanJobs(table, owned.failureDomain);
    if (stored === "unavailable") return false;
    const report = await this.#fleet.fetch();
    if (report === undefined || this.#stopped) return false;
    this.#options.configureEngine(engine);
    applyWorkers(this.#options.engine, report, this.#nowMs());
    this.#applyDomainState();
    for (const job of stored) this.#jobs.load(job, report.tasks);
    this.#recovered = true;
    this.#stopStrayTasks(report.tasks);
    const { failureDomain, epoch } = owned;
    context.events.emit(
      "domain.recovered",
      { failureDomain, epoch },
      `${stored.length} jobs`,
    );
    return true;
  }

  #stopStrayTasks(tasks: readonly TaskReport[]): void {
    const strayTasks = this.#jobs.listStrayTasks(tasks);
    if (strayTasks.length === 0) return;
    void this.#commander.command(
      strayTasks.map((report) => ({
        kind: "stop",
        worker: report.worker,
        task: report.task,
      })),
    );
  }

  async #load(jobId: JobId): Promise<void> {
    if (this.#jobs.has(jobId)) return;
    const stored = await readJob(
      this.#options.table,
      getJobKey(this.owned.failureDomain, jobId),
    );
    if (this.#stopped || stored === undefined || stored === "unavailable") {
      return;
    }
    this.#jobs.load(stored, []);
    this.#scheduleDecision();
  }

  async #audit(): Promise<void> {
    const stored = await scanJobs(
      this.#options.table,
      this.owned.failureDomain,
    );
    if (this.#stopped || stored === "unavailable") return;
    for (const job of stored) {
      if (job.row.state === "queued") this.#jobs.load(job, []);
    }
    const present = new Set(stored.map((job) => job.row.jobId));
    for (const jobId of this.#jobs.listIds()) {
      if (!present.has(jobId)) void this.#confirmEnd(jobId);
    }
    this.#scheduleDecision();
  }

  /** The row of a cancelled job is deleted; only that counts, not the message. */
  async #confirmEnd(jobId: JobId): Promise<void> {
    if (!this.#jobs.has(jobId)) return;
    const stored = await readJob(
      this.#options.table,
      getJobKey(this.owned.failureDomain, jobId),
    );
    if (!this.#stopped && stored === undefined) this.#jobs.withdraw(jobId);
  }

  #isDomainIn(): boolean {
    return this.#options.failureDomains.get(this.owned.failureDomain)
      .state === FAILURE_DOMAIN_STATE.IN;
  }

  #applyDomainState(): void {
    const { engine, configuration } = this.#options;
    if (this.#isDomainIn()) {
      return engine.apply({ kind: "domain_in" }, this.#nowMs());
    }
    const declared = configuration.current()?.declarations.failureDomains ?? [];
    const drainMs =
      declared.find((domain) => domain.name === this.owned.failureDomain)
        ?.drainMs ?? 0;
    engine.apply({ kind: "domain_out", drainMs }, this.#nowMs());
    this.#jobs.moveWaitingJobs();
  }

  #applyReport(report: FleetReport): void {
    if (this.#stopped) return;
    applyWorkers(this.#options.engine, report, this.#nowMs());
    for (const task of report.tasks) this.#jobs.applyReport(task);
    if (report.workers.length > 0 || report.tasks.length > 0) {
      this.#scheduleDecision();
    }
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
    const { engine, context, mayAct } = this.#options;
    if (this.#stopped || !this.#recovered || !mayAct()) return;
    for (const decision of engine.decide(this.#nowMs())) {
      this.#perform(decision);
    }
    this.#nextDecision?.cancel();
    const dueMs = engine.nextDecisionMs();
    if (dueMs === undefined) return;
    const delayMs = Math.max(1, dueMs - this.#nowMs());
    this.#nextDecision = context.clock.after(
      delayMs,
      () => this.#scheduleDecision(),
    );
  }

  #perform(decision: Decision): void {
    switch (decision.kind) {
      case "place":
        this.#jobs.place(decision.jobId, decision.assignments);
        return this.#fleet.reschedulePoll();
      case "evict":
        if (decision.reason === "overrun") {
          return this.#jobs.stopOverrun(decision.jobId);
        }
        this.#jobs.evict(decision.jobId, decision.checkpointMs);
        return this.#fleet.reschedulePoll();
      case "fail":
        return void this.#jobs.end(decision.jobId, {
          state: "failed",
          resultName: decision.resultName,
        });
      default:
        return assertNever(decision);
    }
  }
}
