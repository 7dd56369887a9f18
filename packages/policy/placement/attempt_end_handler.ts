/** What the engine learns from how attempts end: run times, bad jobs and bad workers. */
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

export class AttemptEndHandler {
  readonly #state: PlacementState;
  readonly #health: WorkerHealthTracker;
  readonly #estimator: RunTimeEstimator;
  readonly #onCapacityChange: () => void;
  #avoidUntilMs: number | undefined;

  private constructor(options: AttemptEndHandlerOptions) {
    this.#state = options.state;
    this.#health = options.health;
    this.#estimator = options.estimator;
    this.#onCapacityChange = options.onCapacityChange;
  }

  static create(options: AttemptEndHandlerOptions): AttemptEndHandler {
    return new AttemptEndHandler(options);
  }

  /** True when the job itself is to blame for having failed. */
  handle(
    record: JobRecord,
    workers: readonly WorkerState[],
    event: AttemptEnded,
    nowMs: number,
  ): boolean {
    switch (event.end) {
      case ATTEMPT_END.FINISHED:
        this.#estimator.observe(record.job, event.ranMs);
        for (const worker of workers) this.#noteSuccess(record, worker);
        return false;
      case ATTEMPT_END.FAILED:
        return this.#noteFailure(record, event.workers, nowMs);
      case ATTEMPT_END.REFUSED:
        for (const name of event.workers) this.#noteRefusal(name, nowMs);
        return false;
      case ATTEMPT_END.STOPPED:
        return false;
      default:
        return assertNever(event.end);
    }
  }

  /** Notes that a worker's quarantine or backoff may now let something be placed. */
  checkTimers(nowMs: number): void {
    const probeMs = this.#health.nextProbeMs();
    if (probeMs !== undefined && probeMs <= nowMs) {
      this.#state.incrementVersion();
    }
    if (this.#avoidUntilMs === undefined || this.#avoidUntilMs > nowMs) return;
    this.#avoidUntilMs = undefined;
    for (const { avoidUntilMs } of this.#state.capacity.workers) {
      if (avoidUntilMs > nowMs) this.#notePause(avoidUntilMs);
    }
    this.#state.incrementVersion();
  }

  nextTimerMs(): number | undefined {
    const times = [this.#avoidUntilMs, this.#health.nextProbeMs()]
      .filter((timeMs) => timeMs !== undefined);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** A worker that left starts afresh when it returns. */
  forget(worker: WorkerState): void {
    if (!this.#health.forget(worker.name)) return;
    this.#state.capacity.setQuarantined(worker, false);
  }

  #noteSuccess(record: JobRecord, worker: WorkerState): void {
    if (!this.#health.recordSuccess(record.job, worker.name)) return;
    this.#state.capacity.setQuarantined(worker, false);
    this.#onCapacityChange();
  }

  #noteFailure(
    record: JobRecord,
    workers: readonly WorkerName[],
    nowMs: number,
  ): boolean {
    let isGuilty = false;
    record.failures++;
    for (const name of workers) {
      const worker = this.#state.capacity.get(name);
      if (worker === undefined) continue;
      if (!worker.quarantined) record.failedOn.add(name);
      const verdict = this.#health.recordFailure(
        record,
        name,
        this.#state.capacity.workerCount,
        nowMs,
      );
      if (verdict.kind === "job_guilty") isGuilty = true;
      if (verdict.kind === "worker_guilty") this.#quarantine(worker);
    }
    if (!this.#hasPlaceElsewhere(record)) record.failedOn.clear();
    return isGuilty;
  }

  /** Whether the job fits on workers that it has not failed on, once they are free. */
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

  #noteRefusal(name: WorkerName, nowMs: number): void {
    const worker = this.#state.capacity.get(name);
    if (worker === undefined) return;
    worker.avoidUntilMs = this.#health.recordRefusal(name, nowMs);
    this.#notePause(worker.avoidUntilMs);
  }

  #notePause(untilMs: number): void {
    this.#avoidUntilMs = Math.min(this.#avoidUntilMs ?? untilMs, untilMs);
  }
}
