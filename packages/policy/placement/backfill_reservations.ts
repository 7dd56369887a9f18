/**
 * Reserves workers for jobs that have waited too long, mostly gangs: those on which the job will
 * fit soonest by the estimated run times. Other work may start there only if it is expected to end
 * by then or can be moved at the cost of a checkpoint. Based on EASY backfill, with several
 * reservations. `avoidsReserved` and unreserved capacity are not about these reservations but about
 * capacity reserved for guarantees.
 */
import { ADJACENCY, type Resources, type Shape } from "@coltsfootpond/common";
import { assertNever } from "@coltsfootpond/common";
import {
  countUnreserved,
  getFreeCapacity,
  getUnreservedCapacity,
  isUsable,
  type RackState,
  type WorkerState,
} from "./capacity_model.ts";
import { RECLAIM_CHECKPOINT_LIMIT_MS } from "./constants.ts";
import {
  isMovable,
  isMovableOnceRunning,
  JOB_PHASE,
  type JobRecord,
  predictEndMs,
} from "./job_record.ts";
import type { PlacementState } from "./placement_state.ts";
import { addScaled, countFitting } from "./resources.ts";

/** Workers reserved for one waiting job. */
interface BackfillReservation {
  readonly record: JobRecord;
  readonly workers: ReadonlySet<WorkerState>;
  /** Shadow time of EASY backfill: when the waiting job is expected to fit. */
  readonly shadowMs: number;
  /** Movable work is being evicted, and no other work may start on the workers. */
  isAssembling: boolean;
}

/** Capacity that one job is expected to free on one worker. */
interface Release {
  readonly endMs: number;
  readonly worker: WorkerState;
  readonly perTask: Resources;
  readonly tasks: number;
}

/** Workers on which a waiting job will fit, and when. */
interface Forecast {
  readonly workers: ReadonlySet<WorkerState>;
  readonly shadowMs: number;
}

/** The backfill reservations of one failure domain; a worker has at most one. */
export class BackfillReservations {
  readonly #state: PlacementState;
  readonly #byRecord = new Map<JobRecord, BackfillReservation>();
  readonly #byWorker = new Map<WorkerState, BackfillReservation>();

  private constructor(state: PlacementState) {
    this.#state = state;
  }

  static create(state: PlacementState): BackfillReservations {
    return new BackfillReservations(state);
  }

  get workerCount(): number {
    return this.#byWorker.size;
  }

  has(record: JobRecord): boolean {
    return this.#byRecord.has(record);
  }

  isReserved(worker: WorkerState): boolean {
    return this.#byWorker.has(worker);
  }

  /**
   * Whether the worker's reservation keeps `record`, expected to run for `estimateMs`, from
   * starting there. Jobs of the reserving job's class are interchangeable with it and may start.
   */
  isBlockedFor(
    worker: WorkerState,
    record: JobRecord,
    estimateMs: number,
    nowMs: number,
  ): boolean {
    const reservation = this.#byWorker.get(worker);
    if (
      reservation === undefined ||
      reservation.record.classKey === record.classKey
    ) return false;
    if (reservation.isAssembling) return true;
    if (isMovableOnceRunning(record)) return false;
    return nowMs + estimateMs > reservation.shadowMs;
  }

  /** Drops reservations of jobs that no longer wait and reservations with an unusable worker. */
  prune(): void {
    for (const reservation of this.#byRecord.values()) {
      const { record, workers } = reservation;
      const isValid = record.phase === JOB_PHASE.WAITING &&
        [...workers].every(isUsable);
      if (!isValid) this.drop(record);
    }
  }

  drop(record: JobRecord): void {
    const reservation = this.#byRecord.get(record);
    if (reservation === undefined) return;
    this.#byRecord.delete(record);
    for (const worker of reservation.workers) this.#byWorker.delete(worker);
    this.#state.incrementVersion();
  }

  /** Reserves the workers on which the job will fit soonest; none if it is not predicted to fit. */
  reserve(record: JobRecord, nowMs: number): void {
    const forecast = this.#forecast(record, nowMs);
    if (forecast === undefined) return;
    const reservation = { record, ...forecast, isAssembling: false };
    this.#byRecord.set(record, reservation);
    for (const worker of forecast.workers) {
      this.#byWorker.set(worker, reservation);
    }
  }

