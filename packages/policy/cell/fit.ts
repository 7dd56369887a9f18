/** Finds workers for the tasks of one unit: for all of them, or for none. */
import type { RackName, ServiceName, WorkerName } from "@coltsfootpond/common";
import { listSpeedGroups, type SpeedRequest } from "./speeds/speed_fit.ts";
import type { CellResources, StepSpec, WorkerView } from "./types.ts";

/** Free capacity of one worker during a planning round; each placement is subtracted from it. */
export interface WorkerCapacity {
  readonly view: WorkerView;
  free: CellResources;
  /** Number of tasks by step key, including those placed in this round. */
  readonly tasksByStep: Map<string, number>;
}

/** The tasks of one unit, which must be placed together. */
export interface FitRequest extends SpeedRequest {
  readonly service: ServiceName;
  readonly step: StepSpec;
  /** `{job}.{occurrence}.{step}`; key of `tasksByStep`. */
  readonly stepKey: string;
  readonly count: number;
  /** Workers on which a run of these tasks has failed. */
  readonly avoid: ReadonlySet<WorkerName>;
}

/**
 * One worker per task. `isRemote`: the run is spread over racks or is in another rack than its
 * data, and is therefore slower by the remote factor (see `StepSpec`).
 */
export interface Fit {
  readonly capacities: readonly WorkerCapacity[];
  readonly isRemote: boolean;
}

/** Copies a worker's free capacity at the start of a round. */
export function createWorkerCapacity(view: WorkerView): WorkerCapacity {
  return { view, free: view.free, tasksByStep: new Map(view.tasksByStep) };
}

/**
 * Resources that a task takes from the free capacity of its worker. The processor time of a filler
 * step (`isFiller`) is not counted, since its tasks use only what other tasks leave.
 */
export function getCountedNeed(step: StepSpec): CellResources {
  return step.isFiller ? { ...step.need, cpuMilli: 0 } : step.need;
}

export function subtractCellResources(
  left: CellResources,
  right: CellResources,
): CellResources {
  return {
    cpuMilli: left.cpuMilli - right.cpuMilli,
    memoryMib: left.memoryMib - right.memoryMib,
    accelerators: left.accelerators - right.accelerators,
  };
}

