/**
 * Computes how many large gangs no longer fit after a placement, weighted by their accelerators,
 * plus a small gradient for single tasks that no longer fit, as they bring the next loss closer.
 * Based on fragmentation gradient descent (ATC '23), with whole gangs instead of single tasks as
 * the target workload.
 */
import { ADJACENCY, type Resources, type Shape } from "@coltsfootpond/common";
import {
  getFreeCapacity,
  isUsable,
  type Place,
  type RackState,
  type WorkerState,
} from "./capacity_model.ts";
import {
  compareShapesHardestFirst,
  countFitting,
  createShapeKey,
  subtractResources,
} from "./resources.ts";
import { scaleResources } from "./resources.ts";

/** Upper limit of shapes whose loss is counted; more cost decision time and change little. */
const MAXIMUM_TARGETS = 6;
const GRADIENT_WEIGHT = 0.01;

/** A large shape whose loss is counted. */
interface Target {
  readonly key: string;
  readonly shape: Shape;
  /** Accelerators of one gang: the cost of its loss. */
  readonly weight: number;
}

function isLarge(shape: Shape): boolean {
  return shape.perTask.accelerators > 0 &&
    (shape.tasks > 1 || shape.perTask.accelerators > 1);
}

/** Counts, per worker and rack, how many tasks of each target shape fit. */
export class FragmentationModel {
  #targets: readonly Target[] = [];
  /** Number of tasks that fit on a worker, by target. */
  readonly #workerCounts = new Map<WorkerState, number[]>();
  /** The same, summed over the workers of a rack. */
  readonly #rackCounts = new Map<RackState, number[]>();

  private constructor() {}

  static create(): FragmentationModel {
    return new FragmentationModel();
  }

  /** Adds a declared or submitted shape to the targets if it is large; true if they changed. */
  addTarget(shape: Shape): boolean {
    const key = createShapeKey(shape);
    if (!isLarge(shape)) return false;
    if (this.#targets.some((target) => target.key === key)) return false;
    const weight = shape.tasks * shape.perTask.accelerators;
    const targets = [...this.#targets, { key, shape, weight }]
      .sort((left, right) => compareShapesHardestFirst(left.shape, right.shape))
      .slice(0, MAXIMUM_TARGETS);
    if (!targets.some((target) => target.key === key)) return false;
    this.#targets = targets;
    return true;
  }

  /** Recomputes all counts, after the targets changed. */
  recountAll(workers: Iterable<WorkerState>): void {
    this.#workerCounts.clear();
    this.#rackCounts.clear();
    for (const worker of workers) this.recount(worker);
  }

  /** Recomputes the counts of one worker, after its free capacity changed. */
  recount(worker: WorkerState): void {
    const counts = this.#countTargets(worker, getFreeCapacity(worker));
    const old = this.#workerCounts.get(worker);
    let sums = this.#rackCounts.get(worker.rack);
    if (sums === undefined) {
      sums = counts.map(() => 0);
      this.#rackCounts.set(worker.rack, sums);
    }
    for (let index = 0; index < counts.length; index++) {
      sums[index]! += counts[index]! - (old?.[index] ?? 0);
    }
    this.#workerCounts.set(worker, counts);
  }

  /** Loss of large shapes, in accelerators, if tasks of `perTask` are placed at `place`. */
  computeLoss(place: Place, perTask: Resources): number {
    if (this.#targets.length === 0) return 0;
    const lostByRack = new Map<RackState, number[]>();
    let loss = 0;
    for (const { worker, tasks } of place) {
      const before = this.#workerCounts.get(worker);
      if (before === undefined) continue;
      const free = subtractResources(
        getFreeCapacity(worker),
        scaleResources(perTask, tasks),
      );
      const after = this.#countTargets(worker, free);
      loss += this.#sumWorkerLoss(before, after);
      const sums = lostByRack.get(worker.rack) ?? before.map(() => 0);
      for (let index = 0; index < sums.length; index++) {
        sums[index]! += before[index]! - after[index]!;
      }
      lostByRack.set(worker.rack, sums);
    }
    for (const [rack, lost] of lostByRack) {
      loss += this.#sumRackLoss(rack, lost);
    }
    return loss;
  }

  #countTargets(worker: WorkerState, free: Resources): number[] {
    const usable = isUsable(worker);
    return this.#targets.map(({ shape }) =>
      usable ? countFitting(free, shape.perTask) : 0
    );
  }

  #sumWorkerLoss(before: readonly number[], after: readonly number[]): number {
    let loss = 0;
    this.#targets.forEach(({ shape, weight }, index) => {
      if (!this.#isWithinWorker(shape)) return;
      loss += computeGangLoss(shape, weight, before[index]!, after[index]!);
    });
    return loss;
  }

  #sumRackLoss(rack: RackState, lost: readonly number[]): number {
    const sums = this.#rackCounts.get(rack) ?? [];
    let loss = 0;
    this.#targets.forEach(({ shape, weight }, index) => {
      if (this.#isWithinWorker(shape)) return;
      const before = sums[index] ?? 0;
      loss += computeGangLoss(shape, weight, before, before - lost[index]!);
    });
    return loss;
  }

  #isWithinWorker(shape: Shape): boolean {
    return shape.tasks === 1 || shape.adjacency === ADJACENCY.WORKER;
  }
}

/** `before`, `after`: tasks of the shape that fit within one worker or rack. */
function computeGangLoss(
  shape: Shape,
  weight: number,
  before: number,
  after: number,
): number {
  const gangs = Math.floor(before / shape.tasks) -
    Math.floor(after / shape.tasks);
  const gradient = GRADIENT_WEIGHT * (before - after) / shape.tasks;
  return weight * (gangs + gradient);
}
