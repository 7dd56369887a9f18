/** Finds places where a whole gang fits: one candidate per rack, per worker or for all workers. */
import { ADJACENCY, type Shape } from "@coltsfootpond/common";
import { assertNever } from "@coltsfootpond/common";
import type {
  Place,
  RackState,
  TaskGroup,
  WorkerState,
} from "./capacity_model.ts";

/** Number of tasks of the gang that may be placed on the worker. */
export type TaskCounter = (worker: WorkerState) => number;

interface CountedWorker {
  readonly worker: WorkerState;
  readonly count: number;
}

/** The workers on which at least one task fits. */
function countWorkers(
  workers: readonly WorkerState[],
  count: TaskCounter,
): CountedWorker[] {
  const counted: CountedWorker[] = [];
  for (const worker of workers) {
    const fitting = count(worker);
    if (fitting > 0) counted.push({ worker, count: fitting });
  }
  return counted;
}

function fillInOrder(counted: readonly CountedWorker[], tasks: number): Place {
  const place: TaskGroup[] = [];
  let rest = tasks;
  for (const { worker, count } of counted) {
    if (rest === 0) break;
    const taken = Math.min(count, rest);
    place.push({ worker, tasks: taken });
    rest -= taken;
  }
  return place;
}

function sumCounts(counted: readonly CountedWorker[]): number {
  return counted.reduce((sum, { count }) => sum + count, 0);
}

/** Workers on which the fewest tasks fit first, so that emptier ones stay free for gangs. */
function compareByCount(left: CountedWorker, right: CountedWorker): number {
  return left.count - right.count;
}

function findInWorkers(
  racks: Iterable<RackState>,
  shape: Shape,
  count: TaskCounter,
): Place[] {
  const places: Place[] = [];
  for (const rack of racks) {
    for (const worker of rack.workers) {
      if (count(worker) >= shape.tasks) {
        places.push([{ worker, tasks: shape.tasks }]);
      }
    }
  }
  return places;
}

function findInRacks(
  racks: Iterable<RackState>,
  shape: Shape,
  count: TaskCounter,
): Place[] {
  const places: Place[] = [];
  for (const rack of racks) {
    const counted = countWorkers(rack.workers, count);
    if (sumCounts(counted) < shape.tasks) continue;
    places.push(fillInOrder(counted.sort(compareByCount), shape.tasks));
  }
  return places;
}

/** Workers with the fewest accelerators first, for tasks that need none. */
function compareByAccelerators(
  left: CountedWorker,
  right: CountedWorker,
): number {
  return left.worker.capacity.accelerators - right.worker.capacity.accelerators;
}

/** One candidate, with tasks on the racks with the least free capacity first. */
function findInDomain(
  racks: Iterable<RackState>,
  shape: Shape,
  count: TaskCounter,
): Place[] {
  const perRack = Array.from(
    racks,
    (rack) => countWorkers(rack.workers, count).sort(compareByCount),
  );
  perRack.sort((left, right) => sumCounts(left) - sumCounts(right));
  const needsNoAccelerators = shape.perTask.accelerators === 0;
  const counted = perRack.flat();
  if (needsNoAccelerators) counted.sort(compareByAccelerators);
  return sumCounts(counted) < shape.tasks
    ? []
    : [fillInOrder(counted, shape.tasks)];
}

/** All candidate places of a gang, in the order of racks and workers; empty if it fits nowhere. */
export function findPlaces(
  racks: Iterable<RackState>,
  shape: Shape,
  count: TaskCounter,
): Place[] {
  if (shape.tasks === 1) return findInWorkers(racks, shape, count);
  switch (shape.adjacency) {
    case ADJACENCY.WORKER:
      return findInWorkers(racks, shape, count);
    case ADJACENCY.RACK:
      return findInRacks(racks, shape, count);
    case ADJACENCY.FAILURE_DOMAIN:
      return findInDomain(racks, shape, count);
    default:
      return assertNever(shape.adjacency);
  }
}
