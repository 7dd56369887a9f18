/**
 * The holder's side of the cell: takes the jobs of the store and the workers' reports, decides by
 * the pure planner, orders starts and stops, and has ends stored. Lives for one epoch; a new
 * holder begins with an empty one and learns what runs from the workers themselves.
 */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import {
  type CellJobId,
  countedNeed,
  JOB_STATE,
  JobProgress,
  planRound,
  RUN_END,
  type TaskName,
  type UnitAddress,
} from "@coltsfootpond/policy";
import type {
  CellSettings,
  EndedTask,
  RecordWire,
  RunningTask,
  StartRefusal,
  StateRow,
  StateStore,
  WorkerOrders,
} from "@coltsfootpond/ports";
import type { Subscription } from "rxjs";
import { createPlanInput } from "./plan_input.ts";
import type { DeclaredStateTask } from "./declared_state.ts";
import {
  createMember,
  formatUnitKey,
  LiveJob,
  parseTaskName,
  type Unit,
  type UnitRun,
} from "./live_job.ts";
import { EndedRows } from "./ended_rows.ts";
import type { CellLog } from "./log.ts";
import { ProgressWriter } from "./progress_writer.ts";
import {
  BEGUN_KEY,
  decodeRow,
  encodeRow,
  type EndedState,
  type JobRow,
  parseJobKey,
  progressKey,
  type ProgressRow,
} from "./rows.ts";
import type { TableFollower } from "./table_follower.ts";
import { DIRECTORY_PERIOD_MS } from "./worker_directory.ts";
import { putRow, WorkerFleet } from "./worker_fleet.ts";
import type {
  Member,
  SessionListener,
  WorkerSession,
} from "./worker_session.ts";

const ROUND_PAUSE_MS = 4;
const RELOAD_PAUSE_MS = 50;
const TICK_MS = 200;
const BEGUN_PERIOD_MS = 500;
/** One of 16 groups of jobs is looked through at a time. */
const COLLECT_PERIOD_MS = 1_000;
/** Run numbers of one epoch lie in a block of their own, so that they rise by construction. */
const RUNS_PER_EPOCH = 1_000_000;
/** A worker that refused a start is left alone this long. */
const REFUSED_PAUSE_MS = 400;
/** A worker on which runs of this many jobs failed in a row is left alone for a while. */
const FAILURES_TO_QUARANTINE = 2;
const QUARANTINE_MS = 4_000;
/** A run of which no member has made progress for this long stands still. */
const STALL_MS = 2_500;

export interface CellSchedulerOptions {
  readonly epoch: number;
  /** Version of the store at which the lease was taken. */
  readonly takenVersion: number;
  readonly settings: CellSettings;
  readonly store: StateStore;
  readonly orders: WorkerOrders;
  readonly wire: RecordWire;
  readonly follower: TableFollower;
  readonly declared: DeclaredStateTask;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly canAct: () => boolean;
  readonly onOvertaken: (reason: string) => void;
}

const NO_RESOURCES = { cpuMilli: 0, memoryMib: 0, accelerators: 0 };

/** Schedules all jobs of the cell while its lease is held. */
export class CellScheduler implements SessionListener {
  readonly #options: CellSchedulerOptions;
  readonly #jobs = new Map<CellJobId, LiveJob>();
  readonly #fleet: WorkerFleet;
  readonly #unitByMember = new Map<Member, Unit>();
  /** Runs found on workers that belong to no unit's run. */
  readonly #strays = new Map<Member, WorkerSession>();
  readonly #failedJobs = new Map<WorkerName, Set<CellJobId>>();
  readonly #writer: ProgressWriter;
  readonly #endedRows: EndedRows;
  readonly #timers: { cancel(): void }[] = [];
  #subscription: Subscription | undefined;
  #nextRun: number;
  #isReady = false;
  #isStopped = false;
  #isRoundDue = false;
  #begunWritten = "";

