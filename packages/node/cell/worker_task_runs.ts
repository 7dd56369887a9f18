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

export interface MemberBookOptions {
  /** Each end once, in the order of their numbers. */
  readonly onEnded: (ended: EndedTask, member: TaskRun | undefined) => void;
  /** A member is gone without a listed end. */
  readonly onGone: (member: TaskRun, reason: string) => void;
  /** The worker runs what is not in the book. */
  readonly onStray: (running: RunningTask) => void;
}

/** The members on one worker. */
export class WorkerTaskRuns {
  readonly #options: MemberBookOptions;
  readonly #members = new Map<string, TaskRun>();
  #processedEnd = 0;
  #lastReportClockMs = Number.NEGATIVE_INFINITY;

  private constructor(options: MemberBookOptions) {
    this.#options = options;
  }

  static create(options: MemberBookOptions): WorkerTaskRuns {
    return new WorkerTaskRuns(options);
  }

  get members(): readonly TaskRun[] {
    return [...this.#members.values()];
  }

  get size(): number {
    return this.#members.size;
  }

  /** Ends up to this number have been taken in. */
  get processedEnd(): number {
    return this.#processedEnd;
  }

  has(member: TaskRun): boolean {
    return this.#members.get(taskRunKey(member.task, member.run)) === member;
  }

  add(member: TaskRun): void {
    this.#members.set(taskRunKey(member.task, member.run), member);
  }

  /** False when it was not in the book. */
  remove(member: TaskRun): boolean {
    return this.has(member) &&
      this.#members.delete(taskRunKey(member.task, member.run));
  }

  /** Adds a run that the newest report lists. */
  adopt(
    running: RunningTask,
    facts: { readonly need: CellResources; readonly stepKey: string },
  ): TaskRun {
    const reportClockMs = this.#lastReportClockMs;
    const member: TaskRun = {
      ...facts,
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
    this.add(member);
    return member;
  }

  /** Reports may overtake each other: what runs is taken from the newest one only. */
  takeReport({ metadata: stamp, running, ended }: Report): void {
    const reportClockMs = stamp.workerClockMs;
    ended.forEach((end) => this.#takeEnd(end));
    if (reportClockMs < this.#lastReportClockMs) return;
    this.#lastReportClockMs = reportClockMs;
    running.forEach((task) => this.#takeRunning(task, reportClockMs));
    if (ended.length >= MAXIMUM_LISTED_ENDS) return;
    const listed = new Set(
      running.map(({ task, run }) => taskRunKey(task, run)),
    );
    for (const [key, member] of [...this.#members]) {
      if (!listed.has(key)) this.#checkAbsent(member, reportClockMs);
    }
  }

  /**
   * The worker began a new life, in which its ends and its clock count anew and no stop of the
   * earlier one holds. Unanswered starts may reach it; all else ended with the earlier life.
   */
  beginLife(): void {
    this.#processedEnd = 0;
    this.#lastReportClockMs = Number.NEGATIVE_INFINITY;
    for (const member of this.members) {
      if (member.startedClockMs === undefined) {
        member.stoppedClockMs = undefined;
      } else this.#drop(member, "the worker began a new life");
    }
  }

  /** Nothing of this can run any more. */
  dropAll(reason: string): void {
    for (const member of this.members) this.#drop(member, reason);
  }

  #drop(member: TaskRun, reason: string): void {
    if (this.remove(member)) this.#options.onGone(member, reason);
  }

  #takeEnd(ended: EndedTask): void {
    if (ended.sequence <= this.#processedEnd) return;
    this.#processedEnd = ended.sequence;
    const key = taskRunKey(ended.task, ended.run);
    const member = this.#members.get(key);
    this.#members.delete(key);
    this.#options.onEnded(ended, member);
  }

  #takeRunning(running: RunningTask, reportClockMs: number): void {
    const member = this.#members.get(taskRunKey(running.task, running.run));
    if (member === undefined) this.#options.onStray(running);
    else updateFromReport(member, running, reportClockMs);
  }

  /** A run that is neither listed as running nor as ended is gone once that is proven. */
  #checkAbsent(member: TaskRun, reportClockMs: number): void {
    const provenClockMs = member.startedClockMs ?? member.stoppedClockMs;
    if (provenClockMs === undefined || provenClockMs >= reportClockMs) return;
    this.#drop(member, "not listed by the worker");
  }
}
