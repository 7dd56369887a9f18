/** One task that was started, or found, on a worker, and what the worker tells of it. */
import type { CellResources, TaskName } from "@coltsfootpond/policy";
import type {
  EndedTask,
  RunningTask,
  StartRefusal,
} from "@coltsfootpond/ports";
import type { WorkerSession } from "./worker_session.ts";

/** A task of a run; a gang has several. */
export interface TaskRun {
  readonly task: TaskName;
  readonly run: number;
  readonly need: CellResources;
  readonly stepKey: string;
  /** On the worker's clock, when the start was acknowledged or the run was first listed. */
  startedClockMs: number | undefined;
  isStopping: boolean;
  /** On the worker's clock, when the stop was acknowledged. */
  stoppedClockMs: number | undefined;
  checkpoint: string;
  percent: number;
  /** On the worker's clock: the report that first told this percentage, and the newest one. */
  percentChangedClockMs: number;
  percentReportedClockMs: number;
}

/** What a session tells the scheduler. */
export interface SessionListener {
  onRefused(
    session: WorkerSession,
    taskRun: TaskRun,
    reason: StartRefusal | "wrong_life",
  ): void;
  /** A start was not answered and the worker does not list the run. */
  onStartUnanswered(session: WorkerSession, taskRun: TaskRun): void;
  /** The run ended; listed by the worker. */
  onEnded(session: WorkerSession, ended: EndedTask, taskRun?: TaskRun): void;
  /** The run is gone without a listed end. */
  onGone(session: WorkerSession, taskRun: TaskRun, reason: string): void;
  /** The worker runs what this process did not start. */
  onStray(session: WorkerSession, running: RunningTask): void;
  onReport(session: WorkerSession): void;
  onFenced(session: WorkerSession): void;
}

/** Names a run of a task. */
export function taskRunKey(task: TaskName, run: number): string {
  return `${task}#${run}`;
}

/** Takes what a report tells of a member that runs. */
export function updateFromReport(
  taskRun: TaskRun,
  running: RunningTask,
  reportClockMs: number,
): void {
  taskRun.startedClockMs ??= reportClockMs;
  if (running.checkpoint !== "") taskRun.checkpoint = running.checkpoint;
  const isFirst = taskRun.percentReportedClockMs === 0;
  if (running.percent !== taskRun.percent || isFirst) {
    taskRun.percent = running.percent;
    taskRun.percentChangedClockMs = reportClockMs;
  }
  taskRun.percentReportedClockMs = reportClockMs;
}
