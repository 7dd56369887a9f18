/**
 * Tells workers that fail everything from jobs that fail everywhere. A job is to blame once it has
 * failed on several healthy workers; a worker is to blame once several different jobs of services
 * that succeed elsewhere have failed on it. Whoever is found guilty clears the other side.
 */
import type { JobId, WorkerName } from "@coltsfootpond/common";
import type { EngineJob } from "../types.ts";

/** Healthy workers on which a job may fail before it is to blame. */
const JOB_WORKER_LIMIT = 3;
/** Failures on any workers before it is to blame, where there are too few workers to tell. */
const JOB_FAILURE_LIMIT = 6;
const WORKER_SUSPICION_LIMIT = 2.5;
const SERVICE_SUCCESS_DECAY = 0.7;
const MAXIMUM_QUARANTINED_SHARE = 0.25;
const PROBE_DELAY_MS = 30_000;
const MAXIMUM_PROBE_DELAY_MS = 600_000;
const REFUSAL_DELAY_MS = 1_000;
const MAXIMUM_REFUSAL_DELAY_MS = 60_000;
/** Failed jobs remembered for each worker. */
const MAXIMUM_REMEMBERED_JOBS = 16;

interface WorkerHealth {
  /** Weight of each job that failed here since the last success. */
  readonly suspicion: Map<JobId, number>;
  quarantined: boolean;
  probeAtMs: number;
  probeDelayMs: number;
  refusalDelayMs: number;
}

/** What is known of a job that failed, this failure included. */
export interface FailedJob {
  readonly job: EngineJob;
  readonly failedOn: ReadonlySet<WorkerName>;
  readonly failures: number;
}

export type HealthVerdict =
  | { readonly kind: "none" }
  | { readonly kind: "job_guilty" }
  | { readonly kind: "worker_guilty"; readonly worker: WorkerName };

export class WorkerHealthTracker {
  readonly #workers = new Map<WorkerName, WorkerHealth>();
  /** Recent share of successes of each service of each organisation. */
  readonly #serviceSuccess = new Map<string, number>();
  #quarantinedCount = 0;

  private constructor() {}

  static create(): WorkerHealthTracker {
    return new WorkerHealthTracker();
  }

  /** A failure of a job on one worker. */
  recordFailure(
    { job, failedOn, failures }: FailedJob,
    worker: WorkerName,
    workerCount: number,
    nowMs: number,
  ): HealthVerdict {
    const health = this.#get(worker);
    if (health.quarantined) {
      this.#postponeProbe(health, nowMs);
      return { kind: "none" };
    }
    const service = `${job.organisation}/${job.service}`;
    const success = this.#serviceSuccess.get(service) ?? 1;
    this.#serviceSuccess.set(service, success * SERVICE_SUCCESS_DECAY);
    if (failedOn.size >= JOB_WORKER_LIMIT || failures >= JOB_FAILURE_LIMIT) {
      this.#clearJob(job.jobId, failedOn);
      return { kind: "job_guilty" };
    }
    this.#suspect(health, job.jobId, success);
    const suspicion = sum(health.suspicion.values());
    const limit = Math.floor(workerCount * MAXIMUM_QUARANTINED_SHARE);
    if (suspicion < WORKER_SUSPICION_LIMIT || this.#quarantinedCount >= limit) {
      return { kind: "none" };
    }
    health.quarantined = true;
    this.#quarantinedCount++;
    health.probeDelayMs = PROBE_DELAY_MS;
    health.probeAtMs = nowMs + PROBE_DELAY_MS;
    return { kind: "worker_guilty", worker };
  }

  /** True when the success ends the worker's quarantine. */
  recordSuccess(job: EngineJob, worker: WorkerName): boolean {
    const service = `${job.organisation}/${job.service}`;
    const success = this.#serviceSuccess.get(service) ?? 1;
    this.#serviceSuccess.set(
      service,
      1 - (1 - success) * SERVICE_SUCCESS_DECAY,
    );
    const health = this.#workers.get(worker);
    if (health === undefined) return false;
    const returns = health.quarantined;
    if (returns) this.#quarantinedCount--;
    this.#workers.delete(worker);
    return returns;
  }

  /** Until when a worker that refused a hold or a start is left alone. */
  recordRefusal(worker: WorkerName, nowMs: number): number {
    const health = this.#get(worker);
    health.refusalDelayMs = Math.min(
      MAXIMUM_REFUSAL_DELAY_MS,
      Math.max(REFUSAL_DELAY_MS, 2 * health.refusalDelayMs),
    );
    return nowMs + health.refusalDelayMs;
  }

  /** Whether a quarantined worker may be given one small job to prove itself. */
  mayProbe(worker: WorkerName, nowMs: number): boolean {
    const health = this.#workers.get(worker);
    return health !== undefined && health.quarantined &&
      nowMs >= health.probeAtMs;
  }

  /** A probe was placed: no second one before its outcome or the next probe time. */
  startProbe(worker: WorkerName, nowMs: number): void {
    this.#postponeProbe(this.#get(worker), nowMs);
  }

  /** Forgets a worker that left; true when it was quarantined. */
  forget(worker: WorkerName): boolean {
    const wasQuarantined = this.#workers.get(worker)?.quarantined ?? false;
    if (wasQuarantined) this.#quarantinedCount--;
    this.#workers.delete(worker);
    return wasQuarantined;
  }

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
        suspicion: new Map(),
        quarantined: false,
        probeAtMs: 0,
        probeDelayMs: 0,
        refusalDelayMs: 0,
      };
      this.#workers.set(worker, health);
    }
    return health;
  }

  #suspect(health: WorkerHealth, jobId: JobId, weight: number): void {
    health.suspicion.set(jobId, weight);
    if (health.suspicion.size <= MAXIMUM_REMEMBERED_JOBS) return;
    for (const oldest of health.suspicion.keys()) {
      health.suspicion.delete(oldest);
      break;
    }
  }

  #postponeProbe(health: WorkerHealth, nowMs: number): void {
    health.probeDelayMs = Math.min(
      MAXIMUM_PROBE_DELAY_MS,
      2 * health.probeDelayMs,
    );
    health.probeAtMs = nowMs + health.probeDelayMs;
  }

  #clearJob(jobId: JobId, workers: ReadonlySet<WorkerName>): void {
    for (const worker of workers) {
      this.#workers.get(worker)?.suspicion.delete(jobId);
    }
  }
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
