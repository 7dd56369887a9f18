/** Applies ended attempts of the engine to run-time estimates, job failures and worker health. */
import { assertNever, type WorkerName } from "@coltsfootpond/common";
import { ATTEMPT_END, type EngineEvent } from "../types.ts";
import { isUsable, type WorkerState } from "./capacity_model.ts";
import type { RunTimeEstimator } from "./run_time_estimator.ts";
import type { JobRecord } from "./job_record.ts";
import { findPlaces } from "./packing.ts";
import type { PlacementState } from "./placement_state.ts";
import { countFitting } from "./resources.ts";
import type { WorkerHealthTracker } from "./worker_health.ts";

export type AttemptEnded = Extract<
  EngineEvent,
  { readonly kind: "attempt_ended" }
>;

export interface AttemptEndHandlerOptions {
  readonly state: PlacementState;
  readonly health: WorkerHealthTracker;
  readonly estimator: RunTimeEstimator;
  /** Called when a worker enters or leaves quarantine. */
  readonly onCapacityChange: () => void;
}

/** Created and called by the engine of one failure domain. */
export class AttemptEndHandler {
  readonly #state: PlacementState;
  readonly #health: WorkerHealthTracker;
  readonly #estimator: RunTimeEstimator;
  readonly #onCapacityChange: () => void;
  /** Earliest end of a delay after a refusal. */
  #nextAvoidEndMs: number | undefined;

  private constructor(options: AttemptEndHandlerOptions) {
    this.#state = options.state;
    this.#health = options.health;
    this.#estimator = options.estimator;
    this.#onCapacityChange = options.onCapacityChange;
  }

  static create(options: AttemptEndHandlerOptions): AttemptEndHandler {
    return new AttemptEndHandler(options);
  }

  /** Applies one ended attempt. Returns true if the job itself is the cause of its failures. */
  handle(
    record: JobRecord,
    workers: readonly WorkerState[],
    event: AttemptEnded,
    nowMs: number,
  ): boolean {
    switch (event.end) {
      case ATTEMPT_END.FINISHED:
        this.#estimator.observe(record.job, event.ranMs);
        for (const worker of workers) this.#recordSuccess(record, worker);
        return false;
      case ATTEMPT_END.FAILED:
        return this.#recordFailure(record, event.workers, nowMs);
      case ATTEMPT_END.REFUSED:
        for (const name of event.workers) this.#recordRefusal(name, nowMs);
        return false;
      case ATTEMPT_END.STOPPED:
        return false;
      default:
        return assertNever(event.end);
    }
  }

  /**
   * Marks the state as changed if a worker may be probed or the delay after a refusal has ended.
   */
  checkTimers(nowMs: number): void {
    const probeMs = this.#health.nextProbeMs();
    if (probeMs !== undefined && probeMs <= nowMs) {
      this.#state.incrementVersion();
    }
    if (this.#nextAvoidEndMs === undefined || this.#nextAvoidEndMs > nowMs) {
      return;
    }
    this.#nextAvoidEndMs = undefined;
    for (const { avoidUntilMs } of this.#state.capacity.workers) {
      if (avoidUntilMs > nowMs) this.#scheduleAvoidEnd(avoidUntilMs);
    }
    this.#state.incrementVersion();
  }

  /** Time at which `checkTimers` next has an effect; undefined if never. */
  nextTimerMs(): number | undefined {
    const times = [this.#nextAvoidEndMs, this.#health.nextProbeMs()]
      .filter((timeMs) => timeMs !== undefined);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Removes the health state of a lost worker; it starts without quarantine when it is back. */
  forget(worker: WorkerState): void {
    if (!this.#health.forget(worker.name)) return;
    this.#state.capacity.setQuarantined(worker, false);
  }

  #recordSuccess(record: JobRecord, worker: WorkerState): void {
    if (!this.#health.recordSuccess(record.job, worker.name)) return;
    this.#state.capacity.setQuarantined(worker, false);
    this.#onCapacityChange();
  }

  #recordFailure(
    record: JobRecord,
    workers: readonly WorkerName[],
    nowMs: number,
  ): boolean {
    let isJobAtFault = false;
    record.failures++;
    for (const name of workers) {
      const worker = this.#state.capacity.get(name);
      if (worker === undefined) continue;
      if (!worker.quarantined) record.failedOn.add(name);
      const cause = this.#health.recordFailure(
        record,
        name,
        this.#state.capacity.workerCount,
        nowMs,
      );
      if (cause.kind === "job_at_fault") isJobAtFault = true;
      if (cause.kind === "worker_at_fault") this.#quarantine(worker);
    }
    if (!this.#hasPlaceElsewhere(record)) record.failedOn.clear();
    return isJobAtFault;
  }

  /** Whether the job would fit on the workers on which it has not failed, if they were empty. */
  #hasPlaceElsewhere({ job, failedOn }: JobRecord): boolean {
    const { racks } = this.#state.capacity;
    const places = findPlaces(
      racks,
      job.shape,
      (worker) =>
        isUsable(worker) && !failedOn.has(worker.name)
          ? countFitting(worker.capacity, job.shape.perTask)
          : 0,
    );
    return places.length > 0;
  }

  #quarantine(worker: WorkerState): void {
    this.#state.capacity.setQuarantined(worker, true);
    for (const other of this.#state.records.values()) {
      other.failedOn.delete(worker.name);
    }
    this.#onCapacityChange();
  }

  #recordRefusal(name: WorkerName, nowMs: number): void {
    const worker = this.#state.capacity.get(name);
    if (worker === undefined) return;
    worker.avoidUntilMs = this.#health.recordRefusal(name, nowMs);
    this.#scheduleAvoidEnd(worker.avoidUntilMs);
  }

  #scheduleAvoidEnd(untilMs: number): void {
    this.#nextAvoidEndMs = Math.min(this.#nextAvoidEndMs ?? untilMs, untilMs);
  }
}
