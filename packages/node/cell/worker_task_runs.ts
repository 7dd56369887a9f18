/**
 * The task runs placed on one worker, compared with what the worker reports. A task run is removed
 * only when its end is listed or when it is proven not to run there.
 */
import type { Clock } from "@coltsfootpond/common";
import type {
  EndedTask,
  RenewOutcome,
  RunningTask,
} from "@coltsfootpond/ports";
import type { LogFields } from "./log.ts";
import {
  type AdoptedStep,
  type GoneEvidence,
  type LostContact,
  type ProcessFate,
  type TaskRun,
  taskRunKey,
  updateFromReport,
} from "./task_run.ts";

/**
 * Maximum number of ends in one report (the platform's protocol); a full list may be incomplete.
 */
const MAXIMUM_LISTED_ENDS = 500;

/** A worker's answer to a renewal. */
export type Report = Extract<RenewOutcome, { kind: "report" }>;

export interface WorkerTaskRunsOptions {
  readonly clock: Clock;
  /** Called for each end once, in the order of the sequence numbers. */
  readonly onEnded: (ended: EndedTask, taskRun: TaskRun | undefined) => void;
  /** A task run is gone without a listed end. */
  readonly onGone: (taskRun: TaskRun, evidence: GoneEvidence) => void;
  /** A report lists a run whose start has not been answered. */
  readonly onStarted: (taskRun: TaskRun) => void;
  /** The worker reports a run that is not registered; the listener may adopt it. */
  readonly onStray: (running: RunningTask) => void;
}

export class WorkerTaskRuns {
  readonly #options: WorkerTaskRunsOptions;
  readonly #taskRuns = new Map<string, TaskRun>();
  #processedSequence = 0;
  #incarnationCount = 1;
  #lastReportClockMs = Number.NEGATIVE_INFINITY;
  /** Runs whose start was sent to an earlier incarnation. */
  readonly #sentBefore = new WeakSet<TaskRun>();

  private constructor(options: WorkerTaskRunsOptions) {
    this.#options = options;
  }

  static create(options: WorkerTaskRunsOptions): WorkerTaskRuns {
    return new WorkerTaskRuns(options);
  }

