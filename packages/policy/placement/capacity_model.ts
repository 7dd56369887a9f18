/**
 * Capacity and usage of the workers of one failure domain. A change updates only the workers that
 * it affects; sums are never recomputed.
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

/** One worker and the usage of its capacity. */
export interface WorkerState {
  readonly name: WorkerName;
  readonly rack: RackState;
  capacity: Resources;
  /** Used by placed tasks, from the time of the decision. */
  readonly used: MutableResources;
  /** Claimed by gangs that wait until evicted work has left. */
  readonly claimed: MutableResources;
  /** Reserved by the reservation plan of the guarantees, whether used or not. */
  readonly reserved: MutableResources;
  /** Used by pinned jobs outside their guarantees. */
  readonly pinned: MutableResources;
  up: boolean;
  /** Gets no work except probes, because too much work failed on it. */
  quarantined: boolean;
  /** Gets no new work until then, because it refused some. */
  avoidUntilMs: number;
  /** Gets no single tasks until then, because compaction emptied it. */
  noSingleTasksUntilMs: number;
  /** Number of tasks on it by placed job. */
  readonly tasks: Map<JobId, number>;
}

/** A rack and its workers. */
export interface RackState {
  readonly name: RackName;
  readonly workers: WorkerState[];
}

/** A number of tasks of one gang on one worker. */
export interface TaskGroup {
  readonly worker: WorkerState;
  readonly tasks: number;
}

/** A place for a whole gang: its workers, with the number of tasks on each. */
export type Place = readonly TaskGroup[];

/** The kinds of usage that a worker counts separately. */
export type UsageKind = "used" | "claimed" | "reserved" | "pinned";

const NO_CAPACITY: Resources = createEmptyResources();

/** Whether new work and reservations may use the worker. */
export function isUsable(worker: WorkerState): boolean {
  return worker.up && !worker.quarantined;
}

/** Capacity that is neither used nor claimed. May be negative while work is being evicted. */
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

/** Capacity that is neither reserved for guarantees nor used by pinned jobs. */
export function getUnreservedCapacity(worker: WorkerState): Resources {
  if (!isUsable(worker)) return NO_CAPACITY;
  const { capacity, reserved, pinned } = worker;
  return {
    milliprocessors: capacity.milliprocessors - reserved.milliprocessors -
      pinned.milliprocessors,
    memoryMib: capacity.memoryMib - reserved.memoryMib - pinned.memoryMib,
    accelerators: capacity.accelerators - reserved.accelerators -
      pinned.accelerators,
  };
}

/** Number of tasks that fit into the free capacity of a usable worker. */
export function countFree(worker: WorkerState, perTask: Resources): number {
  return isUsable(worker) ? countFitting(getFreeCapacity(worker), perTask) : 0;
}

/** Number of tasks that fit into the unreserved capacity of a usable worker. */
export function countUnreserved(
  worker: WorkerState,
  perTask: Resources,
): number {
  return countFitting(getUnreservedCapacity(worker), perTask);
}

/** All workers of one failure domain, by name and by rack. */
export class CapacityModel {
  readonly #workers = new Map<WorkerName, WorkerState>();
  readonly #racks = new Map<RackName, RackState>();
  readonly #total = createEmptyResources();
  readonly #onChange: (worker: WorkerState) => void;

  private constructor(onChange: (worker: WorkerState) => void) {
    this.#onChange = onChange;
  }

  /** `onChange` is called after each change of a worker's free capacity. */
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

  /** Adds the worker, or marks it as up with its present resources. */
  bringUp(worker: EngineWorker): WorkerState {
    const state = this.#workers.get(worker.name) ?? this.#add(worker);
    if (state.up) addScaled(this.#total, state.capacity, -1);
    state.capacity = worker.resources;
    state.up = true;
    addScaled(this.#total, state.capacity, 1);
    this.#onChange(state);
    return state;
  }

  /** Marks the worker as down; tasks on it stay counted until their attempts end. */
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

  /** Adds the resources of a place to one kind of usage, or with `sign` -1 subtracts them. */
  adjustUsage(
    place: Place,
    perTask: Resources,
    usageKind: UsageKind,
    sign: 1 | -1,
  ): void {
    for (const { worker, tasks } of place) {
      addScaled(worker[usageKind], perTask, tasks * sign);
      if (usageKind === "used" || usageKind === "claimed") {
        this.#onChange(worker);
      }
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
