/** Finds workers for the tasks of one unit: for all of them, or for none. */
import type { RackName, ServiceName, WorkerName } from "@coltsfootpond/common";
import type { CellResources, StepSpec, WorkerView } from "./types.ts";

/** Free capacity of one worker during a planning round; each placement is subtracted from it. */
export interface WorkerCapacity {
  readonly view: WorkerView;
  free: CellResources;
  /** Number of tasks by step key, including those placed in this round. */
  readonly tasksByStep: Map<string, number>;
}

/** The tasks of one unit, which must be placed together. */
export interface FitRequest {
  readonly service: ServiceName;
  readonly step: StepSpec;
  /** `{job}.{occurrence}.{step}`, for spread limits. */
  readonly stepKey: string;
  readonly count: number;
  /** Workers on which a run of these tasks has failed. */
  readonly avoid: ReadonlySet<WorkerName>;
}

/**
 * One worker per task. `isRemote`: the run is slower by the remote factor, because it is spread
 * over racks or is in another rack than its data.
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
 * Resources that a task is counted with on a worker. The processor time of a filler is not counted,
 * since it uses only what other tasks leave.
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

/** Whether the free capacity is enough for the need in every resource. */
export function coversNeed(
  capacity: CellResources,
  need: CellResources,
): boolean {
  return capacity.cpuMilli >= need.cpuMilli &&
    capacity.memoryMib >= need.memoryMib &&
    capacity.accelerators >= need.accelerators;
}

/** How many more tasks of the request fit on a worker, up to its spread limit. */
export function countFitting(
  capacity: WorkerCapacity,
  request: FitRequest,
): number {
  const { step, stepKey } = request;
  const need = getCountedNeed(step);
  const parts = [
    [capacity.free.cpuMilli, need.cpuMilli],
    [capacity.free.memoryMib, need.memoryMib],
    [capacity.free.accelerators, need.accelerators],
  ] as const;
  const byCapacity = Math.min(
    ...parts.map(([free, part]) =>
      part > 0 ? Math.floor(Math.max(0, free) / part) : request.count
    ),
  );
  const limit = step.maximumPerWorker;
  if (limit === undefined) return byCapacity;
  return Math.min(byCapacity, limit - (capacity.tasksByStep.get(stepKey) ?? 0));
}

/** Whether a worker may run the step at all, whatever its free capacity. */
export function isEligible(view: WorkerView, request: FitRequest): boolean {
  const { step, service, avoid } = request;
  return view.service === service && !avoid.has(view.worker) &&
    (step.requiredLabel === undefined || view.labels.has(step.requiredLabel));
}

/**
 * Sorts the least slow workers first; then by the fullest rack and the fullest worker, so that
 * whole workers and racks stay free for tasks and gangs that need them.
 */
function sortByPreference(
  capacities: readonly WorkerCapacity[],
): readonly WorkerCapacity[] {
  const freeByRack = new Map(
    [...groupByRack(capacities)].map(([rack, members]) => [
      rack,
      sumFreeAccelerators(members),
    ]),
  );
  const rackFree = ({ view }: WorkerCapacity) => freeByRack.get(view.rack) ?? 0;
  return [...capacities].sort((left, right) =>
    left.view.slowness - right.view.slowness ||
    rackFree(left) - rackFree(right) ||
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
  const chosen: WorkerCapacity[] = [];
  for (const capacity of sortByPreference(capacities)) {
    const fitting = Math.min(
      countFitting(capacity, request),
      request.count - chosen.length,
    );
    for (let taken = 0; taken < fitting; taken++) chosen.push(capacity);
    if (chosen.length === request.count) return chosen;
  }
  return undefined;
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

function sumFreeAccelerators(capacities: readonly WorkerCapacity[]): number {
  return capacities.reduce((sum, { free }) => sum + free.accelerators, 0);
}

/** Racks in the order in which they are tried: the rack of the data first, then the fullest. */
function orderRacks(
  capacities: readonly WorkerCapacity[],
  dataRack: RackName | undefined,
): readonly (readonly WorkerCapacity[])[] {
  return [...groupByRack(capacities)].map(([rack, members]) => ({
    members,
    isData: rack === dataRack,
    free: sumFreeAccelerators(members),
  })).sort((left, right) =>
    Number(right.isData) - Number(left.isData) || left.free - right.free
  ).map(({ members }) => members);
}

/**
 * Finds workers for all tasks of the request, or returns undefined. A rack-bound gang is placed in
 * one rack, and other work in the rack of its data. With `allowRemote` a gang may be spread over
 * racks, and work may start in another rack than its data, if there is no better fit. Callers allow
 * this for jobs that are late or have waited long.
 */
export function findFit(
  capacities: readonly WorkerCapacity[],
  request: FitRequest,
  options: { readonly allowRemote: boolean },
): Fit | undefined {
  const eligible = capacities.filter(({ view }) => isEligible(view, request));
  const { dataRack, isRackBound, isGang } = request.step;
  const mustShareRack = isRackBound && isGang && request.count > 1;
  if (!mustShareRack && dataRack === undefined) {
    const chosen = fillGreedily(eligible, request);
    return chosen && { capacities: chosen, isRemote: false };
  }
  for (const rack of orderRacks(eligible, dataRack)) {
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