  get all(): readonly TaskRun[] {
    return [...this.#taskRuns.values()];
  }

  get size(): number {
    return this.#taskRuns.size;
  }

  /** Number of the worker's incarnations of which this session knows. */
  get incarnationCount(): number {
    return this.#incarnationCount;
  }

  /** The ends up to this sequence number have been processed. */
  get processedSequence(): number {
    return this.#processedSequence;
  }

  has(taskRun: TaskRun): boolean {
    return this.#taskRuns.get(taskRunKey(taskRun.task, taskRun.run)) ===
      taskRun;
  }

  add(taskRun: TaskRun): void {
    this.#taskRuns.set(taskRunKey(taskRun.task, taskRun.run), taskRun);
  }

  /** False when it was not registered. */
  remove(taskRun: TaskRun): boolean {
    return this.has(taskRun) &&
      this.#taskRuns.delete(taskRunKey(taskRun.task, taskRun.run));
  }

  /** Adds a run that the worker has started, according to a report or an answer to its start. */
  adopt(
    running: RunningTask,
    step: AdoptedStep,
  ): TaskRun {
    const taskRun: TaskRun = {
      ...step,
      task: running.task,
      run: running.run,
      startSentMs: undefined,
      startAnsweredMs: this.#options.clock.nowMs(),
      isListed: false,
      isStopping: false,
      stopAnsweredMs: undefined,
      checkpoint: running.checkpoint,
      percent: running.percent,
      percentChangedClockMs: 0,
      percentReportedClockMs: 0,
      firstReportedClockMs: undefined,
      lostContact: undefined,
    };
    this.add(taskRun);
    return taskRun;
  }

  /**
   * Applies a report that was requested at `requestedMs`. Reports may arrive out of order: running
   * tasks are read from the newest one only.
   */
  applyReport({ metadata, running, ended }: Report, requestedMs: number): void {
    const reportClockMs = metadata.workerClockMs;
    // An end below the highest number that was processed counts as processed.
    [...ended].sort((one, other) => one.sequence - other.sequence)
      .forEach((end) => this.#applyEnd(end));
    if (reportClockMs < this.#lastReportClockMs) return;
    this.#lastReportClockMs = reportClockMs;
    running.forEach((task) => this.#applyRunning(task, reportClockMs));
    if (ended.length >= MAXIMUM_LISTED_ENDS) return;
    const listed = new Set(
      running.map(({ task, run }) => taskRunKey(task, run)),
    );
    for (const [key, taskRun] of [...this.#taskRuns]) {
      if (!listed.has(key)) this.#checkUnlisted(taskRun, requestedMs);
    }
  }

  /**
   * Resets for a new incarnation of the worker, whose ends and clock start anew and in which no
   * earlier stop counts. Only the runs that a report listed ended with the earlier incarnation: a
   * start without an answer may still be carried out (decision 0011).
   */
  beginIncarnation(inputs: LogFields = {}): void {
    this.#incarnationCount++;
    this.#processedSequence = 0;
    this.forgetClock();
    this.dropListed("the worker began a new life", "ended", inputs);
    for (const taskRun of this.all) {
      taskRun.stopAnsweredMs = undefined;
      const wasSent = taskRun.startSentMs !== undefined ||
        taskRun.startAnsweredMs !== undefined;
      if (wasSent) this.#sentBefore.add(taskRun);
    }
  }

  /** Applies the next report whatever its clock, as an earlier one may have had a wrong clock. */
  forgetClock(): void {
    this.#lastReportClockMs = Number.NEGATIVE_INFINITY;
  }

  /** A call to the worker was not answered; true if that is news of some run. */
  recordLostContact(contact: LostContact): boolean {
    const inContact = this.all.filter(({ lostContact }) =>
      lostContact === undefined
    );
    for (const taskRun of inContact) taskRun.lostContact = contact;
    return inContact.length > 0;
  }

  /** Drops the runs that a report has listed, as the incarnation that reported them is over. */
  dropListed(
    reason: string,
    processFate: ProcessFate,
    inputs: LogFields,
  ): void {
    for (const taskRun of this.all) {
      if (!taskRun.isListed) continue;
      const { percentReportedClockMs: reportedClockMs } = taskRun;
      this.#drop(taskRun, {
        reason,
        processFate,
        inputs: { ...inputs, reportedClockMs },
      });
    }
  }

  /**
   * Drops the runs that were at the worker's address before a request, sent at `requestedMs`, which
   * another instance has answered there. The worker may have taken the address over after the answer.
   */
  dropReplaced(requestedMs: number): void {
    for (const taskRun of this.all) {
      const placedMs = taskRun.startSentMs ?? taskRun.startAnsweredMs;
      if (placedMs === undefined || placedMs >= requestedMs) continue;
      this.#drop(taskRun, {
        reason: "the worker has left its address",
        processFate: "ended",
        inputs: { requestedAfterMs: Math.round(requestedMs - placedMs) },
      });
    }
  }

  /** Drops all task runs, as none of them can be running any more. */
  dropAll(reason: string, inputs: LogFields = {}): void {
    for (const taskRun of this.all) {
      this.#drop(taskRun, { reason, processFate: "unknown", inputs });
    }
  }

  #drop(taskRun: TaskRun, evidence: GoneEvidence): void {
    if (this.remove(taskRun)) this.#options.onGone(taskRun, evidence);
  }

  #applyEnd(ended: EndedTask): void {
    if (ended.sequence <= this.#processedSequence) return;
    const key = taskRunKey(ended.task, ended.run);
    const taskRun = this.#taskRuns.get(key);
    this.#taskRuns.delete(key);
    try {
      this.#options.onEnded(ended, taskRun);
    } catch (error) {
      // The next report lists the end again, as it is not acknowledged.
      if (taskRun !== undefined) this.#taskRuns.set(key, taskRun);
      throw error;
    }
    this.#processedSequence = ended.sequence;
  }

  #applyRunning(running: RunningTask, reportClockMs: number): void {
    const key = taskRunKey(running.task, running.run);
    if (!this.#taskRuns.has(key)) this.#options.onStray(running);
    const taskRun = this.#taskRuns.get(key);
    if (taskRun === undefined) return;
    const isStartNews = taskRun.startAnsweredMs === undefined;
    const receivedMs = this.#options.clock.nowMs();
    updateFromReport(taskRun, running, reportClockMs, receivedMs);
    if (isStartNews) this.#options.onStarted(taskRun);
  }

  /**
   * Drops a run that is listed neither as running nor as ended, if the report was requested after
   * the run's start or stop was answered, whichever incarnation of the worker answered it.
   */
  #checkUnlisted(taskRun: TaskRun, requestedMs: number): void {
    const { startAnsweredMs, stopAnsweredMs } = taskRun;
    const answeredMs = startAnsweredMs ?? stopAnsweredMs;
    if (answeredMs === undefined || answeredMs >= requestedMs) return;
    this.#drop(taskRun, {
      reason: "not listed by the worker",
      processFate: this.#sentBefore.has(taskRun) ? "ended" : "continues",
      inputs: {
        answered: startAnsweredMs === undefined ? "stop" : "start",
        requestedAfterMs: Math.round(requestedMs - answeredMs),
      },
    });
  }
}
