/**
 * A job that has not ended, in the memory of its failure domain's owner, and pure functions that
 * evaluate the reports of a gang's tasks.
 */
import type {
  AttemptId,
  JobServiceDeclaration,
  ValueOf,
  WorkerName,
} from "@coltsfootpond/common";
import {
  TASK_STATE,
  type TaskReport,
  type TaskState,
} from "@coltsfootpond/ports";
import type { Assignment, EngineJob } from "@coltsfootpond/policy";
import type { StoredJob } from "./job_rows.ts";

/**
 * Why an attempt is stopped before it has finished; `member` in a value means a task of the gang.
 */
export const STOP_REASON = {
  EVICTED: "evicted",
  OVERRUN: "overrun",
  CANCELLED: "cancelled",
  TASK_LOST: "member_lost",
  TASK_FAILED: "member_failed",
  START_REFUSED: "start_refused",
} as const;
export type StopReason = ValueOf<typeof STOP_REASON>;

/** One attempt at running a gang, and the worker of each task. */
export interface GangPlacement {
  readonly attemptId: AttemptId;
  readonly assignments: readonly Assignment[];
}

/** A job of an owned failure domain that has not ended. */
export interface LiveJob {
  readonly stored: StoredJob;
  readonly service: JobServiceDeclaration;
  /** When this owner loaded or requeued the job; its wait counts from here. */
  readonly waitingSinceMs: number;
  /** True while a move to another failure domain is being written. */
  isMoving: boolean;
}

/** Status of a gang, derived from the newest reports of its tasks. */
export type GangStatus =
  | { readonly kind: "running" }
  | { readonly kind: "checkpointed" }
  | { readonly kind: "finished"; readonly output: Uint8Array }
  /** A task on `workers` ended while others may run, so all of them must be stopped. */
  | {
    readonly kind: "broken";
    readonly reason: StopReason;
    readonly workers: readonly WorkerName[];
  };

/**
 * Derives a gang's status from the newest report of each task, in order of task index; undefined
 * stands for a task without a report.
 */
export function evaluateGang(
  reports: readonly (TaskReport | undefined)[],
): GangStatus {
  const failed = filterByState(reports, [TASK_STATE.FAILED]);
  if (failed.length > 0) {
    return {
      kind: "broken",
      reason: STOP_REASON.TASK_FAILED,
      workers: listWorkers(failed),
    };
  }
  const lost = filterByState(reports, [TASK_STATE.LOST, TASK_STATE.STOPPED]);
  if (lost.length > 0) {
    return {
      kind: "broken",
      reason: STOP_REASON.TASK_LOST,
      workers: listWorkers(lost),
    };
  }
  const finished = filterByState(reports, [TASK_STATE.FINISHED]);
  if (finished.length === reports.length) {
    return { kind: "finished", output: decodeOutput(reports[0]) };
  }
  const checkpointed = filterByState(reports, [TASK_STATE.CHECKPOINTED]);
  if (checkpointed.length === reports.length) return { kind: "checkpointed" };
  return { kind: "running" };
}

function filterByState(
  reports: readonly (TaskReport | undefined)[],
  states: readonly TaskState[],
): readonly TaskReport[] {
  return reports.filter((report): report is TaskReport =>
    report !== undefined && states.includes(report.state)
  );
}

function listWorkers(reports: readonly TaskReport[]): readonly WorkerName[] {
  return reports.map((report) => report.worker);
}

function decodeOutput(report: TaskReport | undefined): Uint8Array {
  const output = atob(report?.outputBase64 ?? "");
  return Uint8Array.from(output, (character) => character.charCodeAt(0));
}

/** The checkpoints of all tasks, or undefined when a task has none. */
export function collectCheckpoints(
  reports: readonly (TaskReport | undefined)[],
): readonly string[] | undefined {
  const checkpoints = reports.flatMap((report) =>
    report?.checkpoint === undefined ? [] : [report.checkpoint]
  );
  return checkpoints.length === reports.length ? checkpoints : undefined;
}

/** The waiting time stored in the job's row, plus the time since it was loaded or requeued here. */
export function getWaitedMs(job: LiveJob, nowMs: number): number {
  return job.stored.row.waitedMs + nowMs - job.waitingSinceMs;
}

/** The job in the form that the placement engine takes. */
export function toEngineJob(job: LiveJob, nowMs: number): EngineJob {
  const { service } = job;
  const { jobId, organisation } = job.stored.row;
  return {
    jobId,
    organisation,
    service: service.name,
    shape: service.shape,
    priority: service.priority,
    expectedRunMs: service.expectedRunMs,
    maximumRunMs: service.maximumRunMs,
    canCheckpoint: service.canCheckpoint,
    checkpointMs: service.checkpointMs,
    idempotent: service.idempotent,
    waitedMs: getWaitedMs(job, nowMs),
  };
}
