/**
 * Evicts jobs that exceed their maximum run time, and all jobs of a failure domain out of service.
 */
import type { JobId } from "@coltsfootpond/common";
import {
  type Decision,
  EVICTION_REASON,
  type EvictionReason,
} from "../types.ts";
import { BinaryHeap } from "./binary_heap.ts";
import { JOB_PHASE, type JobRecord } from "./job_record.ts";

/** Deadline of one run; outdated if the job has started again since. */
interface RunDeadline {
  readonly dueMs: number;
  readonly jobId: JobId;
  readonly startedAtMs: number;
}

/** Run deadlines of the jobs of one engine, earliest first. */
export class RunDeadlines {
  readonly #records: ReadonlyMap<JobId, JobRecord>;
  readonly #deadlines = BinaryHeap.create<RunDeadline>(
    (left, right) => left.dueMs - right.dueMs,
  );

  private constructor(records: ReadonlyMap<JobId, JobRecord>) {
    this.#records = records;
  }

  static create(records: ReadonlyMap<JobId, JobRecord>): RunDeadlines {
    return new RunDeadlines(records);
  }

  nextDueMs(): number | undefined {
    return this.#deadlines.peek()?.dueMs;
  }

  recordStart(record: JobRecord, startedAtMs: number): void {
    record.startedAtMs = startedAtMs;
    const { jobId, maximumRunMs } = record.job;
    const dueMs = startedAtMs + maximumRunMs;
    this.#deadlines.push({ dueMs, jobId, startedAtMs });
  }

  /** Appends an eviction for each job whose deadline has passed. */
  evictOverruns(nowMs: number, decisions: Decision[]): void {
    let next = this.#deadlines.peek();
    while (next !== undefined && next.dueMs <= nowMs) {
      this.#deadlines.pop();
      const record = this.#records.get(next.jobId);
      const isCurrent = record?.phase === JOB_PHASE.PLACED &&
        record.startedAtMs === next.startedAtMs;
      if (isCurrent) decisions.push(evict(record, EVICTION_REASON.OVERRUN, 0));
      next = this.#deadlines.peek();
    }
  }

  /**
   * Appends an eviction for each placed job. The failure domain must be empty after `remainingMs`;
   * pinned jobs may run until then.
   */
  evictAll(remainingMs: number, decisions: Decision[]): void {
    for (const record of this.#records.values()) {
      if (record.phase !== JOB_PHASE.PLACED) continue;
      if (record.pinned && remainingMs > 0) continue;
      decisions.push(evict(record, EVICTION_REASON.DOMAIN_OUT, remainingMs));
    }
  }
}

/** Marks a placed job as being evicted; its checkpoint may take at most `limitMs`. */
export function evict(
  record: JobRecord,
  reason: EvictionReason,
  limitMs: number,
): Decision {
  record.phase = JOB_PHASE.EVICTING;
  const { jobId, canCheckpoint, checkpointMs } = record.job;
  return {
    kind: "evict",
    jobId,
    reason,
    checkpointMs: canCheckpoint ? Math.min(checkpointMs, limitMs) : 0,
  };
}
