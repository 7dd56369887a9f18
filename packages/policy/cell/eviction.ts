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
  coversNeed,
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
  /** Expected time until it ends; undefined where not known. */
  readonly remainingMs?: number;
  /** It was evicted lately, so only guaranteed units may evict it again; default false. */
  readonly isGuarded?: boolean;
}

/** How a waiting unit may be placed, and which running units may be evicted for it. */
export interface EvictionOptions {
  readonly allowRemote: boolean;
  /** Runs that end within this time are waited for instead of evicted; default none. */
  readonly endsWithinMs?: number;
  /** Whether units that were evicted lately may be evicted; default false. */
  readonly mayEvictGuarded?: boolean;
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
}

/**
 * Returns the cheapest plan within one rack, or over all workers if the tasks may be spread over
 * racks; undefined if evicting units does not make the request fit.
 */
export function planEviction<Unit>(
  capacities: readonly WorkerCapacity[],
  request: FitRequest,
  running: readonly RunningUnit<Unit>[],
  options: EvictionOptions,
): EvictionPlan<Unit> | undefined {
  const eligible = capacities.filter(({ view }) => isEligible(view, request));
  const { isGang, isRackBound, dataRack } = request.step;
  const mustShareRack = isGang && isRackBound && request.count > 1 &&
    !options.allowRemote;
  const mustUseDataRack = dataRack !== undefined && !options.allowRemote;
  const groups = mustShareRack || mustUseDataRack
    ? groupByRack(eligible, mustUseDataRack ? dataRack : undefined)
    : [eligible];
  const { endsWithinMs = Number.NEGATIVE_INFINITY, mayEvictGuarded = false } =
    options;
  const isEnding = ({ remainingMs }: RunningUnit<Unit>) =>
    remainingMs !== undefined && remainingMs <= endsWithinMs;
  const ending = running.filter(isEnding);
  const byWorker = indexByWorker(
    running.filter((unit) =>
      unit.isEvictable && !isEnding(unit) &&
      (mayEvictGuarded || unit.isGuarded !== true)
    ),
  );
  const plans = groups.flatMap((group) =>
    planInGroup(group, request, ending, byWorker) ?? []
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
  ending: readonly RunningUnit<Unit>[],
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
  };
  ending.forEach((unit) => release(search, unit));
  for (let task = 0; task < request.count; task++) {
    const next = findCheapest(search, request, byWorker);
    if (next === undefined) return undefined;
    next.victims.forEach((victim) => evict(search, victim));
    search.workers.add(next.capacity.view.worker);
    next.capacity.free = subtractCellResources(
      next.capacity.free,
      getCountedNeed(request.step),
    );
    const tasks = next.capacity.tasksByStep.get(request.stepKey) ?? 0;
    next.capacity.tasksByStep.set(request.stepKey, tasks + 1);
  }
  spareUnneeded(search);
  return {
    victims: [...search.victims],
    workers: search.workers,
    cost: [...search.victims].reduce(
      (sum, { evictionCost }) => sum + evictionCost,
      0,
    ),
  };
}

/**
 * Removes victims whose capacity is not needed, the most expensive first: a gang that was chosen for
 * one worker may free enough on others, for which cheaper units were chosen before.
 */
function spareUnneeded<Unit>(search: EvictionSearch<Unit>): void {
  const victims = [...search.victims].sort((left, right) =>
    right.evictionCost - left.evictionCost
  );
  for (const victim of victims) {
    const freed = [...new Set(victim.workers)].flatMap((worker) => {
      const capacity = search.capacities.get(worker);
      if (capacity === undefined) return [];
      return [{ capacity, usage: sumUsageOn(victim, worker) }];
    });
    if (
      !freed.every(({ capacity, usage }) => coversNeed(capacity.free, usage))
    ) {
      continue;
    }
    for (const { capacity, usage } of freed) {
      capacity.free = subtractCellResources(capacity.free, usage);
    }
    search.victims.delete(victim);
  }
}

function indexByWorker<Unit>(
  running: readonly RunningUnit<Unit>[],
): ReadonlyMap<WorkerName, readonly RunningUnit<Unit>[]> {
  const index = new Map<WorkerName, RunningUnit<Unit>[]>();
  for (const unit of running) {
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

/**
 * Chooses victims on one worker until one more task fits there: the cheapest unit that frees enough
 * alone, or several units in the order of their costs if these cost less together.
 */
function chooseVictimsOn<Unit>(
  search: EvictionSearch<Unit>,
  capacity: WorkerCapacity,
  request: FitRequest,
  units: readonly RunningUnit<Unit>[],
): Candidate<Unit> | undefined {
  if (countFitting(capacity, request) > 0) {
    return { capacity, victims: [], cost: 0 };
  }
  const trialCapacity: WorkerCapacity = { ...capacity };
  const victims: RunningUnit<Unit>[] = [];
  let cost = 0;
  let several: Candidate<Unit> | undefined;
  for (const unit of units) {
    if (search.victims.has(unit)) continue;
    if (several !== undefined && unit.evictionCost >= cost) break;
    const usage = sumUsageOn(unit, capacity.view.worker);
    const free = addCellResources(capacity.free, usage);
    if (countFitting({ ...capacity, free }, request) > 0) {
      return { capacity, victims: [unit], cost: unit.evictionCost };
    }
    if (several !== undefined) continue;
    trialCapacity.free = addCellResources(trialCapacity.free, usage);
    victims.push(unit);
    cost += unit.evictionCost;
    if (countFitting(trialCapacity, request) > 0) {
      several = { capacity, victims, cost };
    }
  }
  return several;
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
  release(search, unit);
}

/** Adds what the unit uses to the free capacity of its workers. */
function release<Unit>(
  search: EvictionSearch<Unit>,
  unit: RunningUnit<Unit>,
): void {
  for (const worker of new Set(unit.workers)) {
    const capacity = search.capacities.get(worker);
    if (capacity !== undefined) {
      capacity.free = addCellResources(capacity.free, sumUsageOn(unit, worker));
    }
  }
}
