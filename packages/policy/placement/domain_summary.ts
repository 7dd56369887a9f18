/** The small picture of a failure domain that the other entries choose homes by. */
import type { DomainSummary } from "../types.ts";
import { getFreeRoom, getUnreservedRoom, isUsable } from "./capacity_model.ts";
import type { JobQueue } from "./job_queue.ts";
import type { PlacementState } from "./placement_state.ts";

export function summariseDomain(
  state: PlacementState,
  queue: JobQueue,
): DomainSummary {
  let freeAccelerators = 0;
  let freeMilliprocessors = 0;
  let largestRackFreeAccelerators = 0;
  let largestRackUnreservedAccelerators = 0;
  let partlyFreeAccelerators = 0;
  for (const rack of state.capacity.racks) {
    let rackFree = 0;
    let rackUnreserved = 0;
    for (const worker of rack.workers.filter(isUsable)) {
      const room = getFreeRoom(worker);
      const free = Math.max(0, room.accelerators);
      rackFree += free;
      rackUnreserved += getUnreservedRoom(worker).accelerators;
      if (free < worker.capacity.accelerators) partlyFreeAccelerators += free;
      freeMilliprocessors += Math.max(0, room.milliprocessors);
    }
    freeAccelerators += rackFree;
    largestRackUnreservedAccelerators = Math.max(
      largestRackUnreservedAccelerators,
      rackUnreserved,
    );
    largestRackFreeAccelerators = Math.max(
      largestRackFreeAccelerators,
      rackFree,
    );
  }
  return {
    freeAccelerators,
    totalAccelerators: state.capacity.total.accelerators,
    largestRackFreeAccelerators,
    largestRackUnreservedAccelerators,
    partlyFreeAccelerators,
    freeMilliprocessors,
    queuedJobs: queue.size,
    queuedAccelerators: queue.accelerators,
    runningTasks: state.runningTasks,
  };
}
