/** Restores jobs that were already placed when this engine was created. */
import type { RackName, WorkerName } from "@coltsfootpond/common";
import type { Assignment } from "../types.ts";
import type { Place, WorkerState } from "./capacity_model.ts";
import type { JobRecord } from "./job_record.ts";
import type { PlacementState } from "./placement_state.ts";
import {
  countFitting,
  coversShape,
  createEmptyResources,
} from "./resources.ts";

/** Places the job where it runs, inside a guarantee unit of its organisation if possible. */
export function restoreJob(
  state: PlacementState,
  record: JobRecord,
  assignments: readonly Assignment[],
  nowMs: number,
): void {
  const place = findRestoredPlace(state, assignments);
  state.put(record, place, undefined, nowMs);
  moveUnitToJob(state, record, place);
}

function findRestoredPlace(
  state: PlacementState,
  assignments: readonly Assignment[],
): Place {
  const tasks = new Map<WorkerState, number>();
  for (const { worker } of assignments) {
    const found = state.capacity.get(worker) ??
      addUnreportedWorker(state, worker);
    tasks.set(found, (tasks.get(found) ?? 0) + 1);
  }
  return Array.from(tasks, ([worker, count]) => ({ worker, tasks: count }));
}

/** Adds a worker that has not been reported up; it has no capacity until it is. */
function addUnreportedWorker(
  state: PlacementState,
  name: WorkerName,
): WorkerState {
  const worker = state.capacity.bringUp({
    name,
    rack: `unknown/${name}` as RackName,
    resources: createEmptyResources(),
  });
  state.capacity.bringDown(name);
  return worker;
}

/** Moves an unused guarantee unit of the job's organisation to the place where the job runs. */
function moveUnitToJob(
  state: PlacementState,
  record: JobRecord,
  place: Place,
): void {
  const { job } = record;
  const unit = state.plan.listUnitsOf(job.organisation).find((candidate) =>
    candidate.jobs.size === 0 &&
    candidate.guarantee.shape.tasks === job.shape.tasks &&
    coversShape(candidate.guarantee.shape, job.shape)
  );
  if (unit === undefined) return;
  const { perTask } = unit.guarantee.shape;
  const mayMove = place.every(({ worker, tasks }) =>
    worker.up && countFitting(worker.capacity, perTask) >= tasks
  );
  if (!mayMove) return;
  state.plan.setPlace(unit, place);
  state.moveIntoUnit(record, unit);
}
