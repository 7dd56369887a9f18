/** Takes in jobs that were already placed when this engine began. */
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

/** Counts the job where it runs, inside its organisation's guarantee when that can be. */
export function restoreJob(
  state: PlacementState,
  record: JobRecord,
  assignments: readonly Assignment[],
  nowMs: number,
): void {
  const place = findRestoredPlace(state, assignments);
  state.put(record, place, undefined, nowMs);
  adoptRestored(state, record, place);
}

function findRestoredPlace(
  state: PlacementState,
  assignments: readonly Assignment[],
): Place {
  const tasks = new Map<WorkerState, number>();
  for (const { worker } of assignments) {
    const found = state.capacity.get(worker) ?? addLostWorker(state, worker);
    tasks.set(found, (tasks.get(found) ?? 0) + 1);
  }
  return Array.from(tasks, ([worker, count]) => ({ worker, tasks: count }));
}

/** A worker that has not been seen up; it counts for nothing until it is. */
function addLostWorker(state: PlacementState, name: WorkerName): WorkerState {
  const worker = state.capacity.bringUp({
    name,
    rack: `unknown/${name}` as RackName,
    resources: createEmptyResources(),
  });
  state.capacity.bringDown(name);
  return worker;
}

/** Moves an open unit of the job's organisation to where the job already runs. */
function adoptRestored(
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
