/**
 * The lease holder's state of one worker: the task runs placed there, what it reports, and when its
 * leases have expired. A started task is gone only when the worker lists its end, when a report
 * proves that it does not run there, or when its lease has expired on the slowest clock.
 */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import type {
  CellBounds,
  RenewOutcome,
  RunningTask,
  Unavailable,
  WorkerPort,
  WorkerRecord,
  WorkerTarget,
} from "@coltsfootpond/ports";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { reportFailure } from "./background/report_failure.ts";
import { runInBackground } from "./background/run_in_background.ts";
import type { CellLog } from "./log.ts";
import type { AdoptedStep, SessionListener, TaskRun } from "./task_run.ts";
import { type Report, WorkerTaskRuns } from "./worker_task_runs.ts";
import { Reachability } from "./reachability.ts";
import { EndAcknowledgements } from "./end_acknowledgements.ts";
import {
  COMMAND_TIMEOUT_MS,
  RETRY_DELAY_MS,
  TaskCommands,
} from "./task_commands.ts";
import type { FirstContacts } from "./first_contacts/first_contacts.ts";
import type { LeftWorker } from "./worker_directory.ts";
import { WorkerLeases } from "./worker_leases.ts";
import { WorkerIncarnation } from "./incarnations/worker_incarnation.ts";

/** Longest wait of a long poll; below the lease of a start, which the next poll extends. */
const LONG_POLL_MS = 1_000;
/** One connection may be reset although a process listens. */
const REFUSED_POLLS_TO_CLOSED = 2;
/** Delay before each poll of a worker without task runs. */
const ACKNOWLEDGE_DELAY_MS = 800;

export interface WorkerSessionOptions {
  readonly target: WorkerTarget;
  readonly epoch: number;
  readonly workerPort: WorkerPort;
  readonly bounds: CellBounds;
  readonly clock: Clock;
  readonly log: CellLog;
  readonly listener: SessionListener;
  readonly canAct: () => boolean;
  /** Called after the first report of each incarnation. */
  readonly onFirstReport?: () => void;
  /** Longest delay of the next poll of a worker that has never reported. */
  readonly getMaximumRetryDelayMs?: () => number;
  /** Where calls to the worker wait until it has reported; undefined when they don't. */
  readonly getFirstContacts?: () => FirstContacts | undefined;
}

/** Polls one worker and sends commands to it. */
export class WorkerSession {
  readonly target: WorkerTarget;
  /** The worker's newest record; undefined when the directory has none. */
  record: WorkerRecord | undefined;
  /**
   * Whether the stored roster lists it, so that a later lease holder collects its report; required
   * before the first start there.
   */
  isRostered = false;
  readonly #options: WorkerSessionOptions;
  readonly #incarnation: WorkerIncarnation;
  readonly #leases: WorkerLeases;
  readonly #taskRuns: WorkerTaskRuns;
  readonly #ends: EndAcknowledgements;
  readonly #reachability: Reachability;
  readonly #commands: TaskCommands;
  #pausedUntilMs = 0;
  #isPollLoopRunning = false;
  /** Whether it has been called before its first report. */
  #wasCalled = false;
  #isImmediatePollRunning = false;
  /** Whether a report is needed to tell which incarnation of the worker is the present one. */
  #isReportDue = false;
  #isStopped = false;
  #isFenced = false;
  /** Consecutive polls at which the connection was refused or closed, or another worker answered. */
  #refusedPolls = 0;
  #firstContactDelayMs = RETRY_DELAY_MS / 2;
  /** The removal of the present incarnation's record, until the worker answers. */
  #left: LeftWorker | undefined;
  /** The incarnation that its record last showed as draining. */
  #drainingStartUnixMs: number | undefined;
  /** The earliest time at which the draining incarnation leaves, as first announced. */
  #departureMs: number | undefined;

