/**
 * The scheduler of the cell. Reads the jobs from the store and the workers' reports, plans rounds
 * with the policy package, starts and stops tasks, and stores their ends. One instance serves one
 * epoch of the lease; a new one starts empty and collects the running tasks from the workers'
 * reports.
 */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import { planRound, UrgentDemand } from "@coltsfootpond/policy";
import type {
  CellSettings,
  RecordDecoder,
  StateRow,
  StateStore,
  WorkerPort,
} from "@coltsfootpond/ports";
import type { Subscription } from "rxjs";
import { guardWorkerPort } from "./background/guarded_ports.ts";
import type { DeclaredStateTracker } from "./declared_state_tracker.ts";
import { LOAD_PERIOD_MS, LoadPublisher } from "./admission/load_publisher.ts";
import { BegunJobsWriter } from "./begun_jobs_writer.ts";
import { CrashTracker } from "./crashes/crash_tracker.ts";
import {
  findLeavingRun,
  type LeavingRunOptions,
} from "./draining/leaving_runs.ts";
import { EndedJobCollector } from "./ended_job_collector.ts";
import { JobRegistry } from "./job_registry.ts";
import { describeUnit, mayStillRunUnreported, type Unit } from "./live_job.ts";
import type { CellLog } from "./log.ts";
import { createPlanInput } from "./plan_input.ts";
import { createOrganisationGauges } from "./quotas/organisation_gauges.ts";
import { OrganisationQuotas } from "./quotas/organisation_quotas.ts";
import { QuotaWaitLog } from "./quotas/quota_wait_log.ts";
import { findAccountOfEnded } from "./quotas/run_account.ts";
import { ProgressWriter } from "./progress_writer.ts";
import { LOAD_KEY, SPEEDS_KEY } from "./rows.ts";
import { RunRegistry } from "./run_registry.ts";
import { isIncomplete, isStalled } from "./run_checks.ts";
import type { TableFollower } from "./table_follower.ts";
import { DIRECTORY_PERIOD_MS } from "./worker_directory.ts";
import { WorkerFleet } from "./worker_fleet.ts";
import type { WorkerSession } from "./worker_session.ts";
import { SessionEventHandler } from "./session_event_handler.ts";
import { SpeedTracker } from "./speeds/speed_tracker.ts";
import { SpeedsWriter } from "./speeds/speeds_writer.ts";
import { QUARANTINE_MS } from "./worker_quarantine.ts";

/** Changes within this time are handled in one round. */
const MINIMUM_ROUND_DELAY_MS = 4;
/** Delay between attempts to read the state table; many round trips to the store. */
const RELOAD_DELAY_MS = 50;
/** Period of the checks for expired leases, stalled runs and due occurrences (required: 250 ms). */
const TICK_PERIOD_MS = 200;
/** Counts of waiting jobs may be 2 s old (the platform's protocol). */
const BEGUN_PERIOD_MS = 500;
/** Workers report about once a second while tasks run. */
const SPEEDS_PERIOD_MS = 500;
/** Each time, one of the 16 groups of job rows is searched for old jobs. */
const COLLECT_PERIOD_MS = 1_000;

export interface CellSchedulerOptions {
  readonly epoch: number;
  /** Version of the store at which the lease was acquired. */
  readonly acquiredVersion: number;
  readonly settings: CellSettings;
  readonly store: StateStore;
  readonly workerPort: WorkerPort;
  readonly recordDecoder: RecordDecoder;
  readonly follower: TableFollower;
  readonly declared: DeclaredStateTracker;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly canAct: () => boolean;
  readonly onNewerHolder: (reason: string) => void;
}

/** Schedules all jobs of the cell while this entry holds the lease. */
export class CellScheduler {
  readonly #options: CellSchedulerOptions;
  readonly #jobs: JobRegistry;
  readonly #runs: RunRegistry;
  readonly #fleet: WorkerFleet;
  readonly #quotas: OrganisationQuotas;
  readonly #quotaWaits: QuotaWaitLog;
  readonly #writer: ProgressWriter;
  readonly #crashes: CrashTracker;
  readonly #speeds: SpeedTracker;
  readonly #speedsWriter: SpeedsWriter;
  readonly #endedJobs: EndedJobCollector;
  readonly #begunJobs: BegunJobsWriter;
  readonly #load: LoadPublisher;
  readonly #urgentDemand = UrgentDemand.create();
  readonly #timers: { cancel(): void }[] = [];
  readonly #leaving: LeavingRunOptions;
  readonly #isUnreported = (worker: WorkerName) =>
    this.#fleet.isUnreported(worker);
  #subscription: Subscription | undefined;
  #isReady = false;
  #isStopped = false;
  #isRoundDue = false;
  #roundDurationMs = 0;
  /** Accelerators that the last round left to urgent jobs. */
  #urgentHeadroom = 0;

