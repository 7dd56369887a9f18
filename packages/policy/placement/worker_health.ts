/**
 * Distinguishes workers that fail all jobs from jobs that fail on all workers. A job is the cause
 * once it has failed on several healthy workers; a worker is the cause once several jobs of
 * services that succeed elsewhere have failed on it. Once a job is the cause, its failures are
 * removed from its workers' weights. Once a worker is the cause, it is in quarantine, and failures
 * on it no longer lower the success share of a service.
 */
import type { JobId, WorkerName } from "@coltsfootpond/common";
import type { EngineJob } from "../types.ts";

/** A job is the cause once it has failed on this many healthy workers. */
const JOB_WORKER_LIMIT = 3;
/**
 * A job is also the cause after this many failures, as there may be too few workers to reach
 * JOB_WORKER_LIMIT.
 */
const JOB_FAILURE_LIMIT = 6;
/** A worker is the cause once the weights of its failed jobs reach this sum. */
const WORKER_FAILURE_WEIGHT_LIMIT = 2.5;
/**
 * A failure multiplies the success share of a service by this; a success multiplies the rest, its
 * failure share.
 */
const SERVICE_SUCCESS_DECAY = 0.7;
/** Upper limit of the share of workers in quarantine. */
const MAXIMUM_QUARANTINED_SHARE = 0.25;
/** Time from quarantine to the first probe; doubles up to the maximum. */
const PROBE_DELAY_MS = 30_000;
const MAXIMUM_PROBE_DELAY_MS = 600_000;
/** Time without new work after a refusal; doubles with each further one up to the maximum. */
const REFUSAL_DELAY_MS = 1_000;
const MAXIMUM_REFUSAL_DELAY_MS = 60_000;
/** Upper limit of failed jobs counted per worker; the oldest is dropped. */
const MAXIMUM_FAILED_JOBS = 16;

/** Failures and delays of one worker since its last success. */
interface WorkerHealth {
  /** Jobs that failed on it, weighted by the success share of their service at that time. */
  readonly failureWeights: Map<JobId, number>;
  quarantined: boolean;
  /** Whether a probe was placed and has not failed. */
  isProbing: boolean;
  probeAtMs: number;
  probeDelayMs: number;
  refusalDelayMs: number;
}

/** A failed job, the workers on which it has failed, and its number of failures with this one. */
export interface FailedJob {
  readonly job: EngineJob;
  readonly failedOn: ReadonlySet<WorkerName>;
  readonly failures: number;
}

/** What a failure shows to be the cause; `none` if that is not clear. */
export type FailureCause =
  | { readonly kind: "none" }
  | { readonly kind: "job_at_fault" }
  | { readonly kind: "worker_at_fault"; readonly worker: WorkerName };

/** Health of the workers of one failure domain, updated when attempts end. */
export class WorkerHealthTracker {
  readonly #workers = new Map<WorkerName, WorkerHealth>();
  /** Recent success share of each service of each organisation. */
  readonly #serviceSuccess = new Map<string, number>();
  #quarantinedCount = 0;

  private constructor() {}

  static create(): WorkerHealthTracker {
    return new WorkerHealthTracker();
  }

  /** Records the failure of a job on one worker and returns its cause, if it is clear. */
  recordFailure(
    { job, failedOn, failures }: FailedJob,
    worker: WorkerName,
    workerCount: number,
    nowMs: number,
  ): FailureCause {
    const health = this.#get(worker);
    if (health.quarantined) {
      // A job that was started before the quarantine says nothing new.
      if (health.isProbing) health.probeAtMs = nowMs + health.probeDelayMs;
      health.isProbing = false;
      return { kind: "none" };
    }
    const service = `${job.organisation}/${job.service}`;
    const success = this.#serviceSuccess.get(service) ?? 1;
    this.#serviceSuccess.set(service, success * SERVICE_SUCCESS_DECAY);
    if (failedOn.size >= JOB_WORKER_LIMIT || failures >= JOB_FAILURE_LIMIT) {
      this.#removeFailures(job.jobId, failedOn);
      return { kind: "job_at_fault" };
    }
    this.#addFailure(health, job.jobId, success);
    const failureWeight = sum(health.failureWeights.values());
    const limit = Math.floor(workerCount * MAXIMUM_QUARANTINED_SHARE);
    if (
      failureWeight < WORKER_FAILURE_WEIGHT_LIMIT ||
      this.#quarantinedCount >= limit
    ) {
      return { kind: "none" };
    }
    health.quarantined = true;
    this.#quarantinedCount++;
    health.probeDelayMs = PROBE_DELAY_MS;
    health.probeAtMs = nowMs + PROBE_DELAY_MS;
    return { kind: "worker_at_fault", worker };
  }

