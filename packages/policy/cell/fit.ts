/** Where the tasks of one unit go: all of them on workers with room, or nowhere. */
import type { RackName, ServiceName, WorkerName } from "@coltsfootpond/common";
import type { CellResources, StepSpec, WorkerView } from "./types.ts";

/** Room on one worker during a round; placements are subtracted as they are made. */
export interface WorkerCapacity {
  readonly view: WorkerView;
  free: CellResources;
  /** Tasks by step key, those of this round included. */
  readonly tasksByStep: Map<string, number>;
}

/** The tasks that must be placed together. */
export interface FitRequest {
  readonly service: ServiceName;
  readonly step: StepSpec;
  /** `{job}.{occurrence}.{step}`, for spread limits. */
  readonly stepKey: string;
  readonly count: number;
  /** Workers that a run of these tasks has failed on. */
  readonly avoid: ReadonlySet<WorkerName>;
}

/** A worker per task; `isRemote` when the run is slower by the remote factor. */
export interface Fit {
  readonly rooms: readonly WorkerCapacity[];
  readonly isRemote: boolean;
}

export function createRoom(view: WorkerView): WorkerCapacity {
  return { view, free: view.free, tasksByStep: new Map(view.tasksByStep) };
}

/** What a task takes of a worker: a filler takes no counted processor time. */
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

export function coversNeed(room: CellResources, need: CellResources): boolean {
  return room.cpuMilli >= need.cpuMilli && room.memoryMib >= need.memoryMib &&
    room.accelerators >= need.accelerators;
}

/** How many more tasks of the step a worker can take. */
export function countFitting(
  room: WorkerCapacity,
  request: FitRequest,
): number {
  const { step, stepKey } = request;
  const need = getCountedNeed(step);
  const parts = [
    [room.free.cpuMilli, need.cpuMilli],
    [room.free.memoryMib, need.memoryMib],
    [room.free.accelerators, need.accelerators],
  ] as const;
  const byRoom = Math.min(
    ...parts.map(([free, part]) =>
      part > 0 ? Math.floor(Math.max(0, free) / part) : request.count
    ),
  );
  const limit = step.maximumPerWorker;
  if (limit === undefined) return byRoom;
  return Math.min(byRoom, limit - (room.tasksByStep.get(stepKey) ?? 0));
}

/** Whether a worker may run the step at all, room aside. */
export function isEligible(view: WorkerView, request: FitRequest): boolean {
  const { step, service, avoid } = request;
  return view.service === service && !avoid.has(view.worker) &&
    (step.requiredLabel === undefined || view.labels.has(step.requiredLabel));
}

/**
 * Sound workers before slow ones; then the fullest rack and the tightest worker, so that whole
 * workers and whole racks stay free for tasks and gangs that need them.
 */
function sortRooms(
  rooms: readonly WorkerCapacity[],
): readonly WorkerCapacity[] {
  const freeByRack = new Map(
    [...groupByRack(rooms)].map(([rack, members]) => [
      rack,
      sumFreeAccelerators(members),
    ]),
  );
  const rackFree = ({ view }: WorkerCapacity) => freeByRack.get(view.rack) ?? 0;
  return [...rooms].sort((left, right) =>
    left.view.slowness - right.view.slowness ||
    rackFree(left) - rackFree(right) ||
    left.free.accelerators - right.free.accelerators ||
    left.free.cpuMilli - right.free.cpuMilli ||
    (left.view.worker < right.view.worker ? -1 : 1)
  );
}

function fillGreedily(
  rooms: readonly WorkerCapacity[],
  request: FitRequest,
): readonly WorkerCapacity[] | undefined {
  const chosen: WorkerCapacity[] = [];
  for (const room of sortRooms(rooms)) {
    const fitting = Math.min(
      countFitting(room, request),
      request.count - chosen.length,
    );
    for (let taken = 0; taken < fitting; taken++) chosen.push(room);
    if (chosen.length === request.count) return chosen;
  }
  return undefined;
}

function groupByRack(
  rooms: readonly WorkerCapacity[],
): Map<RackName, WorkerCapacity[]> {
  const racks = new Map<RackName, WorkerCapacity[]>();
  for (const room of rooms) {
    const rack = racks.get(room.view.rack);
    if (rack === undefined) racks.set(room.view.rack, [room]);
    else rack.push(room);
  }
  return racks;
}

function sumFreeAccelerators(rooms: readonly WorkerCapacity[]): number {
  return rooms.reduce((sum, { free }) => sum + free.accelerators, 0);
}

/** Racks in the order in which they are tried: the data's, then the fullest. */
function orderRacks(
  rooms: readonly WorkerCapacity[],
  dataRack: RackName | undefined,
): readonly (readonly WorkerCapacity[])[] {
  return [...groupByRack(rooms)].map(([rack, members]) => ({
    members,
    isData: rack === dataRack,
    free: sumFreeAccelerators(members),
  })).sort((left, right) =>
    Number(right.isData) - Number(left.isData) || left.free - right.free
  ).map(({ members }) => members);
}

/**
 * Finds workers for all tasks of the request, or undefined. Rack-bound gangs take one rack; where
 * no rack can hold one even when empty, they spread. Other work prefers the rack of its data.
 */
export function findFit(
  rooms: readonly WorkerCapacity[],
  request: FitRequest,
  options: { readonly allowRemote: boolean },
): Fit | undefined {
  const eligible = rooms.filter(({ view }) => isEligible(view, request));
  const { dataRack, isRackBound, isGang } = request.step;
  const isBound = isRackBound && isGang && request.count > 1;
  if (!isBound && dataRack === undefined) {
    const chosen = fillGreedily(eligible, request);
    return chosen && { rooms: chosen, isRemote: false };
  }
  for (const rack of orderRacks(eligible, dataRack)) {
    const isNearData = dataRack === undefined ||
      rack[0]?.view.rack === dataRack;
    if (!isNearData && (!isBound || !options.allowRemote)) continue;
    const chosen = fillGreedily(rack, request);
    if (chosen !== undefined) return { rooms: chosen, isRemote: !isNearData };
  }
  if (!options.allowRemote) return undefined;
  const chosen = fillGreedily(eligible, request);
  return chosen && { rooms: chosen, isRemote: true };
}

/** Takes the room of a fit. */
export function takeRoom(fit: Fit, request: FitRequest): void {
  const need = getCountedNeed(request.step);
  for (const room of fit.rooms) {
    room.free = subtractCellResources(room.free, need);
    const tasks = room.tasksByStep.get(request.stepKey) ?? 0;
    room.tasksByStep.set(request.stepKey, tasks + 1);
  }
}