  private constructor(options: CellSchedulerOptions) {
    this.#options = options;
    const { settings, declared } = options;
    this.#writer = ProgressWriter.create({
      ...options,
      findOtherRuns: (job) => ({
        isUnreported: this.#isUnreported,
        strayWorkers: this.#runs.listStrayWorkers(job),
      }),
      snapshotProcessedEnds: () => this.#fleet.snapshotProcessedEnds(),
      onClosed: (job) => this.#jobs.close(job),
      onPlaced: (unit) => this.#runs.sendStarts(unit),
      onNewerHolder: () => options.onNewerHolder("progress of a later holder"),
    });
    this.#begunJobs = BegunJobsWriter.create(options);
    this.#load = LoadPublisher.create(options);
    this.#leaving = {
      clock: options.clock,
      stopLimitMs: settings.bounds.stopLimitMs,
      periodMs: TICK_PERIOD_MS,
      getDurationRatio: (queue) => this.#load.collector.getDurationRatio(queue),
    };
    this.#endedJobs = EndedJobCollector.create({
      ...options,
      retentionMs: settings.bounds.endedJobRetentionMs,
    });
    this.#runs = RunRegistry.create({
      ...options,
      getSession: (worker) => this.#fleet.get(worker),
      mayStart: (worker) => this.#fleet.mayStart(worker),
      findAccountOfEnded: (task) => findAccountOfEnded(task, options.follower),
      findQuotaExcess: (unit) => this.#quotas.findExcess(unit),
      locateTask: (task) => this.#jobs.locateTask(task),
      describeEarlierWorkers: (workers) =>
        this.#fleet.describeEarlierWorkers(workers),
      onFinished: () => this.#requestRound(),
    });
    this.#jobs = JobRegistry.create({
      ...options,
      writer: this.#writer,
      closeRun: (unit, reason) => this.#runs.close(unit, reason),
      urgentDemand: this.#urgentDemand,
      onTaskDone: (unit) => this.#load.collector.recordDone(unit),
    });
    this.#crashes = CrashTracker.create({
      ...options,
      locateTask: (task) => this.#jobs.locateTask(task),
      applyCrash: (unit, crash) => this.#jobs.applyCrash(unit, crash),
    });
    this.#speeds = SpeedTracker.create({
      ...options,
      getUnit: (taskRun) => this.#runs.getUnit(taskRun),
      getWorkerCount: () => this.#fleet.sessions.length,
    });
    this.#speedsWriter = SpeedsWriter.create(options);
    const events = SessionEventHandler.create({
      ...options,
      speeds: this.#speeds,
      jobs: this.#jobs,
      runs: this.#runs,
      writer: this.#writer,
      crashes: this.#crashes,
      isReady: () => this.#isReady,
      requestRound: () => this.#requestRound(),
    });
    this.#fleet = WorkerFleet.create({
      ...options,
      bounds: settings.bounds,
      heartbeatMs: settings.workerHeartbeatMs,
      rowLimitBytes: settings.rowLimitBytes,
      isDeclared: (service) => declared.current?.services.has(service),
      isOut: (failureDomain) => declared.isOut(failureDomain),
      listener: events,
      getSpeed: (session) => ({
        speed: this.#speeds.getSpeed(session),
        isSpeedMeasured: this.#speeds.isMeasured(session),
      }),
      onChanged: () => this.#requestRound(),
    });
    this.#quotaWaits = QuotaWaitLog.create(options.log);
    this.#quotas = OrganisationQuotas.create({
      getDeclaredState: () => declared.current,
      listJobs: () => this.#jobs.jobs,
      listSessions: () => this.#fleet.sessions,
      isUnreported: this.#isUnreported,
      getUrgentRatesPerS: () =>
        this.#urgentDemand.computeOrganisationRatesPerS(options.nowUnixMs()),
      stopLimitMs: settings.bounds.stopLimitMs,
    });
  }

  static create(options: CellSchedulerOptions): CellScheduler {
    const workerPort = guardWorkerPort(options.workerPort, options.log);
    return new CellScheduler({ ...options, workerPort });
  }

  /** Reads the state, collects the workers' reports, then schedules until stopped. */
  async start(): Promise<void> {
    const { follower, declared } = this.#options;
    await this.#awaitRows();
    if (this.#isStopped) return;
    this.#speeds.readStored(follower.get(SPEEDS_KEY)?.value);
    this.#applyRows(follower.rows());
    this.#quotas.recordEarlierPlacements();
    this.#subscription = follower.changes.subscribe((rows) => {
      // Planning does not read the published load.
      if (rows.some(({ key }) => key !== LOAD_KEY)) this.#applyRows(rows);
    });
    this.#subscription.add(
      declared.changes.subscribe(() => {
        this.#fleet.applyRecords();
        this.#requestRound();
      }),
    );
    this.#fleet.openRosterSessions();
    await this.#fleet.read();
    await this.#fleet.awaitReports();
    if (this.#isStopped) return;
    this.#startRounds();
  }

  stop(): void {
    this.#isStopped = true;
    this.#subscription?.unsubscribe();
    this.#timers.forEach((timer) => timer.cancel());
    this.#writer.stop();
    this.#fleet.stop();
  }

  /** Counts the jobs and workers of this lease holder, for gauges. */
  countWork() {
    const { jobs } = this.#jobs;
    const { sessions } = this.#fleet;
    const begunJobs = jobs.filter(({ hasBegun }) => hasBegun).length;
    return {
      waitingJobs: jobs.length - begunJobs,
      begunJobs,
      workers: sessions.length,
      ignoredRecords: this.#fleet.ignoredRecords,
      reachableWorkers: sessions.filter(({ isReachable }) => isReachable)
        .length,
      urgentHeadroom: this.#urgentHeadroom,
      organisations: createOrganisationGauges(
        this.#options.declared.current,
        this.#quotas.countUsage(),
        jobs,
      ),
      ...this.#speeds.countWorkers(),
    };
  }

  /** Reads all rows written before the lease was acquired, as the change feed may lag. */
  async #awaitRows(): Promise<void> {
    const { follower, acquiredVersion, clock } = this.#options;
    while (!this.#isStopped && !await follower.reload(acquiredVersion)) {
      await clock.sleep(RELOAD_DELAY_MS);
    }
  }

  #startRounds(): void {
    const { clock, log, epoch } = this.#options;
    this.#isReady = true;
    this.#runs.resolveStrays();
    log.info("scheduler.ready", {
      epoch,
      jobs: this.#jobs.jobs.length,
      workers: this.#fleet.sessions.length,
      unreported: this.#fleet.sessions.filter((session) =>
        !session.hasReported
      ).length,
      unknownWorkers: this.#jobs.listEarlierWorkers().filter((worker) =>
        this.#fleet.get(worker) === undefined
      ),
      adopted: this.#runs.size,
    });
    this.#closeIncompleteGangs();
    this.#timers.push(
      clock.every(TICK_PERIOD_MS, () => this.#tick()),
      clock.every(DIRECTORY_PERIOD_MS, () => void this.#fleet.read()),
      clock.every(BEGUN_PERIOD_MS, () => void this.#writeBegun()),
      clock.every(LOAD_PERIOD_MS, () => void this.#publishLoad()),
      clock.every(COLLECT_PERIOD_MS, () => void this.#collectEnded()),
      clock.every(SPEEDS_PERIOD_MS, () => void this.#updateSpeeds()),
    );
    this.#requestRound();
  }

  #applyRows(rows: Iterable<StateRow>): void {
    this.#jobs.applyRows(rows);
    this.#requestRound();
  }

  #requestRound(): void {
    if (this.#isRoundDue || !this.#isReady || this.#isStopped) return;
    this.#isRoundDue = true;
    const { clock } = this.#options;
    // Rounds take at most half of the processor time, so that calls and renewals are not late.
    const delayMs = Math.max(MINIMUM_ROUND_DELAY_MS, this.#roundDurationMs);
    clock.after(delayMs, () => {
      this.#isRoundDue = false;
      if (this.#isStopped) return;
      const startedMs = clock.nowMs();
      this.#round();
      this.#roundDurationMs = clock.nowMs() - startedMs;
    });
  }

  #round(): void {
    const { clock, nowUnixMs, declared, canAct, log, settings } = this.#options;
    // Without the declared state, the quotas are not known.
    if (!canAct() || declared.current === undefined) return;
    const nowMs = clock.nowMs();
    const strayUnits = this.#runs.listStrayUnits();
    const isBlocked = (unit: Unit) =>
      strayUnits.has(describeUnit(unit)) ||
      mayStillRunUnreported(unit, this.#isUnreported);
    this.#crashes.recordEarlierRuns(this.#jobs.jobs, {
      getSession: (worker) => this.#fleet.get(worker),
      isBlocked,
    });
    const input = createPlanInput({
      jobs: this.#jobs.jobs.filter(({ ending, isHeld }) =>
        ending === undefined && !isHeld
      ),
      workers: this.#fleet.createUsableWorkerViews(),
      guarantees: declared.current.guarantees,
      shares: this.#quotas.createShares(),
      nowMs,
      nowUnixMs: nowUnixMs(),
      urgentRatesPerS: this.#urgentDemand.computeRatesPerS(nowUnixMs()),
      stopLimitMs: settings.bounds.stopLimitMs,
      isBlocked,
    });
    this.#load.collector.observe(input);
    this.#urgentHeadroom = [...input.urgentHeadroom?.values() ?? []].reduce(
      (sum, accelerators) => sum + accelerators,
      0,
    );
    if (input.waiting.length === 0) return;
    const plan = planRound(input);
    for (const { unit, forUnit, workers } of plan.evictions) {
      log.info("unit.evicted", {
        unit: describeUnit(unit),
        forUnit: describeUnit(forUnit),
        workers,
      });
      this.#runs.close(unit, "evicted");
    }
    this.#quotaWaits.recordWaits(
      plan.quotaWaits ?? [],
      declared.current.version,
    );
    for (const { unit, workers } of plan.placements) {
      this.#quotaWaits.recordStart(unit);
      this.#runs.place(unit, workers);
      this.#writer.mark(unit.job, true);
    }
  }

  async #updateSpeeds(): Promise<void> {
    const isKnown = (worker: WorkerName) =>
      this.#fleet.get(worker) !== undefined;
    if (this.#speeds.update(isKnown)) this.#requestRound();
    if (!this.#options.canAct()) return;
    await this.#speedsWriter.write(this.#speeds.listClassified());
  }

  async #writeBegun(): Promise<void> {
    if (!this.#options.canAct()) return;
    await this.#begunJobs.write(this.#jobs.begunJobIds);
  }

  async #publishLoad(): Promise<void> {
    if (this.#options.canAct()) await this.#load.publish(this.#jobs.jobs);
  }

  async #collectEnded(): Promise<void> {
    if (this.#options.canAct()) await this.#endedJobs.collect();
  }

  #tick(): void {
    for (const session of this.#fleet.sessions) {
      session.dropIfExpired();
      session.startPolling();
    }
    this.#crashes.clearSurvivors(this.#jobs.jobs);
    this.#jobs.openDueUnits();
    for (const job of this.#jobs.jobs) {
      for (const unit of job.units.values()) {
        this.#closeIfStalled(unit);
        const leaving = findLeavingRun(unit, this.#leaving);
        if (leaving !== undefined) {
          this.#runs.close(unit, "a worker leaves", { ...leaving });
        }
      }
    }
    this.#closeIncompleteGangs();
    this.#requestRound();
  }

  /** Stops a run that makes no progress and quarantines its workers. */
  #closeIfStalled(unit: Unit): void {
    const getSpeed = (session: WorkerSession) => this.#speeds.getSpeed(session);
    if (!isStalled(unit, getSpeed)) return;
    const sessions = [...unit.run?.taskRuns.values() ?? []];
    sessions.forEach((session) => session.pause(QUARANTINE_MS));
    this.#runs.close(unit, "no progress");
  }

  /** Stops gangs that lost tasks for good, as the others can't work without them. */
  #closeIncompleteGangs(): void {
    for (const job of this.#jobs.jobs) {
      for (const unit of job.units.values()) {
        if (isIncomplete(unit, this.#isUnreported)) {
          this.#runs.close(unit, "members are missing");
        }
      }
    }
  }
}
