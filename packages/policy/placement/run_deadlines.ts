/** Sends out work that ran past its maximum time, and all work of a failure domain that is out. */
import type { JobId } from "@coltsfootpond/common";
import {
  type Decision,
  EVICTION_REASON,
  type EvictionReason,
} from "../types.ts";
import { BinaryHeap } from "./binary_heap.ts";
import { JOB_PHASE, type JobRecord } from "./job_record.ts";

interface RunDeadline {
  readonly dueMs: number;
  readonly jobId: JobId;
  readonly startedAtMs: number;
}

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

  evictOverruns(nowMs: number, decisions: Decision[]): void {
    let next = this.#deadlines.peek();
    while (next !== undefined && next.dueMs <= nowMs) {
      this.#deadlines.pop();
      const record = this.#records.get(next.jobId);
      const stands = record?.phase === JOB_PHASE.PLACED &&
        record.startedAtMs === next.startedAtMs;
      if (stands) decisions.push(evict(record, EVICTION_REASON.OVERRUN, 0));
      next = this.#deadlines.peek();
    }
  }

  /** `restMs` until the failure domain must be empty; pinned work may end until then. */
  evictAll(restMs: number, decisions: Decision[]): void {
    for (const record of this.#records.values()) {
      if (record.phase !== JOB_PHASE.PLACED) continue;
      if (record.pinned && restMs > 0) continue;
      decisions.push(evict(record, EVICTION_REASON.DOMAIN_OUT, restMs));
    }
  }
}

/** Asks a placed job to go, with at most `limitMs` for its checkpoint. */
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