  /**
   * Starts the assembly of gangs that fit as soon as the movable single-task jobs have left their
   * workers, and returns these jobs; the caller evicts them.
   */
  startAssembly(): JobRecord[] {
    const movable: JobRecord[] = [];
    for (const reservation of this.#byRecord.values()) {
      const isGang = reservation.record.job.shape.tasks > 1;
      if (!isGang || reservation.isAssembling) continue;
      if (!this.#fitsOnceMoved(reservation)) continue;
      reservation.isAssembling = true;
      for (const worker of reservation.workers) {
        movable.push(...this.#listMovable(worker));
      }
    }
    return movable;
  }

  #fitsOnceMoved({ record, workers }: BackfillReservation): boolean {
    const { tasks, perTask } = record.job.shape;
    const avoidsReserved = this.#state.avoidsReserved(record);
    let total = 0;
    for (const worker of workers) {
      const free = { ...getFreeCapacity(worker) };
      for (const movable of this.#listMovable(worker)) {
        addScaled(free, movable.demand, 1);
      }
      const limit = avoidsReserved ? countUnreserved(worker, perTask) : tasks;
      total += Math.min(limit, countFitting(free, perTask));
    }
    return total >= tasks;
  }

  #listMovable(worker: WorkerState): JobRecord[] {
    return [...worker.tasks.keys()].flatMap((jobId) => {
      const record = this.#state.records.get(jobId);
      return record !== undefined && isMovable(record) ? [record] : [];
    });
  }

  #forecast(record: JobRecord, nowMs: number): Forecast | undefined {
    const avoidsReserved = this.#state.avoidsReserved(record);
    let soonest: Forecast | undefined;
    for (const scopeWorkers of this.#listScopes(record.job.shape)) {
      const candidates = scopeWorkers.filter((worker) =>
        isUsable(worker) && !this.#byWorker.has(worker) &&
        !record.failedOn.has(worker.name)
      );
      const forecast = this.#forecastScope(
        record,
        candidates,
        avoidsReserved,
        nowMs,
      );
      if (forecast === undefined) continue;
      if (soonest === undefined || forecast.shadowMs < soonest.shadowMs) {
        soonest = forecast;
      }
    }
    return soonest;
  }

  /** Sets of workers; a gang of the shape must be placed within one of them. */
  #listScopes(shape: Shape): readonly (readonly WorkerState[])[] {
    const racks: readonly RackState[] = [...this.#state.capacity.racks];
    if (shape.tasks === 1) {
      return racks.flatMap((rack) => rack.workers.map((worker) => [worker]));
    }
    switch (shape.adjacency) {
      case ADJACENCY.WORKER:
        return racks.flatMap((rack) => rack.workers.map((worker) => [worker]));
      case ADJACENCY.RACK:
        return racks.map((rack) => rack.workers);
      case ADJACENCY.FAILURE_DOMAIN:
        return [racks.flatMap((rack) => rack.workers)];
      default:
        return assertNever(shape.adjacency);
    }
  }

  /** Adds up what running jobs free, in order of their predicted ends, until the job fits. */
  #forecastScope(
    record: JobRecord,
    workers: readonly WorkerState[],
    avoidsReserved: boolean,
    nowMs: number,
  ): Forecast | undefined {
    const { tasks, perTask } = record.job.shape;
    const freeCapacities = new Map(
      workers.map((worker) => [worker, { ...getFreeCapacity(worker) }]),
    );
    const limits = new Map(
      workers.map((worker) => [
        worker,
        avoidsReserved
          ? countFitting(getUnreservedCapacity(worker), perTask)
          : Infinity,
      ]),
    );
    const counts = new Map<WorkerState, number>();
    let total = 0;
    const recount = (worker: WorkerState): void => {
      const count = Math.min(
        limits.get(worker)!,
        countFitting(freeCapacities.get(worker)!, perTask),
      );
      total += count - (counts.get(worker) ?? 0);
      counts.set(worker, count);
    };
    for (const worker of workers) recount(worker);
    if (total >= tasks) return chooseWorkers(counts, tasks, nowMs);
    for (const release of this.#listReleases(workers, tasks > 1, nowMs)) {
      addScaled(
        freeCapacities.get(release.worker)!,
        release.perTask,
        release.tasks,
      );
      recount(release.worker);
      if (total >= tasks) return chooseWorkers(counts, tasks, release.endMs);
    }
    return undefined;
  }

  #listReleases(
    workers: readonly WorkerState[],
    mayMove: boolean,
    nowMs: number,
  ): Release[] {
    const releases: Release[] = [];
    for (const worker of workers) {
      for (const [jobId, tasks] of worker.tasks) {
        const record = this.#state.records.get(jobId);
        if (record === undefined) continue;
        const { perTask } = record.job.shape;
        const endMs = mayMove && isMovable(record)
          ? nowMs + RECLAIM_CHECKPOINT_LIMIT_MS
          : predictEndMs(record, nowMs);
        releases.push({ endMs, worker, perTask, tasks });
      }
    }
    return releases.sort((left, right) => left.endMs - right.endMs);
  }
}

/** As few workers as suffice for the job, so that the others stay open to all work. */
function chooseWorkers(
  counts: ReadonlyMap<WorkerState, number>,
  tasks: number,
  shadowMs: number,
): Forecast {
  const workers = new Set<WorkerState>();
  let remaining = tasks;
  const byCount = [...counts].sort((left, right) => right[1] - left[1]);
  for (const [worker, count] of byCount) {
    if (remaining <= 0) break;
    workers.add(worker);
    remaining -= count;
  }
  return { workers, shadowMs };
}
