/**
 * Chooses the running units to evict so that a waiting unit fits, at the least cost. Greedy: places
 * one task at a time on the worker where it costs least. A gang among the victims is counted once.
 */
import type {
  OrganisationName,
  RackName,
  WorkerName,
} from "@coltsfootpond/common";
import {
  addCellResources,
  countFitting,
  type FitRequest,
  getCountedNeed,
  isEligible,
  subtractCellResources,
  type WorkerCapacity,
} from "./fit.ts";
import type { StepSpec } from "./types.ts";

/** A running unit: a gang or a single task. */
export interface RunningUnit<Unit> {
  readonly unit: Unit;
  /** Undefined on public queues. */
  readonly organisation: OrganisationName | undefined;
  readonly step: StepSpec;
  readonly stepKey: string;
  readonly workers: readonly WorkerName[];
  readonly isEvictable: boolean;
  /** Whether it is being stopped, or ends because one of its tasks ended; default false. */
  readonly isClosing?: boolean;
  /** Cost of stopping it, in job value: lost work, and the value that the job loses by lateness. */
  readonly evictionCost: number;
}

/** Units to evict, the workers on which the waiting unit is to start, and the total cost. */
export interface EvictionPlan<Unit> {
  readonly victims: readonly RunningUnit<Unit>[];
  readonly workers: ReadonlySet<WorkerName>;
  readonly cost: number;
}

/** Working state of one search: capacities after the choices made so far. */
interface EvictionSearch<Unit> {
  readonly capacities: ReadonlyMap<WorkerName, WorkerCapacity>;
  readonly victims: Set<RunningUnit<Unit>>;
  readonly workers: Set<WorkerName>;
  cost: number;
}

/**
 * Returns the cheapest plan within one rack, or over all workers if the tasks may be spread over
 * racks; undefined if evicting units does not make the request fit.
 */
export function planEviction<Unit>(
  capacities: readonly WorkerCapacity[],
  request: FitRequest,
  running: readonly RunningUnit<Unit>[],
  options: { readonly allowRemote: boolean },
): EvictionPlan<Unit> | undefined {
  const eligible = capacities.filter(({ view }) => isEligible(view, request));
  const { isGang, isRackBound, dataRack } = request.step;
  const mustShareRack = isGang && isRackBound && request.count > 1 &&
    !options.allowRemote;
  const mustUseDataRack = dataRack !== undefined && !options.allowRemote;
  const groups = mustShareRack || mustUseDataRack
    ? groupByRack(eligible, mustUseDataRack ? dataRack : undefined)
    : [eligible];
  const byWorker = indexByWorker(running);
  const plans = groups.flatMap((group) =>
    planInGroup(group, request, byWorker) ?? []
  );
  return plans.reduce<EvictionPlan<Unit> | undefined>(
    (best, plan) => best === undefined || plan.cost < best.cost ? plan : best,
    undefined,
  );
}

function groupByRack(
  capacities: readonly WorkerCapacity[],
  onlyRack: RackName | undefined,
): readonly (readonly WorkerCapacity[])[] {
  const racks = new Map<RackName, WorkerCapacity[]>();
  for (const capacity of capacities) {
    const { rack } = capacity.view;
    if (onlyRack !== undefined && rack !== onlyRack) continue;
    racks.set(rack, [...racks.get(rack) ?? [], capacity]);
  }
  return [...racks.values()];
}

