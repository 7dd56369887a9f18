/** Places a job on borrowed capacity, preferably where the fewest large gangs lose their space. */
import { MS_PER_HOUR } from "@coltsfootpond/common";
import type { WorkerHealthTracker } from "./worker_health.ts";
import {
  countFree,
  countUnreserved,
  getFreeCapacity,
  type Place,
  type RackState,
  type WorkerState,
} from "./capacity_model.ts";
import type { BackfillReservations } from "./backfill_reservations.ts";
import { type JobRecord, predictEndMs } from "./job_record.ts";
import { findPlaces } from "./packing.ts";
import type { PlacementState } from "./placement_state.ts";
import { countFitting } from "./resources.ts";
import { WAIT_REASON, type WaitReason } from "../types.ts";

/** Weights of the other criteria; the fragmentation loss has weight 1 per accelerator. */
const MIXING_WEIGHT = 1;
const EXTENSION_WEIGHT = 1e-1;
const RESERVED_WEIGHT = 1e-3;
const RACK_FREE_WEIGHT = 1e-5;
const WORKER_FREE_WEIGHT = 1e-7;

/** A place for the job, or the rule because of which it has to wait. */
export type BorrowedOutcome =
  | { readonly kind: "place"; readonly place: Place }
  | { readonly kind: "wait"; readonly reason: WaitReason };

export interface BorrowedPlacerOptions {
  readonly state: PlacementState;
  readonly reservations: BackfillReservations;
  readonly health: WorkerHealthTracker;
}

/** Finds places outside guarantees; called by the decision round. */
export class BorrowedPlacer {
  readonly #state: PlacementState;
  readonly #reservations: BackfillReservations;
  readonly #health: WorkerHealthTracker;

  private constructor(options: BorrowedPlacerOptions) {
    this.#state = options.state;
    this.#reservations = options.reservations;
    this.#health = options.health;
  }

  static create(options: BorrowedPlacerOptions): BorrowedPlacer {
    return new BorrowedPlacer(options);
  }