  private constructor(options: WorkerSessionOptions) {
    this.#options = options;
    this.target = options.target;
    this.#incarnation = WorkerIncarnation.create(options.clock);
    this.#leases = WorkerLeases.create({
      clock: options.clock,
      leaseMaximumMs: options.bounds.leaseMaximumMs,
    });
    const { listener } = options;
    this.#taskRuns = WorkerTaskRuns.create({
      clock: options.clock,
      onEnded: (ended, taskRun) => listener.onEnded(this, ended, taskRun),
      onGone: (taskRun, evidence) => listener.onGone(this, taskRun, evidence),
      onStarted: (taskRun) => listener.onStarted(this, taskRun),
      onStray: (running) => listener.onStray(this, running),
    });
    this.#ends = EndAcknowledgements.create(options.clock);
    this.#reachability = Reachability.create({
      worker: options.target.worker,
      log: options.log,
    });
    this.#commands = TaskCommands.create({
      ...options,
      taskRuns: this.#taskRuns,
      leases: this.#leases,
      getIncarnationStartUnixMs: () => this.incarnationStartUnixMs,
      isStopped: () => this.#isStopped,
      requestReport: () => this.pollNow(),
      onSent: () => this.startPolling(),
      onRefused: (taskRun, reason) => listener.onRefused(this, taskRun, reason),
      onStarted: (taskRun) => listener.onStarted(this, taskRun),
      onStartedLate: (taskRun) => this.#reportStartedLate(taskRun),
      onStartUnanswered: (taskRun) => listener.onStartUnanswered(this, taskRun),
      onUnanswered: (outcome) => this.#recordLostContact(outcome),
      onFenced: () => listener.onFenced(this),
    });
  }

  static create(options: WorkerSessionOptions): WorkerSession {
    return new WorkerSession(options);
  }

  get worker(): WorkerName {
    return this.target.worker;
  }

  /** Whether it has reported in this epoch. */
  get hasReported(): boolean {
    return this.#leases.isClockKnown;
  }

  /** Whether it has reported in this epoch and answers calls. */
  get isReachable(): boolean {
    return this.hasReported && this.#reachability.isReachable;
  }

  /** Whether the worker does not seem to be at the address any more. */
  get isClosed(): boolean {
    return this.#refusedPolls >= REFUSED_POLLS_TO_CLOSED;
  }

  /** Whether it has refused a poll because of a later epoch, and has not reported since. */
  get isFenced(): boolean {
    return this.#isFenced;
  }

  /** The scheduler has processed the ends up to this sequence number. */
  get processedSequence(): number {
    return this.#taskRuns.processedSequence;
  }

  get taskRuns(): readonly TaskRun[] {
    return this.#taskRuns.all;
  }

  get hasTaskRuns(): boolean {
    return this.#taskRuns.size > 0;
  }

  /** Whether nothing runs there and no answer to a start may still arrive. */
  get isIdle(): boolean {
    return !this.hasTaskRuns && !this.#commands.isStartUnanswered;
  }

  /** Ends up to `sequence` are stored; the worker may delete them. */
  setEndsStored(sequence: number, incarnationStartUnixMs: number): void {
    if (incarnationStartUnixMs !== this.incarnationStartUnixMs) return;
    this.#ends.setStored(sequence);
    this.startPolling();
  }

  /** Identifies the incarnation that reported last; 0 before the first report. */
  get incarnationStartUnixMs(): number {
    return this.#incarnation.startUnixMs ?? 0;
  }

  /** Gives the worker no new tasks for a while. */
  pause(durationMs: number): void {
    this.#pausedUntilMs = this.#options.clock.nowMs() + durationMs;
  }

  get isPaused(): boolean {
    return this.#options.clock.nowMs() < this.#pausedUntilMs;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Applies the worker's record. It may lag behind the reports, so one that names another
   * incarnation only requests a report.
   */
  setRecord(record: WorkerRecord | undefined): void {
    const earlierStartUnixMs = this.record?.incarnationStartUnixMs;
    this.record = record;
    if (record !== undefined) this.#left = undefined;
    this.#applyDraining(record);
    if (record === undefined || !this.hasReported) return;
    const { incarnationStartUnixMs } = record;
    const isNamedAnew = incarnationStartUnixMs !== earlierStartUnixMs;
    if (isNamedAnew && incarnationStartUnixMs !== this.incarnationStartUnixMs) {
      this.#requestReport();
    }
  }

  /** Whether its incarnation has announced a planned stop. */
  get isDraining(): boolean {
    return this.#drainingStartUnixMs === this.incarnationStartUnixMs;
  }

  /**
   * The earliest time at which its incarnation leaves, on the process's clock; undefined while it
   * has announced none.
   */
  get departureMs(): number | undefined {
    return this.isDraining ? this.#departureMs : undefined;
  }

  #applyDraining(record: WorkerRecord | undefined): void {
    if (record === undefined) return;
    const { isDraining, incarnationStartUnixMs, drainRemainingMs } = record;
    if (isDraining) {
      const isNew = this.#drainingStartUnixMs !== incarnationStartUnixMs;
      this.#drainingStartUnixMs = incarnationStartUnixMs;
      if (isNew) this.#departureMs = undefined;
      if (drainRemainingMs === undefined) return;
      this.#departureMs ??= this.#options.clock.nowMs() + drainRemainingMs;
    } else if (this.#drainingStartUnixMs === incarnationStartUnixMs) {
      this.#drainingStartUnixMs = undefined;
    }
  }

  /** Starts polling if something is to be renewed, read or acknowledged, or it is unreachable. */
  startPolling(): void {
    if (this.#isPollLoopRunning) return;
    this.#runInBackground(() => this.#pollLoop());
  }

  /** Requests one report at once, even while a long poll waits. */
  async pollNow(): Promise<void> {
    if (this.#isImmediatePollRunning || this.#isStopped) return;
    this.#isImmediatePollRunning = true;
    try {
      await this.#poll(0);
    } finally {
      this.#isImmediatePollRunning = false;
    }
  }

  /** Reserves capacity for a task whose start is sent later. */
  reserve(taskRun: TaskRun): void {
    this.#taskRuns.add(taskRun);
  }

  /** Drops a reservation for which no start was sent. */
  release(taskRun: TaskRun): void {
    this.#taskRuns.remove(taskRun);
  }

  /** Starts a reserved task; the outcome is passed to the listener. */
  start(taskRun: TaskRun, payload: string): Promise<void> {
    return this.#commands.start(taskRun, payload);
  }

  /** Stops a task run; repeats the command until it is gone. */
  stopTaskRun(taskRun: TaskRun): Promise<void> {
    return this.#commands.stop(taskRun);
  }

  /** Adds a stray run, which the worker has started. */
  adopt(
    running: RunningTask,
    step: AdoptedStep,
  ): TaskRun {
    return this.#taskRuns.adopt(running, step);
  }

  /** Drops task runs that can't be running any more; called at each tick of the scheduler. */
  dropIfExpired(): void {
    if (!this.hasTaskRuns || this.isReachable) return;
    if (this.haveLeasesExpired()) {
      this.#taskRuns.dropAll("the lease has lapsed", this.#leases.describe());
    }
  }

  /** Whether every lease granted to this worker has expired. */
  haveLeasesExpired(): boolean {
    return this.#leases.haveLeasesExpired();
  }

  /**
   * The worker seems to have left. It has if its machine refuses the next call; an answer shows that
   * the record was removed for another reason.
   */
  markLeft(left: LeftWorker): void {
    if (left.incarnationStartUnixMs !== this.incarnationStartUnixMs) return;
    this.#left = left;
    this.#runInBackground(() => this.pollNow());
  }

  /** The runs that no report of the incarnation has listed stay. */
  #dropIfLeft({ isConnectionLost }: Unavailable): void {
    if (this.#left === undefined || isConnectionLost !== true) return;
    const { worker: _, ...evidence } = this.#left;
    this.#left = undefined;
    this.#taskRuns.dropListed("the worker has left", "stopped", evidence);
  }

  async #pollLoop(): Promise<void> {
    this.#isPollLoopRunning = true;
    try {
      while (!this.#isStopped && this.#needsPoll()) {
        const isIdle = !this.hasTaskRuns && !this.#isReportDue;
        if (isIdle && this.hasReported) {
          await this.#options.clock.sleep(ACKNOWLEDGE_DELAY_MS);
          if (!this.#needsPoll()) return;
        }
        await this.#ends.awaitStored(() =>
          this.#isStopped ? 0 : this.processedSequence
        );
        // This entry may act again by now, but in another epoch.
        if (this.#isStopped) return;
        const isWaiting = this.hasTaskRuns && this.#reachability.isAnswering;
        const isAnswered = await this.#poll(isWaiting ? LONG_POLL_MS : 0);
        if (!isAnswered || this.#isReportDue) {
          await this.#options.clock.sleep(this.#computeRetryDelayMs());
        }
      }
    } finally {
      this.#isPollLoopRunning = false;
    }
  }

  /** Grows for a worker that has never reported, as its record may be another writer's. */
  #computeRetryDelayMs(): number {
    // A worker whose clock was rejected has reported, and its connections may be in use.
    if (this.#incarnation.startUnixMs !== undefined) return RETRY_DELAY_MS;
    const { workerPort, getMaximumRetryDelayMs } = this.#options;
    // Whatever listens there has a limited number of connections.
    workerPort.forget(this.target);
    const maximumMs = getMaximumRetryDelayMs?.() ?? RETRY_DELAY_MS;
    this.#firstContactDelayMs = Math.min(
      2 * this.#firstContactDelayMs,
      Math.max(RETRY_DELAY_MS, maximumMs),
    );
    return this.#firstContactDelayMs;
  }

  #needsPoll(): boolean {
    // Without task runs, only a poll can show that the worker answers again.
    const isAnswering = this.hasReported && this.#reachability.isAnswering;
    if (!isAnswering || this.#isReportDue) return true;
    return this.hasTaskRuns || this.#ends.isAcknowledgementDue;
  }

  #runInBackground(work: () => Promise<void>): void {
    const { log, target } = this.#options;
    runInBackground(log, BACKGROUND_ACTIVITY.POLL_WORKER, work, { ...target });
  }

  /** True when the worker answered. A report that cannot be processed is no answer. */
  async #poll(longPollMs: number): Promise<boolean> {
    try {
      return await this.#requestAndApply(longPollMs);
    } catch (error) {
      const { log, target } = this.#options;
      reportFailure(log, BACKGROUND_ACTIVITY.POLL_WORKER, error, { ...target });
      this.#reachability.recordFailure("its poll failed", this.#taskRuns.size);
      return false;
    }
  }

  async #requestAndApply(longPollMs: number): Promise<boolean> {
    const { workerPort, epoch, canAct, clock } = this.#options;
    // A lease is extended only while this entry certainly holds the scheduler's lease, and not for
    // a worker that did not answer, as an unanswered renewal may have taken effect.
    const leaseUntilMs = this.hasReported && canAct() &&
        this.hasTaskRuns && this.#reachability.isAnswering
      ? this.#leases.grant(this.#options.bounds.leaseMaximumMs)
      : undefined;
    const acknowledgedSequence =
      this.#reachability.isAnswering && this.#ends.isAcknowledgementDue
        ? this.#ends.storedSequence
        : 0;
    const incarnationStartUnixMs = this.hasReported
      ? this.incarnationStartUnixMs
      : undefined;
    if (!canAct() && this.hasReported) {
      await clock.sleep(RETRY_DELAY_MS);
      return true;
    }
    let requestedMs = clock.nowMs();
    const request = async (): Promise<RenewOutcome | undefined> => {
      if (this.#isStopped) return undefined;
      requestedMs = clock.nowMs();
      return await workerPort.renew(this.target, {
        incarnationStartUnixMs,
        maySend: () => !this.#isStopped && (canAct() || !this.hasReported),
        epoch,
        leaseUntilMs,
        acknowledgedSequence,
        longPollMs,
      }, longPollMs + COMMAND_TIMEOUT_MS);
    };
    const outcome = await this.#awaitTurn(request);
    if (outcome === undefined || this.#isStopped) return true;
    // The answer of an earlier incarnation may arrive after a later one has reported.
    if (
      outcome.kind === "report" &&
      outcome.metadata.incarnationStartUnixMs === incarnationStartUnixMs &&
      incarnationStartUnixMs === this.incarnationStartUnixMs
    ) {
      this.#ends.setAcknowledged(acknowledgedSequence);
    }
    return this.#applyOutcome(outcome, requestedMs);
  }

  /** Until the worker has reported, its calls wait for their turn among those to others like it. */
  #awaitTurn<Result>(request: () => Promise<Result>): Promise<Result> {
    const firstContacts = this.#incarnation.startUnixMs === undefined
      ? this.#options.getFirstContacts?.()
      : undefined;
    if (firstContacts === undefined) return request();
    const isRepeated = this.#wasCalled;
    this.#wasCalled = true;
    return firstContacts.run(isRepeated, request);
  }

  #applyOutcome(outcome: RenewOutcome, requestedMs: number): boolean {
    const { listener } = this.#options;
    const isRefused = outcome.kind === "wrong_life" ||
      outcome.kind === "unavailable" && outcome.isConnectionLost === true;
    this.#refusedPolls = isRefused ? this.#refusedPolls + 1 : 0;
    switch (outcome.kind) {
      case "report":
        this.#applyReport(outcome, requestedMs);
        this.#reachability.recordAnswer();
        listener.onReport(this);
        return true;
      case "fenced":
        this.#isFenced = true;
        listener.onFenced(this);
        this.#reachability.recordFailure("fenced", this.#taskRuns.size);
        return false;
      case "wrong_life":
        this.#taskRuns.dropReplaced(requestedMs);
        this.#reachability.recordFailure("another life", 0);
        return false;
      case "unavailable":
        this.#recordLostContact(outcome);
        this.#dropIfLeft(outcome);
        this.#reachability.recordFailure(outcome.reason, this.#taskRuns.size);
        return false;
    }
  }

  #recordLostContact({ isConnectionLost }: Unavailable): void {
    const { clock, listener } = this.#options;
    const contact = {
      atMs: clock.nowMs(),
      isClosed: isConnectionLost === true,
    };
    const isNews = this.#taskRuns.recordLostContact(contact);
    if (isNews) listener.onContactLost(this, contact);
  }

  #applyReport(report: Report, requestedMs: number): void {
    const { incarnationStartUnixMs } = report.metadata;
    const earlierStartUnixMs = this.incarnationStartUnixMs;
    const requestedAfterMs = requestedMs - this.#incarnation.firstReportedMs;
    const status = this.#incarnation.applyReport(
      incarnationStartUnixMs,
      requestedMs,
    );
    if (status === "undecided") return this.#requestReport();
    if (
      status === "current" &&
      !this.#leases.isPlausible(report.metadata, requestedMs)
    ) return this.#rejectClock(report);
    this.#isReportDue = false;
    this.#isFenced = false;
    this.#left = undefined;
    if (!this.hasReported) this.#logFirstReport(report);
    if (status === "new") {
      this.#beginIncarnation(earlierStartUnixMs, requestedAfterMs);
    }
    const isFirst = !this.hasReported;
    this.#leases.applyClock(report.metadata, requestedMs);
    this.#taskRuns.applyReport(report, requestedMs);
    if (isFirst) this.#options.onFirstReport?.();
  }

  /**
   * Skips a report whose clock cannot follow the earlier ones. It is not known which of them is
   * wrong, so the next report counts as the first, after which leases may hold for the maximum time.
   */
  #rejectClock({ metadata }: Report): void {
    this.#options.log.warn("worker.clock_rejected", {
      worker: this.worker,
      incarnationStartUnixMs: metadata.incarnationStartUnixMs,
      reportedClockMs: metadata.workerClockMs,
      ...this.#leases.describe(),
    });
    this.#leases.forgetClock();
    this.#taskRuns.forgetClock();
    this.#requestReport();
  }

  /** Shows a run that the worker lists and that this lease holder neither adopts nor stops. */
  #logFirstReport({ metadata, running, ended }: Report): void {
    this.#options.log.info("worker.first_report", {
      ...this.target,
      epoch: this.#options.epoch,
      ...metadata,
      running: running.length,
      ended: ended.length,
    });
  }

  /**
   * A new incarnation starts without runs and numbers its ends anew. Its report was requested
   * `requestedAfterMs` after the first report of the earlier one.
   */
  #beginIncarnation(
    earlierStartUnixMs: number,
    requestedAfterMs: number,
  ): void {
    const { incarnationStartUnixMs } = this;
    const inputs = {
      earlierStartUnixMs,
      incarnationStartUnixMs,
      requestedAfterMs: Math.round(requestedAfterMs),
    };
    this.#options.log.info("worker.restarted", {
      worker: this.worker,
      runs: this.#taskRuns.size,
      ...inputs,
    });
    this.#ends.reset();
    this.#leases.forgetClock();
    this.#taskRuns.beginIncarnation(inputs);
    this.startPolling();
  }

  #reportStartedLate({ task, run, checkpoint }: TaskRun): void {
    const { log, listener, epoch } = this.#options;
    const { incarnationStartUnixMs } = this;
    log.warn("task.started_late", {
      task,
      run,
      ...this.target,
      epoch,
      incarnationStartUnixMs,
    });
    listener.onStray(this, { task, run, checkpoint, percent: 0 });
  }

  #requestReport(): void {
    this.#isReportDue = true;
    this.startPolling();
    // A long poll may wait for an incarnation that has ended.
    this.#runInBackground(() => this.pollNow());
  }
}
