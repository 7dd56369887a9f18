/** What the engine keeps of one job. */
import type { Resources, WorkerName } from "@coltsfootpond/common";
import type { ValueOf } from "@coltsfootpond/common";
import type { GuaranteeUnit } from "../guarantees/reservation_plan.ts";
import type { EngineJob } from "../types.ts";
import type { Place } from "./capacity_model.ts";
import {
  RECLAIM_CHECKPOINT_LIMIT_MS,
  RESERVATION_AFTER_MS,
  SINGLE_RESERVATION_AFTER_MS,
} from "./constants.ts";
import { computeDemand, createShapeKey } from "./resources.ts";

export const JOB_PHASE = {
  WAITING: "waiting",
  /** Has a place promised that evicted work still has to leave. */
  CLAIMING: "claiming",
  PLACED: "placed",
  /** Placed, and asked to go. */
  EVICTING: "evicting",
  /** Gone; left over in a queue until that is next looked at. */
  GONE: "gone",
} as const;
export type JobPhase = ValueOf<typeof JOB_PHASE>;

export interface JobRecord {
  readonly job: EngineJob;
  readonly demand: Resources;
  /** Can neither checkpoint nor be run again. */
  readonly pinned: boolean;
  phase: JobPhase;
  /** Class of the queue that it was last put in. */
  classKey: string;
  /** When its wait began, less the time that it ran since. */
  waitingSinceMs: number;
  place: Place | undefined;
  /** The unit of its organisation's guarantee that it runs in. */
  unit: GuaranteeUnit | undefined;
  placedAtMs: number;
  startedAtMs: number | undefined;
  /** Corrected estimate, set when it was placed. */
  estimateMs: number;
  failures: number;
  /** When compaction last moved it. */
  movedAtMs: number;
  /** Healthy workers on which it failed; it is kept away from them. */
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

/** Borrowed work that an eviction does not lose for good. */
export function isEvictable(record: JobRecord): boolean {
  return record.phase === JOB_PHASE.PLACED && record.unit === undefined &&
    !record.pinned;
}

/** When a job that still waits gets capacity reserved. */
export function getReservationTimeMs(record: JobRecord): number {
  const patienceMs = record.job.shape.tasks > 1
    ? RESERVATION_AFTER_MS
    : SINGLE_RESERVATION_AFTER_MS;
  return record.waitingSinceMs + patienceMs;
}

/** A single borrowed task that can be moved at the price of a short checkpoint. */
export function isMovable(record: JobRecord): boolean {
  return isEvictable(record) && record.startedAtMs !== undefined &&
    isMovableOnceRunning(record);
}

/** Whether the job could be moved once it runs. */
export function isMovableOnceRunning({ job }: JobRecord): boolean {
  return job.shape.tasks === 1 && job.canCheckpoint &&
    job.checkpointMs <= RECLAIM_CHECKPOINT_LIMIT_MS;
}

/** When a placed job should be gone by the corrected estimate, never before now. */
export function predictEndMs(record: JobRecord, nowMs: number): number {
  const startMs = record.startedAtMs ?? record.placedAtMs;
  const endMs = startMs + record.estimateMs;
  return endMs > nowMs ? endMs : startMs + record.job.maximumRunMs;
}

/** Jobs with equal keys are interchangeable to every placement rule. */
export function createClassKey(record: JobRecord): string {
  const { job, failedOn, pinned } = record;
  const own = failedOn.size > 0 ? job.jobId : "";
  const flags = `${pinned ? "pinned" : ""}${
    job.idempotent ? "idempotent" : ""
  }`;
  return [
    job.organisation,
    job.service,
    job.priority,
    flags,
    createShapeKey(job.shape),
    own,
  ].join("|");
}
