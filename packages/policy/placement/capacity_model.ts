/**
 * Capacity of one failure domain: workers in racks, and what is taken of each. Every change is
 * made at the workers that it touches; nothing is recounted.
 */
import type {
  JobId,
  RackName,
  Resources,
  WorkerName,
} from "@coltsfootpond/common";
import type { EngineWorker } from "../types.ts";
import {
  addScaled,
  countFitting,
  createEmptyResources,
  type MutableResources,
} from "./resources.ts";

/** One worker and what is taken of it. */
export interface WorkerState {
  readonly name: WorkerName;
  readonly rack: RackState;
  capacity: Resources;
  /** Taken by placed tasks, from the moment of the decision. */
  readonly used: MutableResources;
  /** Promised to gangs that wait for evicted work to go. */
  readonly claimed: MutableResources;
  /** Set aside by the guarantee plan, taken up or not. */
  readonly reserved: MutableResources;
  /** Taken by pinned work outside the guarantee plan. */
  readonly pinned: MutableResources;
  up: boolean;
  /** Kept free of ordinary work because it failed too often. */
  quarantined: boolean;
  /** Kept free of new work until then, after it refused some. */
  avoidUntilMs: number;
  /** Kept free of single tasks until then, after compaction emptied it. */
  noSingleTasksUntilMs: number;
  /** Tasks of each placed job here. */
  readonly tasks: Map<JobId, number>;
}

export interface RackState {
  readonly name: RackName;
  readonly workers: WorkerState[];
}

/** `tasks` tasks of one gang on one worker. */
export interface TaskGroup {
  readonly worker: WorkerState;
  readonly tasks: number;
}

/** Where a whole gang goes. */
export type Place = readonly TaskGroup[];

/** The accounts of a worker that a place can be entered in. */
export type UsageKind = "used" | "claimed" | "reserved" | "pinned";

const NO_ROOM: Resources = createEmptyResources();

/** Whether new work and reservations may use the worker. */
export function isUsable(worker: WorkerState): boolean {
  return worker.up && !worker.quarantined;
}

/** What running and promised tasks leave. May be negative while work is evicted. */
export function getFreeCapacity(worker: WorkerState): Resources {
  const { capacity, used, claimed } = worker;
  return {
    milliprocessors: capacity.milliprocessors - used.milliprocessors -
      claimed.milliprocessors,
    memoryMib: capacity.memoryMib - used.memoryMib - claimed.memoryMib,
    accelerators: capacity.accelerators - used.accelerators -
      claimed.accelerators,
  };
}

/** What neither the guarantee plan nor pinned work takes. */
export function getUnreservedCapacity(worker: WorkerState): Resources {
  if (!isUsable(worker)) return NO_ROOM;
  const { capacity, reserved, pinned } = worker;
  return {
    milliprocessors: capacity.milliprocessors - reserved.milliprocessors -
      pinned.milliprocessors,
    memoryMib: capacity.memoryMib - reserved.memoryMib - pinned.memoryMib,
    accelerators: capacity.accelerators - reserved.accelerators -
      pinned.accelerators,
  };
}

export function countFree(worker: WorkerState, perTask: Resources): number {
  return isUsable(worker) ? countFitting(getFreeCapacity(worker), perTask) : 0;
}

export function countUnreserved(
  worker: WorkerState,
  perTask: Resources,
): number {
  return countFitting(getUnreservedCapacity(worker), perTask);
}

export class CapacityModel {
  readonly #workers = new Map<WorkerName, WorkerState>();
  readonly #racks = new Map<RackName, RackState>();
  readonly #total = createEmptyResources();
  readonly #onChange: (worker: WorkerState) => void;

  private constructor(onChange: (worker: WorkerState) => void) {
    this.#onChange = onChange;
  }

  /** `onChange` is called after each change of what a worker has free. */
  static create(
    options: { readonly onChange: (worker: WorkerState) => void },
  ): CapacityModel {
    return new CapacityModel(options.onChange);
  }

  get workers(): Iterable<WorkerState> {
    return this.#workers.values();
  }

  get racks(): Iterable<RackState> {
    return this.#racks.values();
  }

  get workerCount(): number {
    return this.#workers.size;
  }

  /** Capacity of the workers that are up. */
  get total(): Resources {
    return this.#total;
  }

  get(name: WorkerName): WorkerState | undefined {
    return this.#workers.get(name);
  }

  bringUp(worker: EngineWorker): WorkerState {
    const state = this.#workers.get(worker.name) ?? this.#add(worker);
    if (state.up) addScaled(this.#total, state.capacity, -1);
    state.capacity = worker.resources;
    state.up = true;
    addScaled(this.#total, state.capacity, 1);
    this.#onChange(state);
    return state;
  }

  /** Tasks on it stay counted until their attempts end. */
  bringDown(name: WorkerName): WorkerState | undefined {
    const state = this.#workers.get(name);
    if (state === undefined || !state.up) return undefined;
    state.up = false;
    addScaled(this.#total, state.capacity, -1);
    this.#onChange(state);
    return state;
  }

  setQuarantined(worker: WorkerState, quarantined: boolean): void {
    worker.quarantined = quarantined;
    this.#onChange(worker);
  }

  /** Enters a place in an account, or with `sign` -1 takes it out again. */
  adjustUsage(
    place: Place,
    perTask: Resources,
    account: UsageKind,
    sign: 1 | -1,
  ): void {
    for (const { worker, tasks } of place) {
      addScaled(worker[account], perTask, tasks * sign);
      if (account === "used" || account === "claimed") this.#onChange(worker);
    }
  }

  #add(worker: EngineWorker): WorkerState {
    let rack = this.#racks.get(worker.rack);
    if (rack === undefined) {
      rack = { name: worker.rack, workers: [] };
      this.#racks.set(worker.rack, rack);
    }
    const state: WorkerState = {
      name: worker.name,
      rack,
      capacity: createEmptyResources(),
      used: createEmptyResources(),
      claimed: createEmptyResources(),
      reserved: createEmptyResources(),
      pinned: createEmptyResources(),
      up: false,
      quarantined: false,
      avoidUntilMs: 0,
      noSingleTasksUntilMs: 0,
      tasks: new Map(),
    };
    this.#workers.set(worker.name, state);
    rack.workers.push(state);
    return state;
  }
}
