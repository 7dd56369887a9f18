/** State of one job in the placement engine, and the rules that depend on it alone. */
import type { Resources, WorkerName } from "@coltsfootpond/common";
import type { ValueOf } from "@coltsfootpond/common";
import type { GuaranteeUnit } from "../guarantees/reservation_plan.ts";
import type { EngineJob } from "../types.ts";
import type { Place } from "./capacity_model.ts";
import {
  RECLAIM_CHECKPOINT_LIMIT_MS,
  RESERVATION_DELAY_MS,
  SINGLE_TASK_RESERVATION_DELAY_MS,
} from "./constants.ts";
import { computeDemand, createShapeKey } from "./resources.ts";

export const JOB_PHASE = {
  WAITING: "waiting",
  /** Has claimed a place that evicted work still has to leave. */
  CLAIMING: "claiming",
  PLACED: "placed",
  /** Placed and being evicted. */
  EVICTING: "evicting",
  /** Removed; the queue skips it if it still holds it. */
  GONE: "gone",
} as const;
export type JobPhase = ValueOf<typeof JOB_PHASE>;

/** State of one job; changed only by the engine and the classes that it calls. */
export interface JobRecord {
  readonly job: EngineJob;
  readonly demand: Resources;
  /** Can neither checkpoint nor be run again, so it is never evicted for a guarantee. */
  readonly pinned: boolean;
  phase: JobPhase;
  /** Key of the job class to which the queue last added it. */
  classKey: string;
  /** Start of its waiting time, moved forward by the time that it has run since. */
  waitingSinceMs: number;
  place: Place | undefined;
  /** The guarantee unit inside which it is placed; undefined for a borrower. */
  unit: GuaranteeUnit | undefined;
  placedAtMs: number;
  startedAtMs: number | undefined;
  /** Run time by the corrected estimate, set when it was placed. */
  estimateMs: number;
  failures: number;
  /** When it was last moved for compaction or for a backfill reservation. */
  movedAtMs: number;
  /** Workers outside quarantine on which it failed; it is not placed on them again. */
  readonly failedOn: Set<WorkerName>;
}

export function createJobRecord(job: EngineJob, nowMs: number): JobRecord {
  return {
    job,
    demand: computeDemand(job.shape),
    pinned: !job.canCheckpoint && !job.idempotent,
    phase: JOB_PHASE.WAITING,
    classKey: "",
    waitingSinceMs: nowMs - job.waitedMs,
    place: undefined,
    unit: undefined,
    placedAtMs: 0,
    startedAtMs: undefined,
    estimateMs: job.expectedRunMs,
    failures: 0,
    movedAtMs: Number.NEGATIVE_INFINITY,
    failedOn: new Set(),
  };
}

export function isPlaced(record: JobRecord): boolean {
  return record.phase === JOB_PHASE.PLACED ||
    record.phase === JOB_PHASE.EVICTING;
}

/** Whether it may be evicted for a guarantee: a placed borrower that is not pinned. */
export function isEvictable(record: JobRecord): boolean {
  return record.phase === JOB_PHASE.PLACED && record.unit === undefined &&
    !record.pinned;
}

/** When a job that still waits gets a backfill reservation. */
export function getReservationTimeMs(record: JobRecord): number {
  const delayMs = record.job.shape.tasks > 1
    ? RESERVATION_DELAY_MS
    : SINGLE_TASK_RESERVATION_DELAY_MS;
  return record.waitingSinceMs + delayMs;
}

/** Whether it is a single borrowed task that can be moved now at the cost of a short checkpoint. */
export function isMovable(record: JobRecord): boolean {
  return isEvictable(record) && record.startedAtMs !== undefined &&
    isMovableOnceRunning(record);
}

/** Whether it could be moved once it runs. */
export function isMovableOnceRunning({ job }: JobRecord): boolean {
  return job.shape.tasks === 1 && job.canCheckpoint &&
    job.checkpointMs <= RECLAIM_CHECKPOINT_LIMIT_MS;
}

/** Expected end of a placed job: by the corrected estimate or, once that is past, its maximum. */
export function predictEndMs(record: JobRecord, nowMs: number): number {
  const startMs = record.startedAtMs ?? record.placedAtMs;
  const endMs = startMs + record.estimateMs;
  return endMs > nowMs ? endMs : startMs + record.job.maximumRunMs;
}

/**
 * Jobs with equal keys are interchangeable for every placement rule. A job with workers to avoid is
 * alone in its class.
 */
export function createClassKey(record: JobRecord): string {
  const { job, failedOn, pinned } = record;
  const ownClassId = failedOn.size > 0 ? job.jobId : "";
  const flags = `${pinned ? "pinned" : ""}${
    job.idempotent ? "idempotent" : ""
  }`;
  return [
    job.organisation,
    job.service,
    job.priority,
    flags,
    createShapeKey(job.shape),
    ownClassId,
  ].join("|");
}
