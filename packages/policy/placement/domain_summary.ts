/** Builds the summary of a failure domain from which entries choose the failure domain of a job. */
import type { DomainSummary } from "../types.ts";
import {
  getFreeCapacity,
  getUnreservedCapacity,
  isUsable,
  type RackState,
  type WorkerState,
} from "./capacity_model.ts";
import type { BackfillReservations } from "./backfill_reservations.ts";
import type { JobQueue } from "./job_queue.ts";
import type { PlacementState } from "./placement_state.ts";

interface RackSummary {
  freeAccelerators: number;
  freeMilliprocessors: number;
  unreservedAccelerators: number;
  largestPartlyFree: number;
  openingLoss: number;
}

export interface SummaryOptions {
  readonly state: PlacementState;
  readonly queue: JobQueue;
  readonly reservations: BackfillReservations;
}

/** Called by the engine; workers with a backfill reservation count as not free. */
export function summariseDomain(options: SummaryOptions): DomainSummary {
  const { state, queue } = options;
  const racks = Array.from(
    state.capacity.racks,
    (rack) => summariseRack(rack, options),
  );
  const sum = (pick: (rack: RackSummary) => number): number =>
    racks.reduce((total, rack) => total + pick(rack), 0);
  const largest = (pick: (rack: RackSummary) => number): number =>
    racks.reduce((most, rack) => Math.max(most, pick(rack)), 0);
  return {
    freeAccelerators: sum((rack) => rack.freeAccelerators),
    totalAccelerators: state.capacity.total.accelerators,
    largestRackFreeAccelerators: largest((rack) => rack.freeAccelerators),
    largestRackUnreservedAccelerators: largest((rack) =>
      rack.unreservedAccelerators
    ),
    largestPartlyFreeAccelerators: largest((rack) => rack.largestPartlyFree),
    openingLoss: racks.reduce(
      (least, rack) => Math.min(least, rack.openingLoss),
      Number.MAX_SAFE_INTEGER,
    ),
    freeMilliprocessors: sum((rack) => rack.freeMilliprocessors),
    queuedJobs: queue.size,
    queuedAccelerators: queue.accelerators,
    runningTasks: state.runningTasks,
  };
}

function summariseRack(
  rack: RackState,
  { state, reservations }: SummaryOptions,
): RackSummary {
  const summary: RackSummary = {
    freeAccelerators: 0,
    freeMilliprocessors: 0,
    unreservedAccelerators: 0,
    largestPartlyFree: 0,
    openingLoss: Number.MAX_SAFE_INTEGER,
  };
  for (const worker of rack.workers.filter(isUsable)) {
    summary.unreservedAccelerators +=
      getUnreservedCapacity(worker).accelerators;
    if (reservations.isReserved(worker)) continue;
    const freeCapacity = getFreeCapacity(worker);
    const free = Math.max(0, freeCapacity.accelerators);
    summary.freeAccelerators += free;
    summary.freeMilliprocessors += Math.max(0, freeCapacity.milliprocessors);
    if (free === 0) continue;
    if (free < worker.capacity.accelerators) {
      summary.largestPartlyFree = Math.max(summary.largestPartlyFree, free);
    } else if (summary.openingLoss === Number.MAX_SAFE_INTEGER) {
      summary.openingLoss = computeOpeningLoss(state, worker);
    }
  }
  return summary;
}

/** Fragmentation loss if a task takes the whole of an empty worker. */
function computeOpeningLoss(
  state: PlacementState,
  worker: WorkerState,
): number {
  const place = [{ worker, tasks: 1 }];
  return state.fragmentation.computeLoss(place, worker.capacity);
}
