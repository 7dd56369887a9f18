/**
 * What one worker was told to run, against what it reports. A member leaves the book only when its
 * end is listed or when it is proven not to run there.
 */
import type { CellResources } from "@coltsfootpond/policy";
import type {
  EndedTask,
  RenewOutcome,
  RunningTask,
} from "@coltsfootpond/ports";
import { type TaskRun, taskRunKey, updateFromReport } from "./task_run.ts";

/** Ends that one report lists at most (the users' protocol); a full list may be cut. */
const MAXIMUM_LISTED_ENDS = 500;

/** What a worker answers to a renewal. */
export type Report = Extract<RenewOutcome, { kind: "report" }>;

export interface WorkerTaskRunsOptions {
  /** Each end once, in the order of their numbers. */
  readonly onEnded: (ended: EndedTask, taskRun: TaskRun | undefined) => void;
  /** A member is gone without a listed end. */
  readonly onGone: (taskRun: TaskRun, reason: string) => void;
  /** The worker runs what is not in the book. */
  readonly onStray: (running: RunningTask) => void;
}

/** The members on one worker. */
export class WorkerTaskRuns {
  readonly #options: WorkerTaskRunsOptions;
  readonly #taskRuns = new Map<string, TaskRun>();
  #processedSequence = 0;
  #lastReportClockMs = Number.NEGATIVE_INFINITY;

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

  /** Ends up to this number have been taken in. */
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

  /** False when it was not in the book. */
  remove(taskRun: TaskRun): boolean {
    return this.has(taskRun) &&
      this.#taskRuns.delete(taskRunKey(taskRun.task, taskRun.run));
  }

  /** Adds a run that the newest report lists. */
  adopt(
    running: RunningTask,
    step: { readonly need: CellResources; readonly stepKey: string },
  ): TaskRun {
    const reportClockMs = this.#lastReportClockMs;
    const taskRun: TaskRun = {
      ...step,
      task: running.task,
      run: running.run,
      startedClockMs: reportClockMs,
      isStopping: false,
      stoppedClockMs: undefined,
      checkpoint: running.checkpoint,
      percent: running.percent,
      percentChangedClockMs: reportClockMs,
      percentReportedClockMs: reportClockMs,
    };
    this.add(taskRun);
    return taskRun;
  }

  /** Reports may overtake each other: what runs is taken from the newest one only. */
  applyReport({ metadata, running, ended }: Report): void {
    const reportClockMs = metadata.workerClockMs;
    ended.forEach((end) => this.#applyEnd(end));
    if (reportClockMs < this.#lastReportClockMs) return;
    this.#lastReportClockMs = reportClockMs;
    running.forEach((task) => this.#applyRunning(task, reportClockMs));
    if (ended.length >= MAXIMUM_LISTED_ENDS) return;
    const listed = new Set(
      running.map(({ task, run }) => taskRunKey(task, run)),
    );
    for (const [key, taskRun] of [...this.#taskRuns]) {
      if (!listed.has(key)) this.#checkUnlisted(taskRun, reportClockMs);
    }
  }

  /**
   * The worker began a new life, in which its ends and its clock count anew and no stop of the
   * earlier one holds. Unanswered starts may reach it; all else ended with the earlier life.
   */
  beginIncarnation(): void {
    this.#processedSequence = 0;
    this.#lastReportClockMs = Number.NEGATIVE_INFINITY;
    for (const taskRun of this.all) {
      if (taskRun.startedClockMs === undefined) {
        taskRun.stoppedClockMs = undefined;
      } else this.#drop(taskRun, "the worker began a new life");
    }
  }

  /** Nothing of this can run any more. */
  dropAll(reason: string): void {
    for (const taskRun of this.all) this.#drop(taskRun, reason);
  }

  #drop(taskRun: TaskRun, reason: string): void {
    if (this.remove(taskRun)) this.#options.onGone(taskRun, reason);
  }

  #applyEnd(ended: EndedTask): void {
    if (ended.sequence <= this.#processedSequence) return;
    this.#processedSequence = ended.sequence;
    const key = taskRunKey(ended.task, ended.run);
    const taskRun = this.#taskRuns.get(key);
    this.#taskRuns.delete(key);
    this.#options.onEnded(ended, taskRun);
  }

  #applyRunning(running: RunningTask, reportClockMs: number): void {
    const taskRun = this.#taskRuns.get(taskRunKey(running.task, running.run));
    if (taskRun === undefined) this.#options.onStray(running);
    else updateFromReport(taskRun, running, reportClockMs);
  }

  /** A run that is neither listed as running nor as ended is gone once that is proven. */
  #checkUnlisted(taskRun: TaskRun, reportClockMs: number): void {
    const provenClockMs = taskRun.startedClockMs ?? taskRun.stoppedClockMs;
    if (provenClockMs === undefined || provenClockMs >= reportClockMs) return;
    this.#drop(taskRun, "not listed by the worker");
  }
}
