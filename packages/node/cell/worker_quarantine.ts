/** Quarantines workers by how the runs on them ended, whatever health they report. */
import type { WorkerName } from "@coltsfootpond/common";
import { type CellJobId, RUN_END, type RunEnd } from "@coltsfootpond/policy";
import type { CellLog } from "./log.ts";
import type { WorkerSession } from "./worker_session.ts";

/** A worker on which runs of this many jobs failed in a row gets no new tasks for a while. */
const FAILURES_TO_QUARANTINE = 2;
/** How long a quarantined worker gets no new tasks. */
export const QUARANTINE_MS = 4_000;

export interface WorkerQuarantineOptions {
  readonly log: CellLog;
}

/** Counts the jobs whose runs failed on each worker since its last success or quarantine. */
export class WorkerQuarantine {
  readonly #options: WorkerQuarantineOptions;
  readonly #failedJobs = new Map<WorkerName, Set<CellJobId>>();

  private constructor(options: WorkerQuarantineOptions) {
    this.#options = options;
  }

  static create(options: WorkerQuarantineOptions): WorkerQuarantine {
    return new WorkerQuarantine(options);
  }

  /** A success resets the worker's count; failures of several jobs in a row quarantine it. */
  recordEnd(session: WorkerSession, jobId: CellJobId, end: RunEnd): void {
    const { worker } = session;
    if (end === RUN_END.DONE) this.#failedJobs.delete(worker);
    if (end !== RUN_END.FAILED) return;
    const jobs = this.#failedJobs.get(worker) ?? new Set();
    jobs.add(jobId);
    this.#failedJobs.set(worker, jobs);
    if (jobs.size < FAILURES_TO_QUARANTINE) return;
    session.pause(QUARANTINE_MS);
    this.#failedJobs.delete(worker);
    this.#options.log.warn("worker.quarantined", { worker });
  }
}
