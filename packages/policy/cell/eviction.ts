/**
 * Which running units make room for a waiting one at the least cost: worker by worker, the
 * cheapest next task is made to fit until all fit. A gang among the victims is paid for once.
 */
import type { RackName, WorkerName } from "@coltsfootpond/common";
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

/** A unit that runs. */
export interface RunningUnit<Unit> {
  readonly unit: Unit;
  readonly step: StepSpec;
  readonly stepKey: string;
  readonly workers: readonly WorkerName[];
  readonly isEvictable: boolean;
  /** What its stop costs, in worth: work thrown away, and the job's worth if it becomes late. */
  readonly evictionCost: number;
}

/** Units to stop, and the workers whose room is meant for the waiting unit. */
export interface EvictionPlan<Unit> {
  readonly victims: readonly RunningUnit<Unit>[];
  readonly workers: ReadonlySet<WorkerName>;
  readonly cost: number;
}

interface Trial<Unit> {
  readonly rooms: ReadonlyMap<WorkerName, WorkerCapacity>;
  readonly victims: Set<RunningUnit<Unit>>;
  readonly workers: Set<WorkerName>;
  cost: number;
}

/** The cheapest plan within one rack, or over all workers where the tasks may spread. */
export function planEviction<Unit>(
  rooms: readonly WorkerCapacity[],
  request: FitRequest,
  running: readonly RunningUnit<Unit>[],
  options: { readonly allowRemote: boolean },
): EvictionPlan<Unit> | undefined {
  const eligible = rooms.filter(({ view }) => isEligible(view, request));
  const { isGang, isRackBound, dataRack } = request.step;
  const isBound = isGang && isRackBound && request.count > 1 &&
    !options.allowRemote;
  const isLocal = dataRack !== undefined && !options.allowRemote;
  const groups = isBound || isLocal
    ? groupByRack(eligible, isLocal ? dataRack : undefined)
    : [eligible];
  const plans = groups.flatMap((group) =>
    planWithin(group, request, running) ?? []
  );
  return plans.reduce<EvictionPlan<Unit> | undefined>(
    (best, plan) => best === undefined || plan.cost < best.cost ? plan : best,
    undefined,
  );
}

function groupByRack(
  rooms: readonly WorkerCapacity[],
  onlyRack: RackName | undefined,
): readonly (readonly WorkerCapacity[])[] {
  const racks = new Map<RackName, WorkerCapacity[]>();
  for (const room of rooms) {
    const { rack } = room.view;
    if (onlyRack !== undefined && rack !== onlyRack) continue;
    racks.set(rack, [...racks.get(rack) ?? [], room]);
  }
  return [...racks.values()];
}

function planWithin<Unit>(
  group: readonly WorkerCapacity[],
  request: FitRequest,
  running: readonly RunningUnit<Unit>[],
): EvictionPlan<Unit> | undefined {
  const trial: Trial<Unit> = {
    rooms: new Map(group.map((room) => [room.view.worker, {
      ...room,
      free: addCellResources(room.free, room.view.releasing),
      tasksByStep: new Map(room.tasksByStep),
    }])),
    victims: new Set(),
    workers: new Set(),
    cost: 0,
  };
  const byWorker = indexByWorker(running);
  for (let task = 0; task < request.count; task++) {
    const next = findCheapest(trial, request, byWorker);
    if (next === undefined) return undefined;
    next.victims.forEach((victim) => evict(trial, victim));
    trial.cost += next.cost;
    trial.workers.add(next.room.view.worker);
    next.room.free = subtractCellResources(
      next.room.free,
      getCountedNeed(request.step),
    );
    const tasks = next.room.tasksByStep.get(request.stepKey) ?? 0;
    next.room.tasksByStep.set(request.stepKey, tasks + 1);
  }
  return {
    victims: [...trial.victims],
    workers: trial.workers,
    cost: trial.cost,
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
  readonly room: WorkerCapacity;
  readonly victims: readonly RunningUnit<Unit>[];
  readonly cost: number;
}

/** The worker on which one more task fits at the least cost. */
function findCheapest<Unit>(
  trial: Trial<Unit>,
  request: FitRequest,
  byWorker: ReadonlyMap<WorkerName, readonly RunningUnit<Unit>[]>,
): Candidate<Unit> | undefined {
  let best: Candidate<Unit> | undefined;
  for (const room of trial.rooms.values()) {
    const units = byWorker.get(room.view.worker) ?? [];
    const candidate = clearRoom(trial, room, request, units);
    if (candidate === undefined) continue;
    if (best === undefined || candidate.cost < best.cost) best = candidate;
    if (best.cost === 0) return best;
  }
  return best;
}

function clearRoom<Unit>(
  trial: Trial<Unit>,
  room: WorkerCapacity,
  request: FitRequest,
  units: readonly RunningUnit<Unit>[],
): Candidate<Unit> | undefined {
  const scratch: WorkerCapacity = { ...room };
  const victims: RunningUnit<Unit>[] = [];
  let cost = 0;
  if (countFitting(scratch, request) > 0) return { room, victims, cost };
  for (const unit of units) {
    if (trial.victims.has(unit)) continue;
    scratch.free = addCellResources(
      scratch.free,
      heldOn(unit, room.view.worker),
    );
    victims.push(unit);
    cost += unit.evictionCost;
    if (countFitting(scratch, request) > 0) return { room, victims, cost };
  }
  return undefined;
}

function heldOn<Unit>(unit: RunningUnit<Unit>, worker: WorkerName) {
  const need = getCountedNeed(unit.step);
  const tasks = unit.workers.filter((other) => other === worker).length;
  return {
    cpuMilli: need.cpuMilli * tasks,
    memoryMib: need.memoryMib * tasks,
    accelerators: need.accelerators * tasks,
  };
}

function evict<Unit>(trial: Trial<Unit>, unit: RunningUnit<Unit>): void {
  trial.victims.add(unit);
  for (const worker of new Set(unit.workers)) {
    const room = trial.rooms.get(worker);
    if (room !== undefined) {
      room.free = addCellResources(room.free, heldOn(unit, worker));
    }
  }
}
