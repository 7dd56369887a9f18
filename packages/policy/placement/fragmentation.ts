/**
 * How much a placement harms the large shapes that still fit: the loss in their number, and a small
 * gradient for coming closer to the next loss. After fragmentation gradient descent (ATC '23),
 * with whole gangs in place of single tasks as the target workload.
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

/** Shapes whose loss is counted; more cost decision time and tell little. */
const MAXIMUM_TARGETS = 6;
const GRADIENT_WEIGHT = 0.01;

interface Target {
  readonly key: string;
  readonly shape: Shape;
  /** Accelerators of one gang: what a loss costs. */
  readonly weight: number;
}

function isLarge(shape: Shape): boolean {
  return shape.perTask.accelerators > 0 &&
    (shape.tasks > 1 || shape.perTask.accelerators > 1);
}

export class FragmentationModel {
  #targets: readonly Target[] = [];
  /** Tasks of each target that fit on a worker, by target. */
  readonly #workerCounts = new Map<WorkerState, number[]>();
  /** The same, summed over a rack. */
  readonly #rackCounts = new Map<RackState, number[]>();

  private constructor() {}

  static create(): FragmentationModel {
    return new FragmentationModel();
  }

  /** Learns of a declared or submitted shape; true when the targets changed. */
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

  recountAll(workers: Iterable<WorkerState>): void {
    this.#workerCounts.clear();
    this.#rackCounts.clear();
    for (const worker of workers) this.recount(worker);
  }

  /** Brings the counts of one worker up to date after its free room changed. */
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

  /** Accelerators' worth of large shapes that no longer fit once `place` is taken. */
  computeLoss(place: Place, perTask: Resources): number {
    if (this.#targets.length === 0) return 0;
    const taken = new Map<RackState, number[]>();
    let loss = 0;
    for (const { worker, tasks } of place) {
      const before = this.#workerCounts.get(worker);
      if (before === undefined) continue;
      const room = subtractResources(
        getFreeCapacity(worker),
        scaleResources(perTask, tasks),
      );
      const after = this.#countTargets(worker, room);
      loss += this.#sumWorkerLoss(before, after);
      const sums = taken.get(worker.rack) ?? before.map(() => 0);
      for (let index = 0; index < sums.length; index++) {
        sums[index]! += before[index]! - after[index]!;
      }
      taken.set(worker.rack, sums);
    }
    for (const [rack, lost] of taken) loss += this.#sumRackLoss(rack, lost);
    return loss;
  }

  #countTargets(worker: WorkerState, room: Resources): number[] {
    const usable = isUsable(worker);
    return this.#targets.map(({ shape }) =>
      usable ? countFitting(room, shape.perTask) : 0
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