function planInGroup<Unit>(
  group: readonly WorkerCapacity[],
  request: FitRequest,
  byWorker: ReadonlyMap<WorkerName, readonly RunningUnit<Unit>[]>,
): EvictionPlan<Unit> | undefined {
  const search: EvictionSearch<Unit> = {
    capacities: new Map(group.map((capacity) => [capacity.view.worker, {
      ...capacity,
      free: addCellResources(capacity.free, capacity.view.releasing),
      tasksByStep: new Map(capacity.tasksByStep),
    }])),
    victims: new Set(),
    workers: new Set(),
    cost: 0,
  };
  for (let task = 0; task < request.count; task++) {
    const next = findCheapest(search, request, byWorker);
    if (next === undefined) return undefined;
    next.victims.forEach((victim) => evict(search, victim));
    search.cost += next.cost;
    search.workers.add(next.capacity.view.worker);
    next.capacity.free = subtractCellResources(
      next.capacity.free,
      getCountedNeed(request.step),
    );
    const tasks = next.capacity.tasksByStep.get(request.stepKey) ?? 0;
    next.capacity.tasksByStep.set(request.stepKey, tasks + 1);
  }
  return {
    victims: [...search.victims],
    workers: search.workers,
    cost: search.cost,
  };
}

function indexByWorker<Unit>(
  running: readonly RunningUnit<Unit>[],
): ReadonlyMap<WorkerName, readonly RunningUnit<Unit>[]> {
  const index = new Map<WorkerName, RunningUnit<Unit>[]>();
  for (const unit of running) {
    if (!unit.isEvictable) continue;
    for (const worker of new Set(unit.workers)) {
      const units = index.get(worker);
      if (units === undefined) index.set(worker, [unit]);
      else units.push(unit);
    }
  }
  for (const units of index.values()) {
    units.sort((left, right) => left.evictionCost - right.evictionCost);
  }
  return index;
}

interface Candidate<Unit> {
  readonly capacity: WorkerCapacity;
  readonly victims: readonly RunningUnit<Unit>[];
  readonly cost: number;
}

/** Finds the worker on which one more task fits at the least cost. */
function findCheapest<Unit>(
  search: EvictionSearch<Unit>,
  request: FitRequest,
  byWorker: ReadonlyMap<WorkerName, readonly RunningUnit<Unit>[]>,
): Candidate<Unit> | undefined {
  let best: Candidate<Unit> | undefined;
  for (const capacity of search.capacities.values()) {
    const units = byWorker.get(capacity.view.worker) ?? [];
    const candidate = chooseVictimsOn(search, capacity, request, units);
    if (candidate === undefined) continue;
    if (best === undefined || candidate.cost < best.cost) best = candidate;
    if (best.cost === 0) return best;
  }
  return best;
}

/** Adds the cheapest victims of one worker until one more task fits there. */
function chooseVictimsOn<Unit>(
  search: EvictionSearch<Unit>,
  capacity: WorkerCapacity,
  request: FitRequest,
  units: readonly RunningUnit<Unit>[],
): Candidate<Unit> | undefined {
  const trialCapacity: WorkerCapacity = { ...capacity };
  const victims: RunningUnit<Unit>[] = [];
  let cost = 0;
  if (countFitting(trialCapacity, request) > 0) {
    return { capacity, victims, cost };
  }
  for (const unit of units) {
    if (search.victims.has(unit)) continue;
    trialCapacity.free = addCellResources(
      trialCapacity.free,
      sumUsageOn(unit, capacity.view.worker),
    );
    victims.push(unit);
    cost += unit.evictionCost;
    if (countFitting(trialCapacity, request) > 0) {
      return { capacity, victims, cost };
    }
  }
  return undefined;
}

/** Resources that the tasks of a unit use on one worker. */
function sumUsageOn<Unit>(unit: RunningUnit<Unit>, worker: WorkerName) {
  const need = getCountedNeed(unit.step);
  const tasks = unit.workers.filter((other) => other === worker).length;
  return {
    cpuMilli: need.cpuMilli * tasks,
    memoryMib: need.memoryMib * tasks,
    accelerators: need.accelerators * tasks,
  };
}

function evict<Unit>(
  search: EvictionSearch<Unit>,
  unit: RunningUnit<Unit>,
): void {
  search.victims.add(unit);
  for (const worker of new Set(unit.workers)) {
    const capacity = search.capacities.get(worker);
    if (capacity !== undefined) {
      capacity.free = addCellResources(capacity.free, sumUsageOn(unit, worker));
    }
  }
}