  /** Returns the place of least cost, or why the job has to wait. */
  decide(
    record: JobRecord,
    estimateMs: number,
    nowMs: number,
  ): BorrowedOutcome {
    if (record.pinned && this.#state.plan.hasUnplacedUnits()) {
      return { kind: "wait", reason: WAIT_REASON.GUARANTEES };
    }
    const avoidsReserved = this.#state.avoidsReserved(record);
    let sawFree = false;
    let sawBlocked = false;
    const count = (worker: WorkerState): number => {
      const free = this.#countFreeIfAllowed(worker, record, nowMs);
      if (free === 0) return 0;
      sawFree = true;
      if (worker.noSingleTasksUntilMs > nowMs && record.job.shape.tasks === 1) {
        return 0;
      }
      const blocked = this.#reservations.isBlockedFor(
        worker,
        record,
        estimateMs,
        nowMs,
      );
      if (blocked) sawBlocked = true;
      if (blocked || !avoidsReserved) return blocked ? 0 : free;
      return Math.min(free, countUnreserved(worker, record.job.shape.perTask));
    };
    const places = findPlaces(
      this.#state.capacity.racks,
      record.job.shape,
      count,
    );
    const endMs = nowMs + estimateMs;
    const best = this.#chooseCheapest(places, record, endMs, nowMs);
    if (best !== undefined) return { kind: "place", place: best };
    return {
      kind: "wait",
      reason: explainWait(avoidsReserved && sawFree, sawBlocked),
    };
  }

  /** A place on a quarantined worker that may be probed with this job. */
  findProbe(record: JobRecord, nowMs: number): Place | undefined {
    const { tasks, perTask } = record.job.shape;
    if (tasks !== 1 || !record.job.idempotent) return undefined;
    for (const worker of this.#state.capacity.workers) {
      if (!worker.quarantined || !worker.up) continue;
      if (record.failedOn.has(worker.name)) continue;
      if (!this.#health.mayProbe(worker.name, nowMs)) continue;
      if (countFitting(getFreeCapacity(worker), perTask) === 0) continue;
      return [{ worker, tasks }];
    }
    return undefined;
  }

  #countFreeIfAllowed(
    worker: WorkerState,
    record: JobRecord,
    nowMs: number,
  ): number {
    if (worker.avoidUntilMs > nowMs) return 0;
    if (record.failedOn.size > 0 && record.failedOn.has(worker.name)) return 0;
    return countFree(worker, record.job.shape.perTask);
  }

  #chooseCheapest(
    places: readonly Place[],
    record: JobRecord,
    endMs: number,
    nowMs: number,
  ): Place | undefined {
    if (places.length <= 1) return places[0];
    const rackFree = new Map<RackState, number>();
    let best: Place | undefined;
    let lowestCost = Infinity;
    for (const place of places) {
      const cost = this.#computeCost(place, record, rackFree) +
        MIXING_WEIGHT * this.#computeMixing(place, record) +
        EXTENSION_WEIGHT * this.#computeExtension(place, endMs, nowMs);
      if (cost < lowestCost) [best, lowestCost] = [place, cost];
    }
    return best;
  }

  /** Share of a worker's jobs that differ from this one in `canCheckpoint`, summed over workers. */
  #computeMixing(place: Place, record: JobRecord): number {
    let mixing = 0;
    for (const { worker } of place) {
      let other = 0;
      for (const jobId of worker.tasks.keys()) {
        const job = this.#state.records.get(jobId)?.job;
        if (job?.canCheckpoint !== record.job.canCheckpoint) other++;
      }
      mixing += other / Math.max(1, worker.tasks.size);
    }
    return mixing;
  }

  /** Hours by which each worker would become empty later, summed over the workers of the place. */
  #computeExtension(place: Place, endMs: number, nowMs: number): number {
    let extensionMs = 0;
    for (const { worker } of place) {
      let latestMs = nowMs;
      for (const jobId of worker.tasks.keys()) {
        const other = this.#state.records.get(jobId);
        if (other === undefined) continue;
        latestMs = Math.max(latestMs, predictEndMs(other, nowMs));
      }
      extensionMs += Math.max(0, endMs - latestMs);
    }
    return extensionMs / MS_PER_HOUR;
  }

  /** Fragmentation loss, then reserved capacity used, then free capacity of racks and workers. */
  #computeCost(
    place: Place,
    record: JobRecord,
    rackFree: Map<RackState, number>,
  ): number {
    const { perTask } = record.job.shape;
    let cost = this.#state.fragmentation.computeLoss(place, perTask);
    for (const { worker, tasks } of place) {
      if (!record.job.canCheckpoint) {
        const unreserved = countUnreserved(worker, perTask);
        cost += RESERVED_WEIGHT * Math.max(0, tasks - unreserved) *
          Math.max(1, perTask.accelerators);
      }
      cost += RACK_FREE_WEIGHT * getRackFree(worker.rack, rackFree);
      cost += WORKER_FREE_WEIGHT * getFreeCapacity(worker).milliprocessors /
        1_000;
    }
    return cost;
  }
}

/**
 * Free accelerators of a rack; fuller racks are preferred, so that nearly empty ones become empty.
 */
function getRackFree(
  rack: RackState,
  known: Map<RackState, number>,
): number {
  let free = known.get(rack);
  if (free === undefined) {
    free = rack.workers.reduce(
      (sum, worker) => sum + getFreeCapacity(worker).accelerators,
      0,
    );
    known.set(rack, free);
  }
  return free;
}

function explainWait(
  sawReserved: boolean,
  sawBlocked: boolean,
): WaitReason {
  if (sawBlocked) return WAIT_REASON.BEHIND_RESERVATION;
  if (sawReserved) return WAIT_REASON.GUARANTEES;
  return WAIT_REASON.NO_CAPACITY;
}