  private constructor(options: CellSchedulerOptions) {
    this.#options = options;
    this.#nextRun = options.epoch * RUNS_PER_EPOCH;
    const { store, follower, clock, nowUnixMs, log, canAct } = options;
    this.#writer = ProgressWriter.create({
      store,
      follower,
      clock,
      nowUnixMs,
      log,
      canAct,
      snapshotEnds: () => this.#fleet.snapshotEnds(),
      onClosed: (job) => this.#closeJob(job),
      onPlaced: (unit) => this.#sendStarts(unit),
      onOvertaken: () => options.onOvertaken("progress of a later holder"),
    });
    this.#endedRows = EndedRows.create({
      store,
      follower,
      nowUnixMs,
      log,
      keepMs: options.settings.bounds.endedStateMs,
    });
    this.#fleet = WorkerFleet.create({
      ...options,
      bounds: options.settings.bounds,
      heartbeatMs: options.settings.workerHeartbeatMs,
      isOut: (failureDomain) => options.declared.isOut(failureDomain),
      listener: this,
      onChanged: () => this.#requestRound(),
    });
  }

  static create(options: CellSchedulerOptions): CellScheduler {
    return new CellScheduler(options);
  }

  /** Learns what runs, then schedules until stopped. */
  async start(): Promise<void> {
    const { clock, follower, declared, log } = this.#options;
    await this.#awaitState();
    if (this.#isStopped) return;
    this.#takeRows([...follower.rows()]);
    this.#subscription = follower.changes.subscribe((rows) =>
      this.#takeRows(rows)
    );
    this.#subscription.add(
      declared.changes.subscribe(() => this.#requestRound()),
    );
    this.#fleet.takeRoster();
    await this.#fleet.read();
    await this.#fleet.awaitReports();
    if (this.#isStopped) return;
    this.#isReady = true;
    for (const [member, session] of [...this.#strays]) {
      this.#settleStray(member, session);
    }
    log.info("scheduler.ready", {
      epoch: this.#options.epoch,
      jobs: this.#jobs.size,
      workers: this.#fleet.sessions.length,
      unreported: this.#fleet.sessions.filter((session) =>
        !session.hasReported
      ).length,
      adopted: this.#unitByMember.size,
    });
    this.#closeIncomplete();
    this.#timers.push(
      clock.every(TICK_MS, () => this.#tick()),
      clock.every(DIRECTORY_PERIOD_MS, () => void this.#fleet.read()),
      clock.every(BEGUN_PERIOD_MS, () => void this.#writeBegun()),
      clock.every(COLLECT_PERIOD_MS, () => void this.#collectEnded()),
    );
    this.#requestRound();
  }

  stop(): void {
    this.#isStopped = true;
    this.#subscription?.unsubscribe();
    this.#timers.forEach((timer) => timer.cancel());
    this.#writer.stop();
    this.#fleet.stop();
  }

  /** Reads all that was written before the lease was taken; the feed may keep changes back. */
  async #awaitState(): Promise<void> {
    const { follower, takenVersion, clock } = this.#options;
    while (!this.#isStopped && !await follower.reload(takenVersion)) {
      await clock.sleep(RELOAD_PAUSE_MS);
    }
  }

  // Jobs.

  #takeRows(rows: readonly StateRow[]): void {
    for (const row of rows) {
      const jobId = parseJobKey(row.key);
      if (jobId !== undefined) this.#takeJobRow(jobId, row);
    }
    this.#requestRound();
  }

  #takeJobRow(jobId: CellJobId, row: StateRow): void {
    const known = this.#jobs.get(jobId);
    const job = row.value && decodeRow<JobRow>(row.value);
    if (job?.kind === "live") {
      if (known === undefined) this.#openJob(job, row.version);
      return;
    }
    if (known !== undefined) {
      this.#options.log.info("job.closed", {
        job: jobId,
        row: job?.kind === "ended" ? job.state : job?.kind ?? "deleted",
      });
      this.#closeJob(known);
    }
  }

  #openJob(
    { spec }: Extract<JobRow, { kind: "live" }>,
    rowVersion: number,
  ): void {
    const { follower, clock, nowUnixMs, log } = this.#options;
    const stored = follower.get(progressKey(spec.jobId));
    const row = stored?.value && decodeRow<ProgressRow>(stored.value);
    const job = LiveJob.create({
      spec,
      progress: JobProgress.create(spec, row?.record),
      rowVersion,
      progressVersion: stored?.version ?? 0,
      placements: row?.placements,
    });
    job.hasBegun = stored !== undefined;
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

  /** The job has ended: nothing of it may go on. */
  #closeJob(job: LiveJob): void {
    if (!this.#jobs.delete(job.jobId)) return;
    this.#writer.forget(job);
    for (const unit of job.units.values()) this.#closeRun(unit, "job ended");
    this.#requestRound();
  }

  /** Ends the job if it is complete or can no longer be. */
  #checkEnd(job: LiveJob): void {
    if (job.ending !== undefined) return;
    const ending: EndedState | undefined = job.progress.isComplete()
      ? JOB_STATE.COMPLETED
      : job.progress.isFailed()
      ? JOB_STATE.FAILED
      : undefined;
    if (ending === undefined) return;
    job.ending = ending;
    for (const unit of job.units.values()) this.#closeRun(unit, ending);
    this.#writer.mark(job, true);
  }

  // Rounds.

  #requestRound(): void {
    if (this.#isRoundDue || !this.#isReady || this.#isStopped) return;
    this.#isRoundDue = true;
    this.#options.clock.after(ROUND_PAUSE_MS, () => {
      this.#isRoundDue = false;
      if (!this.#isStopped) this.#round();
    });
  }

  #round(): void {
    const { clock, nowUnixMs, declared, canAct, log, settings } = this.#options;
    if (!canAct()) return;
    const nowMs = clock.nowMs();
    const unresolved = this.#fleet.findUnresolved();
    const strayUnits = this.#findStrayUnits();
    const isBlocked = (unit: Unit) =>
      strayUnits.has(describeUnit(unit)) ||
      !unit.wasSeen && mayRunUnseen(unit, unresolved);
    const input = createPlanInput({
      jobs: [...this.#jobs.values()].filter((job) => job.ending === undefined),
      workers: this.#fleet.createViews(nowMs),
      guarantees: declared.current?.guarantees ?? [],
      nowMs,
      nowUnixMs: nowUnixMs(),
      remoteFactor: settings.bounds.remoteFactor,
      isBlocked,
    });
    if (input.waiting.length === 0) return;
    const plan = planRound(input);
    for (const unit of plan.evictions) {
      log.info("unit.evicted", { unit: describeUnit(unit) });
      this.#closeRun(unit, "evicted");
    }
    for (const { unit, workers } of plan.placements) {
      this.#startUnit(unit, workers, nowMs);
    }
  }

  #startUnit(unit: Unit, workers: readonly WorkerName[], nowMs: number): void {
    const { job } = unit;
    const run: UnitRun = {
      run: ++this.#nextRun,
      members: new Map(),
      startedMs: nowMs,
      isPending: true,
      isClosing: false,
    };
    unit.run = run;
    unit.wasSeen = true;
    job.hasBegun = true;
    this.#options.log.info("unit.started", {
      unit: describeUnit(unit),
      run: run.run,
      workers,
      waitedMs: Math.round(nowMs - unit.waitingSinceMs),
    });
    for (const [index, worker] of workers.entries()) {
      const session = this.#fleet.get(worker);
      if (session === undefined) continue;
      const member = createMember(unit, index, run.run, nowMs);
      session.reserve(member);
      run.members.set(member, session);
      this.#unitByMember.set(member, unit);
    }
    this.#writer.mark(job, true);
  }

  /** The unit's placement is stored: a later holder knows where its run may be. */
  #sendStarts(unit: Unit): void {
    const { run, job } = unit;
    if (run === undefined || !run.isPending || run.isClosing) return;
    if (!this.#options.canAct()) {
      this.#closeRun(unit, "the lease is in doubt");
      return;
    }
    run.isPending = false;
    for (const [member, session] of run.members) {
      void session.start(member, job.spec.payload);
    }
  }

  /** Ends the unit's run: every member that may still run is told to stop. */
  #closeRun(unit: Unit, reason: string): void {
    const { run } = unit;
    if (run === undefined) return;
    if (!run.isClosing) {
      run.isClosing = true;
      this.#options.log.info("unit.closing", {
        unit: describeUnit(unit),
        run: run.run,
        reason,
        members: run.members.size,
      });
      for (const [member, session] of [...run.members]) {
        if (run.isPending) {
          session.release(member);
          this.#dropMember(member);
        } else {
          void session.stopMember(member);
        }
      }
    }
    this.#finishRun(unit, run);
  }

  #finishRun(unit: Unit, run: UnitRun): void {
    if (run.members.size > 0 || unit.run !== run) return;
    unit.run = undefined;
    unit.waitingSinceMs = this.#options.clock.nowMs();
    if (unit.job.progress.isUnitDone(unit.address)) {
      unit.job.units.delete(formatUnitKey(unit.address));
    }
    this.#requestRound();
  }

  #dropMember(member: Member): Unit | undefined {
    const unit = this.#unitByMember.get(member);
    this.#strays.delete(member);
    this.#unitByMember.delete(member);
    unit?.run?.members.delete(member);
    return unit;
  }

  // What sessions tell.

  onStarted(): void {}

  onRefused(
    session: WorkerSession,
    member: Member,
    reason: StartRefusal | "wrong_life",
  ): void {
    this.#options.log.warn("task.start_refused", {
      task: member.task,
      run: member.run,
      worker: session.worker,
      reason,
    });
    session.pausedUntilMs = this.#options.clock.nowMs() + REFUSED_PAUSE_MS;
    void session.quickPoll();
    const unit = this.#dropMember(member);
    if (unit !== undefined) this.#closeRun(unit, `start refused: ${reason}`);
  }

  onUnsure(session: WorkerSession, member: Member): void {
    this.#options.log.warn("task.start_unanswered", {
      task: member.task,
      run: member.run,
      worker: session.worker,
    });
    session.pausedUntilMs = this.#options.clock.nowMs() + REFUSED_PAUSE_MS;
    const unit = this.#unitByMember.get(member);
    if (unit !== undefined) this.#closeRun(unit, "start unanswered");
    else void session.stopMember(member);
  }

  onGone(session: WorkerSession, member: Member, reason: string): void {
    this.#options.log.warn("task.gone", {
      task: member.task,
      run: member.run,
      worker: session.worker,
      reason,
    });
    const unit = this.#dropMember(member);
    if (unit === undefined) return;
    unit.job.progress.recordCheckpoint(unit.address, member.checkpoint);
    this.#closeRun(unit, reason);
  }

  onEnded(session: WorkerSession, ended: EndedTask, member?: Member): void {
    this.#options.log.info("task.ended", {
      task: ended.task,
      run: ended.run,
      worker: session.worker,
      end: ended.end,
    });
    if (member !== undefined) this.#dropMember(member);
    const name = parseTaskName(ended.task);
    const job = name && this.#jobs.get(name.jobId);
    const step = name && job?.spec.steps[name.step];
    if (name !== undefined && job !== undefined && step !== undefined) {
      const address = { ...name, index: step.isGang ? 0 : name.index };
      const unit = job.units.get(formatUnitKey(address));
      this.#takeUnitEnd(session, job, address, ended);
      if (
        member !== undefined && unit?.run !== undefined &&
        unit.run.run === ended.run
      ) this.#continueEnd(unit, unit.run, ended);
    }
    this.#writer.markEnds();
    this.#requestRound();
  }

  /** The other members of a gang that is done are left to list their own ends. */
  #continueEnd(unit: Unit, run: UnitRun, ended: EndedTask): void {
    if (ended.end !== RUN_END.DONE || run.members.size === 0) {
      this.#closeRun(unit, `a member ended ${ended.end}`);
    }
  }

  /** Ends count for the job whether or not its step is known to be due yet. */
  #takeUnitEnd(
    session: WorkerSession,
    job: LiveJob,
    address: UnitAddress,
    ended: EndedTask,
  ): void {
    const { clock, nowUnixMs } = this.#options;
    const key = formatUnitKey(address);
    const unit = job.units.get(key);
    switch (ended.end) {
      case RUN_END.DONE:
        this.#failedJobs.delete(session.worker);
        if (job.spec.steps[address.step]?.isPersistent) return;
        if (job.progress.isUnitDone(address)) return;
        job.progress.recordDone(address);
        if (unit?.run === undefined) job.units.delete(key);
        else if (unit.run.run !== ended.run) {
          this.#closeRun(unit, "done before");
        }
        job.openDueUnits(clock.nowMs(), nowUnixMs());
        break;
      case RUN_END.FAILED:
        job.progress.recordFailure(address, ended.run);
        unit?.failedOn.add(session.worker);
        this.#noteFailure(session, job.jobId);
        break;
      case RUN_END.STOPPED:
      case RUN_END.LAPSED:
      case RUN_END.BROKEN:
      case RUN_END.ALONE:
        job.progress.recordCheckpoint(address, ended.checkpoint);
        break;
    }
    this.#checkEnd(job);
    if (this.#jobs.has(job.jobId)) {
      this.#writer.mark(job, job.ending !== undefined);
    }
  }

  /** A worker on which runs of several jobs fail is likely the cause. */
  #noteFailure(session: WorkerSession, jobId: CellJobId): void {
    const jobs = this.#failedJobs.get(session.worker) ?? new Set();
    jobs.add(jobId);
    this.#failedJobs.set(session.worker, jobs);
    if (jobs.size < FAILURES_TO_QUARANTINE) return;
    session.pausedUntilMs = this.#options.clock.nowMs() + QUARANTINE_MS;
    this.#failedJobs.delete(session.worker);
    this.#options.log.warn("worker.quarantined", { worker: session.worker });
  }

  onStray(session: WorkerSession, running: RunningTask): void {
    const name = parseTaskName(running.task);
    const job = name && this.#jobs.get(name.jobId);
    const step = name && job?.spec.steps[name.step];
    const member = session.adopt(running, {
      need: step === undefined ? NO_RESOURCES : countedNeed(step),
      stepKey: name === undefined
        ? ""
        : `${name.jobId}.${name.occurrence}.${name.step}`,
    });
    this.#strays.set(member, session);
    // Until all have reported, an end that makes the task's step due may still be missing.
    if (this.#isReady) this.#settleStray(member, session);
  }

  /** Takes a found run over, or stops it; its unit starts nothing before it is gone. */
  #settleStray(member: Member, session: WorkerSession): void {
    const unit = this.#findUnit(member.task);
    if (unit !== undefined && this.#mayAdopt(unit, member.run)) {
      unit.run ??= {
        run: member.run,
        members: new Map(),
        startedMs: this.#options.clock.nowMs(),
        isPending: false,
        isClosing: false,
      };
      unit.wasSeen = true;
      unit.job.hasBegun = true;
      unit.run.members.set(member, session);
      this.#unitByMember.set(member, unit);
      this.#strays.delete(member);
      return;
    }
    this.#options.log.warn("task.stray", {
      task: member.task,
      run: member.run,
      worker: session.worker,
    });
    void session.stopMember(member);
  }

  /** Units of which a run that is not theirs may still be at work. */
  #findStrayUnits(): ReadonlySet<string> {
    return new Set([...this.#strays.keys()].map(({ task }) => {
      const name = parseTaskName(task);
      const step = name && this.#jobs.get(name.jobId)?.spec.steps[name.step];
      if (name === undefined || step === undefined) return task;
      const index = step.isGang ? 0 : name.index;
      return `${name.jobId}.${formatUnitKey({ ...name, index })}`;
    }));
  }

  /** Runs of earlier holders are taken over unless a newer run of the unit is under way. */
  #mayAdopt(unit: Unit, run: number): boolean {
    if (run > this.#options.epoch * RUNS_PER_EPOCH) return false;
    return unit.run === undefined ||
      unit.run.run === run && !unit.run.isClosing;
  }

  onReport(): void {
    this.#requestRound();
  }

  onFenced(session: WorkerSession): void {
    this.#options.onOvertaken(`orders fenced by ${session.worker}`);
  }

  #findUnit(task: TaskName): Unit | undefined {
    const name = parseTaskName(task);
    const job = name && this.#jobs.get(name.jobId);
    if (name === undefined || job === undefined) return undefined;
    const step = job.spec.steps[name.step];
    if (step === undefined) return undefined;
    const index = step.isGang ? 0 : name.index;
    return job.units.get(formatUnitKey({ ...name, index }));
  }

  async #writeBegun(): Promise<void> {
    if (!this.#options.canAct()) return;
    const jobIds = [...this.#jobs.values()].filter(({ hasBegun }) => hasBegun)
      .map(({ jobId }) => jobId);
    const text = jobIds.join();
    if (text === this.#begunWritten) return;
    if (await putRow(this.#options, BEGUN_KEY, encodeRow({ jobIds }))) {
      this.#begunWritten = text;
    }
  }

  async #collectEnded(): Promise<void> {
    if (this.#options.canAct()) await this.#endedRows.collect();
  }

  // Upkeep.

  #tick(): void {
    const { clock, nowUnixMs } = this.#options;
    const nowMs = clock.nowMs();
    for (const session of this.#fleet.sessions) {
      session.checkLapse();
      session.wake();
    }
    for (const job of this.#jobs.values()) {
      if (job.spec.recurrence !== undefined) {
        job.openDueUnits(nowMs, nowUnixMs());
      }
      for (const unit of job.units.values()) this.#checkRun(unit, nowMs);
    }
    this.#closeIncomplete();
    this.#requestRound();
  }

  /** Stops runs that stand still. */
  #checkRun(unit: Unit, nowMs: number): void {
    const { run } = unit;
    if (run === undefined || run.isClosing || unit.step.isPersistent) return;
    const members = [...run.members];
    const isStalled = members.length > 0 &&
      members.every(([member]) =>
        member.percent < 100 &&
        member.percentSeenClockMs - member.percentSinceClockMs > STALL_MS
      );
    const isKnown = members.every(([, session]) => session.isReachable);
    if (!isStalled || !isKnown) return;
    for (const [, session] of members) {
      session.pausedUntilMs = nowMs + QUARANTINE_MS;
    }
    this.#closeRun(unit, "no progress");
  }

  /** A gang of which members are missing for good cannot work. */
  #closeIncomplete(): void {
    const unresolved = this.#fleet.findUnresolved();
    for (const job of this.#jobs.values()) {
      for (const unit of job.units.values()) {
        const { run } = unit;
        if (run === undefined || run.isClosing) continue;
        if (mayRunUnseen(unit, unresolved)) continue;
        if (run.members.size < unit.count && !this.#isUnitDone(unit)) {
          this.#closeRun(unit, "members are missing");
        }
      }
    }
  }

  #isUnitDone(unit: Unit): boolean {
    return unit.job.progress.isUnitDone(unit.address);
  }
}

/** Whether an earlier holder placed the unit on a worker that has not reported. */
function mayRunUnseen(
  unit: Unit,
  unresolved: ReadonlySet<WorkerName>,
): boolean {
  if (unresolved.size === 0) return false;
  const workers = unit.job.earlierPlacements.get(formatUnitKey(unit.address));
  return workers?.some((worker) => unresolved.has(worker)) ?? false;
}

function describeUnit(unit: Unit): string {
  return `${unit.job.jobId}.${formatUnitKey(unit.address)}`;
}
