/** One run of one task on a worker, and the events of a worker's session. */
import type { CellResources, TaskName } from "@coltsfootpond/policy";
import type {
  EndedTask,
  RunningTask,
  StartRefusal,
} from "@coltsfootpond/ports";
import type { LogFields } from "./log.ts";
import type { RunAccount } from "./quotas/run_account.ts";
import type { WorkerSession } from "./worker_session.ts";

/** What a registry of runs knows about a run that a worker reports. */
export type AdoptedStep = Pick<TaskRun, "need" | "account" | "stepKey">;

/** One numbered run of one task on one worker; the run of a gang has one for each task. */
export interface TaskRun {
  readonly task: TaskName;
  readonly run: number;
  readonly need: CellResources;
  readonly account: RunAccount;
  /** The task's step as `{job}.{occurrence}.{step}`. */
  readonly stepKey: string;
  /** When the start was sent; undefined while it is not, and for adopted runs. */
  startSentMs: number | undefined;
  /** When the answer to the start, or the first report that lists the run, was received. */
  startAnsweredMs: number | undefined;
  /** Whether a report of the worker's present incarnation has listed it. */
  isListed: boolean;
  isStopping: boolean;
  /** When the answer to the stop was received. */
  stopAnsweredMs: number | undefined;
  checkpoint: string;
  percent: number;
  /** Worker clock of the report that first had the present percentage. */
  percentChangedClockMs: number;
  /** Worker clock of the newest report of the run; 0 until there is one. */
  percentReportedClockMs: number;
  /** Worker clock of the first report of the run; undefined until there is one. */
  firstReportedClockMs: number | undefined;
  /** The first sign that the worker does not answer, if no report has listed the run since. */
  lostContact: LostContact | undefined;
}

/** How contact with a worker was lost; both ends of a silent connection may still exist. */
export interface LostContact {
  readonly atMs: number;
  /** The worker's machine closed or refused the connection. */
  readonly isClosed: boolean;
}

/** Receives the events of worker sessions; implemented by SessionEventHandler. */
export interface SessionListener {
  /**
   * The worker refused the start, another instance (`wrong_life`) answered at its address, or it has
   * `restarted`.
   */
  onRefused(
    session: WorkerSession,
    taskRun: TaskRun,
    reason: StartRefusal | "wrong_life" | "restarted",
  ): void;
  /** The worker has started the task: it accepted the start, or a report lists the run. */
  onStarted(session: WorkerSession, taskRun: TaskRun): void;
  /** A start was not answered and the worker does not list the run. */
  onStartUnanswered(session: WorkerSession, taskRun: TaskRun): void;
  /** The run ended and the worker listed its end. */
  onEnded(session: WorkerSession, ended: EndedTask, taskRun?: TaskRun): void;
  /** The run is gone without a listed end; the evidence is logged. */
  onGone(
    session: WorkerSession,
    taskRun: TaskRun,
    evidence: GoneEvidence,
  ): void;
  /**
   * The worker has started a run that this lease holder does not follow: a stray run. A report
   * lists it, or its start was answered after it was taken as over.
   */
  onStray(session: WorkerSession, running: RunningTask): void;
  /** The worker sent a report. */
  onReport(session: WorkerSession): void;
  /** A call to the worker, which has runs, was not answered, for the first time since a report. */
  onContactLost(session: WorkerSession, contact: LostContact): void;
  /** The worker refused a command because of its epoch: there is a newer lease holder. */
  onFenced(session: WorkerSession): void;
}

/**
 * What became of the process that had a run: it `ended`, it was `stopped` by plan, it `continues`
 * without the run, or that is `unknown`.
 */
export type ProcessFate = "ended" | "stopped" | "continues" | "unknown";

/** Why a run without a listed end is over, and the inputs of this conclusion for the log. */
export interface GoneEvidence {
  readonly reason: string;
  readonly processFate: ProcessFate;
  readonly inputs: LogFields;
}

/** Key of a run of a task in maps. */
export function taskRunKey(task: TaskName, run: number): string {
  return `${task}#${run}`;
}

/** Time for which the worker's reports show the run, on the worker's clock. */
export function computeSurvivedMs(
  { firstReportedClockMs, percentReportedClockMs }: TaskRun,
): number {
  return firstReportedClockMs === undefined
    ? 0
    : percentReportedClockMs - firstReportedClockMs;
}

/** Applies a worker's report of the running task. */
export function updateFromReport(
  taskRun: TaskRun,
  running: RunningTask,
  reportClockMs: number,
  receivedMs: number,
): void {
  taskRun.startAnsweredMs ??= receivedMs;
  taskRun.isListed = true;
  taskRun.firstReportedClockMs ??= reportClockMs;
  taskRun.lostContact = undefined;
  if (running.checkpoint !== "") taskRun.checkpoint = running.checkpoint;
  const isFirst = taskRun.percentReportedClockMs === 0;
  if (running.percent !== taskRun.percent || isFirst) {
    taskRun.percent = running.percent;
    taskRun.percentChangedClockMs = reportClockMs;
  }
  taskRun.percentReportedClockMs = reportClockMs;
}