export function addCellResources(
  left: CellResources,
  right: CellResources,
): CellResources {
  return {
    cpuMilli: left.cpuMilli + right.cpuMilli,
    memoryMib: left.memoryMib + right.memoryMib,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** The largest capacity of each resource that one of the workers has; undefined without workers. */
export function findLargestCapacity(
  workers: readonly Pick<WorkerView, "capacity">[],
): CellResources | undefined {
  return workers.map(({ capacity }) => capacity).reduce<
    CellResources | undefined
  >((largest, capacity) => ({
    cpuMilli: Math.max(largest?.cpuMilli ?? 0, capacity.cpuMilli),
    memoryMib: Math.max(largest?.memoryMib ?? 0, capacity.memoryMib),
    accelerators: Math.max(largest?.accelerators ?? 0, capacity.accelerators),
  }), undefined);
}

/** Whether the free capacity is enough for the need in every resource. */
export function coversNeed(
  capacity: CellResources,
  need: CellResources,
): boolean {
  return capacity.cpuMilli >= need.cpuMilli &&
    capacity.memoryMib >= need.memoryMib &&
    capacity.accelerators >= need.accelerators;
}

/**
 * How many more tasks of the request fit on a worker, up to the request's count and the step's
 * `maximumPerWorker`.
 */
export function countFitting(
  { free, tasksByStep }: WorkerCapacity,
  { step, stepKey, count }: FitRequest,
): number {
  const need = getCountedNeed(step);
  const fitting = Math.min(
    count,
    countWhole(free.cpuMilli, need.cpuMilli),
    countWhole(free.memoryMib, need.memoryMib),
    countWhole(free.accelerators, need.accelerators),
  );
  const limit = step.maximumPerWorker;
  if (limit === undefined) return fitting;
  return Math.min(fitting, limit - (tasksByStep.get(stepKey) ?? 0));
}

function countWhole(available: number, needed: number): number {
  if (needed <= 0) return Number.POSITIVE_INFINITY;
  return Math.floor(Math.max(0, available) / needed);
}

/** Whether a worker may run the step at all, whatever its free capacity. */
export function isEligible(view: WorkerView, request: FitRequest): boolean {
  const { step, service, avoid } = request;
  return view.service === service && !avoid.has(view.worker) &&
    (step.requiredLabel === undefined || view.labels.has(step.requiredLabel));
}

/** A worker on which tasks of the request fit, and how many do. */
interface FittingWorker {
  readonly capacity: WorkerCapacity;
  readonly fitting: number;
}

/**
 * Sorts the least slow workers first; then those of the lowest speed, as the caller leaves out
 * workers that are too slow; then those in the rack with the fewest free accelerators, then those
 * with the least free capacity, so that whole workers and racks stay free for tasks and gangs that
 * need them.
 */
function sortByPreference(
  workers: readonly FittingWorker[],
  freeByRack: ReadonlyMap<RackName, number>,
): readonly FittingWorker[] {
  const getRackFree = ({ view }: WorkerCapacity) =>
    freeByRack.get(view.rack) ?? 0;
  return [...workers].sort(({ capacity: left }, { capacity: right }) =>
    left.view.slowness - right.view.slowness ||
    left.view.speed - right.view.speed ||
    getRackFree(left) - getRackFree(right) ||
    left.free.accelerators - right.free.accelerators ||
    left.free.cpuMilli - right.free.cpuMilli ||
    (left.view.worker < right.view.worker ? -1 : 1)
  );
}

/** Assigns tasks to workers in order of preference; undefined if not all fit. */
function fillGreedily(
  capacities: readonly WorkerCapacity[],
  request: FitRequest,
): readonly WorkerCapacity[] | undefined {
  const workers: FittingWorker[] = [];
  let total = 0;
  for (const capacity of capacities) {
    const fitting = countFitting(capacity, request);
    if (fitting <= 0) continue;
    workers.push({ capacity, fitting });
    total += fitting;
  }
  // Most requests of a full cell fail here, before the costly sort.
  if (total < request.count) return undefined;
  const chosen: WorkerCapacity[] = [];
  const freeByRack = sumFreeAcceleratorsByRack(capacities);
  for (const { capacity, fitting } of sortByPreference(workers, freeByRack)) {
    const taken = Math.min(fitting, request.count - chosen.length);
    for (let task = 0; task < taken; task++) chosen.push(capacity);
    if (chosen.length === request.count) break;
  }
  return chosen;
}

function sumFreeAcceleratorsByRack(
  capacities: readonly WorkerCapacity[],
): ReadonlyMap<RackName, number> {
  const sums = new Map<RackName, number>();
  for (const { view, free } of capacities) {
    sums.set(view.rack, (sums.get(view.rack) ?? 0) + free.accelerators);
  }
  return sums;
}

function groupByRack(
  capacities: readonly WorkerCapacity[],
): Map<RackName, WorkerCapacity[]> {
  const racks = new Map<RackName, WorkerCapacity[]>();
  for (const capacity of capacities) {
    const rack = racks.get(capacity.view.rack);
    if (rack === undefined) racks.set(capacity.view.rack, [capacity]);
    else rack.push(capacity);
  }
  return racks;
}

function sumFreeAccelerators(
  capacities: readonly WorkerCapacity[],
): number {
  return capacities.reduce((sum, { free }) => sum + free.accelerators, 0);
}

/** Racks in the order they are tried: the rack of the data, then by fewest free accelerators. */
function orderRacks(
  capacities: readonly WorkerCapacity[],
  dataRack: RackName | undefined,
): readonly (readonly WorkerCapacity[])[] {
  return [...groupByRack(capacities)].map(([rack, members]) => ({
    members,
    hasData: rack === dataRack,
    free: sumFreeAccelerators(members),
  })).sort((left, right) =>
    Number(right.hasData) - Number(left.hasData) || left.free - right.free
  ).map(({ members }) => members);
}

/** Whether some rack holds all tasks of the request; cheaper than trying each rack in order. */
function fitsInOneRack(
  capacities: readonly WorkerCapacity[],
  request: FitRequest,
): boolean {
  const fittingByRack = new Map<RackName, number>();
  for (const capacity of capacities) {
    const fitting = countFitting(capacity, request);
    if (fitting <= 0) continue;
    const { rack } = capacity.view;
    const total = (fittingByRack.get(rack) ?? 0) + fitting;
    if (total >= request.count) return true;
    fittingByRack.set(rack, total);
  }
  return false;
}

/**
 * Finds workers for all tasks of the request, or returns undefined. A rack-bound gang is placed in
 * one rack, and tasks whose step names a data rack are placed there. With `allowRemote`, the gang
 * may be spread over racks, and the tasks may be placed outside their data rack, if there is no
 * better fit. Callers allow this for jobs that are late or have waited long. Workers of unequal
 * speed are tried in groups (see `listSpeedGroups`).
 */
export function findFit(
  capacities: readonly WorkerCapacity[],
  request: FitRequest,
  options: { readonly allowRemote: boolean },
): Fit | undefined {
  const eligible = capacities.filter(({ view }) => isEligible(view, request));
  // Most requests of a full cell fail here, before the groups are tried.
  const anyFit = findFitAmong(eligible, request, options);
  if (anyFit === undefined) return undefined;
  const groups = listSpeedGroups(eligible, request);
  if (groups.length === 1) return anyFit;
  // A remote run on the fastest workers takes longer than another one on slow workers.
  const allowRemote = anyFit.isRemote;
  for (const group of groups) {
    const fit = findFitAmong(group, request, { allowRemote });
    if (fit !== undefined) return fit;
  }
  return anyFit;
}

function findFitAmong(
  eligible: readonly WorkerCapacity[],
  request: FitRequest,
  options: { readonly allowRemote: boolean },
): Fit | undefined {
  const { dataRack, isRackBound, isGang } = request.step;
  const mustShareRack = isRackBound && isGang && request.count > 1;
  if (!mustShareRack && dataRack === undefined) {
    const chosen = fillGreedily(eligible, request);
    return chosen && { capacities: chosen, isRemote: false };
  }
  const canFit = !mustShareRack || fitsInOneRack(eligible, request);
  for (const rack of canFit ? orderRacks(eligible, dataRack) : []) {
    const isNearData = dataRack === undefined ||
      rack[0]?.view.rack === dataRack;
    if (!isNearData && (!mustShareRack || !options.allowRemote)) continue;
    const chosen = fillGreedily(rack, request);
    if (chosen !== undefined) {
      return { capacities: chosen, isRemote: !isNearData };
    }
  }
  if (!options.allowRemote) return undefined;
  const chosen = fillGreedily(eligible, request);
  return chosen && { capacities: chosen, isRemote: true };
}

/** Subtracts the resources of a fit from the free capacity of its workers. */
export function subtractFit(fit: Fit, request: FitRequest): void {
  const need = getCountedNeed(request.step);
  for (const capacity of fit.capacities) {
    capacity.free = subtractCellResources(capacity.free, need);
    const tasks = capacity.tasksByStep.get(request.stepKey) ?? 0;
    capacity.tasksByStep.set(request.stepKey, tasks + 1);
  }
}

/** Undoes `subtractFit`. */
export function restoreFit(fit: Fit, request: FitRequest): void {
  const need = getCountedNeed(request.step);
  for (const capacity of fit.capacities) {
    capacity.free = addCellResources(capacity.free, need);
    const tasks = capacity.tasksByStep.get(request.stepKey) ?? 0;
    capacity.tasksByStep.set(request.stepKey, tasks - 1);
  }
}