  /** Records a success; true if it ends the worker's quarantine. */
  recordSuccess(job: EngineJob, worker: WorkerName): boolean {
    const service = `${job.organisation}/${job.service}`;
    const success = this.#serviceSuccess.get(service) ?? 1;
    this.#serviceSuccess.set(
      service,
      1 - (1 - success) * SERVICE_SUCCESS_DECAY,
    );
    const health = this.#workers.get(worker);
    if (health === undefined) return false;
    const endsQuarantine = health.quarantined;
    if (endsQuarantine) this.#quarantinedCount--;
    this.#workers.delete(worker);
    return endsQuarantine;
  }

  /** Records a refused hold or start; returns until when the worker gets no new work. */
  recordRefusal(worker: WorkerName, nowMs: number): number {
    const health = this.#get(worker);
    health.refusalDelayMs = Math.min(
      MAXIMUM_REFUSAL_DELAY_MS,
      Math.max(REFUSAL_DELAY_MS, 2 * health.refusalDelayMs),
    );
    return nowMs + health.refusalDelayMs;
  }

  /** Whether a quarantined worker may get one job as a probe now. */
  mayProbe(worker: WorkerName, nowMs: number): boolean {
    const health = this.#workers.get(worker);
    return health !== undefined && health.quarantined &&
      nowMs >= health.probeAtMs;
  }

  /** Records that a probe was placed; the next one may follow after a doubled delay. */
  startProbe(worker: WorkerName, nowMs: number): void {
    const health = this.#get(worker);
    health.isProbing = true;
    health.probeDelayMs = Math.min(
      MAXIMUM_PROBE_DELAY_MS,
      2 * health.probeDelayMs,
    );
    health.probeAtMs = nowMs + health.probeDelayMs;
  }

  /** Removes a worker that was lost; true if it was in quarantine. */
  forget(worker: WorkerName): boolean {
    const wasQuarantined = this.#workers.get(worker)?.quarantined ?? false;
    if (wasQuarantined) this.#quarantinedCount--;
    this.#workers.delete(worker);
    return wasQuarantined;
  }

  /** Earliest time at which a worker may be probed; undefined if none is in quarantine. */
  nextProbeMs(): number | undefined {
    let next: number | undefined;
    if (this.#quarantinedCount === 0) return undefined;
    for (const health of this.#workers.values()) {
      if (!health.quarantined) continue;
      next = Math.min(next ?? health.probeAtMs, health.probeAtMs);
    }
    return next;
  }

  #get(worker: WorkerName): WorkerHealth {
    let health = this.#workers.get(worker);
    if (health === undefined) {
      health = {
        failureWeights: new Map(),
        quarantined: false,
        isProbing: false,
        probeAtMs: 0,
        probeDelayMs: 0,
        refusalDelayMs: 0,
      };
      this.#workers.set(worker, health);
    }
    return health;
  }

  #addFailure(health: WorkerHealth, jobId: JobId, weight: number): void {
    health.failureWeights.set(jobId, weight);
    if (health.failureWeights.size <= MAXIMUM_FAILED_JOBS) return;
    for (const oldest of health.failureWeights.keys()) {
      health.failureWeights.delete(oldest);
      break;
    }
  }

  #removeFailures(jobId: JobId, workers: ReadonlySet<WorkerName>): void {
    for (const worker of workers) {
      this.#workers.get(worker)?.failureWeights.delete(jobId);
    }
  }
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
