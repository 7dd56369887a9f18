/**
 * The scheduler of the cell. Reads the jobs from the store and the workers' reports, plans rounds
 * with the policy package, starts and stops tasks, and stores their ends. One instance serves one
 * epoch of the lease; a new one starts empty and collects the running tasks from the workers'
 * reports.
 */
import type { Clock, Timer, WorkerName } from "@coltsfootpond/common";
import {
  type CellJobSpec,
  planRound,
  UrgentDemand,
} from "@coltsfootpond/policy";
import type {
  CellSettings,
  RecordDecoder,
  StateRow,
  StateStore,
  WorkerPort,
} from "@coltsfootpond/ports";
import type { Subscription } from "rxjs";
import {
  BACKGROUND_ACTIVITY,
  type BackgroundActivity,
} from "./background/activities.ts";
import { guardWorkerPort } from "./background/guarded_ports.ts";
import { reportFailure } from "./background/report_failure.ts";
import {
  guard,
  runInBackground,
  settleWork,
  subscribeGuarded,
} from "./background/run_in_background.ts";
import type { DeclaredStateTracker } from "./declared_state_tracker.ts";
import { LOAD_PERIOD_MS, LoadPublisher } from "./admission/load_publisher.ts";
import { BegunJobsWriter } from "./begun_jobs_writer.ts";
import {
  CrashTracker,
  type EarlierRunChecks,
} from "./crashes/crash_tracker.ts";
import {
  findLeavingRun,
  type LeavingRunOptions,
} from "./draining/leaving_runs.ts";
import { EndedJobCollector } from "./ended_job_collector.ts";
import { findOwner } from "./job_origins/find_owner.ts";
import { JobRegistry } from "./job_registry.ts";
import {
  describeUnit,
  type LiveJob,
  mayStillRunUnreported,
  type Unit,
} from "./live_job.ts";
import type { CellLog, LogFields } from "./log.ts";
import { createPlanInput } from "./plan_input.ts";
import { IsolatedPlanner } from "./rounds/isolated_planner.ts";
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
import { StartCircuits } from "./start_circuits/start_circuits.ts";
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
/** Least delay of the next round after one that failed. */
const FAILED_ROUND_DELAY_MS = 200;
const MAXIMUM_LOGGED_JOBS = 5;
const {
  APPLY_JOB_ROWS,
  COLLECT_ENDED_JOBS,
  PUBLISH_LOAD,
  READ_WORKERS,
  SCHEDULE_ROUND,
  START_SCHEDULER,
  TICK,
  UPDATE_SPEEDS,
  WRITE_BEGUN_JOBS,
} = BACKGROUND_ACTIVITY;

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
  /** A round has failed, and not because of single jobs; the scheduler goes on until it is stopped. */
  readonly onRoundFailed: () => void;
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
  readonly #planner: IsolatedPlanner<LiveJob>;
  readonly #urgentDemand = UrgentDemand.create((queue) =>
    !this.#circuits.isQueueOpen(queue)
  );
  readonly #circuits: StartCircuits;
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
      rowLimitBytes: settings.rowLimitBytes,
      findOtherRuns: (job) => ({
        isUnreported: this.#isUnreported,
        strayWorkers: this.#runs.listStrayWorkers(job),
      }),
      snapshotProcessedEnds: () => this.#fleet.snapshotProcessedEnds(),
      onClosed: (job) => this.#jobs.close(job),
      onPlaced: (unit) => this.#runs.sendStarts(unit),
      onRejected: (job) => {
        job.halveMaximumRuns();
        job.listPending().forEach(([unit]) =>
          this.#runs.close(unit, "its placement can't be stored")
        );
      },
      onNewerHolder: () => options.onNewerHolder("progress of a later holder"),
    });
    this.#begunJobs = BegunJobsWriter.create({
      ...options,
      rowLimitBytes: settings.rowLimitBytes,
    });
    this.#load = LoadPublisher.create({
      ...options,
      isCounted: (queue) => !this.#circuits.isQueueOpen(queue),
    });
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
    this.#circuits = StartCircuits.create({
      ...options,
      getDeclaredState: () => declared.current,
      getSession: (worker) => this.#fleet.get(worker),
      requestRound: guard(
        options.log,
        SCHEDULE_ROUND,
        () => this.#requestRound(),
      ),
    });
    const events = SessionEventHandler.create({
      ...options,
      speeds: this.#speeds,
      jobs: this.#jobs,
      runs: this.#runs,
      writer: this.#writer,
      crashes: this.#crashes,
      circuits: this.#circuits,
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
    this.#planner = IsolatedPlanner.create<LiveJob>({
      clock: options.clock,
      onExcluded: (jobs, error) =>
        reportFailure(options.log, SCHEDULE_ROUND, error, {
          jobs: jobs.map(({ jobId }) => jobId).slice(0, MAXIMUM_LOGGED_JOBS),
          count: jobs.length,
        }),
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
    const { follower, declared, log } = this.#options;
    await this.#awaitRows();
    if (this.#isStopped) return;
    this.#guard(
      START_SCHEDULER,
      () => this.#speeds.readStored(follower.get(SPEEDS_KEY)?.value),
    );
    this.#applyRows(follower.rows());
    this.#quotas.recordEarlierPlacements();
    this.#subscription = follower.onChanged(APPLY_JOB_ROWS, (rows) => {
      // Planning does not read the published load.
      if (rows.some(({ key }) => key !== LOAD_KEY)) this.#applyRows(rows);
    });
    this.#subscription.add(
      subscribeGuarded(declared.changes, log, SCHEDULE_ROUND, () => {
        this.#fleet.applyRecords();
        this.#requestRound();
      }),
    );
    // Until their leases have lapsed, workers without a session count as running what was placed.
    this.#guard(START_SCHEDULER, () => this.#fleet.openRosterSessions());
    await settleWork(log, READ_WORKERS, () => this.#fleet.read());
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
      ...this.#circuits.count(),
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
    const { log, epoch } = this.#options;
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
      this.#every(TICK_PERIOD_MS, TICK, () => this.#tick()),
      this.#every(DIRECTORY_PERIOD_MS, READ_WORKERS, () => this.#fleet.read()),
      this.#every(BEGUN_PERIOD_MS, WRITE_BEGUN_JOBS, () => this.#writeBegun()),
      this.#every(LOAD_PERIOD_MS, PUBLISH_LOAD, () => this.#publishLoad()),
      this.#every(
        COLLECT_PERIOD_MS,
        COLLECT_ENDED_JOBS,
        () => this.#collectEnded(),
      ),
      this.#every(SPEEDS_PERIOD_MS, UPDATE_SPEEDS, () => this.#updateSpeeds()),
    );
    this.#requestRound();
  }

  #every(
    periodMs: number,
    activity: BackgroundActivity,
    work: () => unknown,
  ): Timer {
    const { clock, log } = this.#options;
    return clock.every(periodMs, guard(log, activity, work));
  }

  /** One job, worker or part that fails keeps no other from its turn. */
  #guard(
    activity: BackgroundActivity,
    work: () => void,
    fields?: LogFields,
  ): void {
    runInBackground(this.#options.log, activity, work, fields);
  }

  #applyRows(rows: Iterable<StateRow>): void {
    this.#jobs.applyRows(rows);
    this.#requestRound();
  }

  #requestRound(): void {
    if (this.#isRoundDue || !this.#isReady || this.#isStopped) return;
    this.#isRoundDue = true;
    const { clock, log } = this.#options;
    // Rounds take at most half of the processor time, so that calls and renewals are not late.
    const delayMs = Math.max(MINIMUM_ROUND_DELAY_MS, this.#roundDurationMs);
    clock.after(delayMs, guard(log, SCHEDULE_ROUND, () => this.#runRound()));
  }

  #runRound(): void {
    const { clock } = this.#options;
    this.#isRoundDue = false;
    if (this.#isStopped) return;
    const startedMs = clock.nowMs();
    const isDone = this.#tryRound();
    const durationMs = clock.nowMs() - startedMs;
    this.#roundDurationMs = isDone
      ? durationMs
      : Math.max(durationMs, FAILED_ROUND_DELAY_MS);
  }

  #tryRound(): boolean {
    try {
      this.#round();
      return true;
    } catch (error) {
      const { log, onRoundFailed } = this.#options;
      reportFailure(log, SCHEDULE_ROUND, error);
      onRoundFailed();
      return false;
    }
  }

  #round(): void {
    const { clock, nowUnixMs, declared, canAct, log, settings } = this.#options;
    // Without the declared state, the quotas are not known.
    const state = declared.current;
    if (!canAct() || state === undefined) return;
    const nowMs = clock.nowMs();
    const strayUnits = this.#runs.listStrayUnits();
    const mayStillRun = (unit: Unit) =>
      strayUnits.has(describeUnit(unit)) ||
      mayStillRunUnreported(unit, this.#isUnreported);
    const checks: EarlierRunChecks = {
      getSession: (worker) => this.#fleet.get(worker),
      hasUnusableRecord: (worker) => this.#fleet.hasUnusableRecord(worker),
      isBlocked: mayStillRun,
    };
    for (const job of this.#jobs.jobs) {
      this.#guard(
        SCHEDULE_ROUND,
        () => this.#crashes.recordEarlierRuns([job], checks),
        { job: job.jobId },
      );
    }
    const jobs = this.#jobs.jobs.filter(({ ending, isHeld }) =>
      ending === undefined && !isHeld
    );
    this.#circuits.beginRound(jobs, mayStillRun);
    const common = {
      workers: this.#fleet.createUsableWorkerViews(),
      guarantees: state.guarantees,
      findOwner: (spec: CellJobSpec) => findOwner(state, spec),
      shares: this.#quotas.createShares(),
      nowMs,
      nowUnixMs: nowUnixMs(),
      urgentRatesPerS: this.#urgentDemand.computeRatesPerS(nowUnixMs()),
      stopLimitMs: settings.bounds.stopLimitMs,
      isBlocked: (unit: Unit) =>
        this.#circuits.isWithheld(unit) || mayStillRun(unit),
      circuits: this.#circuits,
    };
    const { input, plan } = this.#planner.plan(jobs, (included) => {
      const input = createPlanInput({ ...common, jobs: included });
      const isIdle = input.waiting.length === 0;
      return { input, plan: isIdle ? undefined : planRound(input) };
    });
    this.#guard(PUBLISH_LOAD, () => this.#load.collector.observe(input));
    this.#urgentHeadroom = [...input.urgentHeadroom?.values() ?? []].reduce(
      (sum, accelerators) => sum + accelerators,
      0,
    );
    if (plan === undefined) return;
    for (const { unit, forUnit, workers } of plan.evictions) {
      log.info("unit.evicted", {
        unit: describeUnit(unit),
        forUnit: describeUnit(forUnit),
        workers,
      });
      this.#guardUnit(
        SCHEDULE_ROUND,
        unit,
        () => this.#runs.close(unit, "evicted"),
      );
    }
    this.#quotaWaits.recordWaits(
      plan.quotaWaits ?? [],
      state.version,
    );
    for (const { unit, workers } of plan.placements) {
      this.#guardUnit(SCHEDULE_ROUND, unit, () => this.#place(unit, workers));
    }
  }

  #place(unit: Unit, workers: readonly WorkerName[]): void {
    this.#quotaWaits.recordStart(unit);
    this.#circuits.recordPlacement(unit);
    try {
      this.#runs.place(unit, workers);
      this.#writer.mark(unit.job, true);
    } catch (error) {
      // Nothing was sent, and the unit has to wait again.
      this.#runs.close(unit, "its placement failed");
      throw error;
    }
  }

  #guardUnit(
    activity: BackgroundActivity,
    { job, address }: Unit,
    work: () => void,
  ): void {
    this.#guard(activity, work, { job: job.jobId, ...address });
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
    if (this.#fleet.isFencedByAll) {
      this.#options.onNewerHolder("orders fenced by all workers that answer");
      return;
    }
    for (const session of this.#fleet.sessions) {
      this.#guard(TICK, () => {
        session.dropIfExpired();
        session.startPolling();
      }, { ...session.target });
    }
    for (const job of this.#jobs.jobs) {
      this.#guard(TICK, () => this.#crashes.clearSurvivors([job]), {
        job: job.jobId,
      });
    }
    this.#jobs.openDueUnits();
    for (const job of this.#jobs.jobs) {
      for (const unit of job.units.values()) {
        this.#guardUnit(TICK, unit, () => this.#checkRun(unit));
      }
    }
    this.#closeIncompleteGangs();
    this.#requestRound();
  }

  #checkRun(unit: Unit): void {
    this.#closeIfStalled(unit);
    const leaving = findLeavingRun(unit, this.#leaving);
    if (leaving === undefined) return;
    this.#runs.close(unit, "a worker leaves", { ...leaving });
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
        this.#guardUnit(TICK, unit, () => {
          if (!isIncomplete(unit, this.#isUnreported)) return;
          this.#runs.close(unit, "members are missing");
        });
      }
    }
  }
}
