/** Arithmetic on resources, and comparisons of shapes. */
import {
  ADJACENCY,
  type Adjacency,
  type Resources,
  type Shape,
} from "@coltsfootpond/common";

/** Resources that are changed in place. */
export interface MutableResources {
  milliprocessors: number;
  memoryMib: number;
  accelerators: number;
}

export function createEmptyResources(): MutableResources {
  return { milliprocessors: 0, memoryMib: 0, accelerators: 0 };
}

/** Adds `factor` times `amount` to `target`; a negative factor subtracts. */
export function addScaled(
  target: MutableResources,
  amount: Resources,
  factor: number,
): void {
  target.milliprocessors += amount.milliprocessors * factor;
  target.memoryMib += amount.memoryMib * factor;
  target.accelerators += amount.accelerators * factor;
}

export function scaleResources(amount: Resources, factor: number): Resources {
  const scaled = createEmptyResources();
  addScaled(scaled, amount, factor);
  return scaled;
}

/** `total` minus all of `taken`. */
export function subtractResources(
  total: Resources,
  ...taken: readonly Resources[]
): Resources {
  const rest = { ...total };
  for (const amount of taken) addScaled(rest, amount, -1);
  return rest;
}

function countFittingByOne(capacity: number, need: number): number {
  if (need <= 0) return Number.MAX_SAFE_INTEGER;
  return capacity <= 0 ? 0 : Math.floor(capacity / need);
}

/** Number of tasks of `perTask` that fit into the capacity. */
export function countFitting(capacity: Resources, perTask: Resources): number {
  return Math.min(
    countFittingByOne(capacity.accelerators, perTask.accelerators),
    countFittingByOne(capacity.milliprocessors, perTask.milliprocessors),
    countFittingByOne(capacity.memoryMib, perTask.memoryMib),
  );
}

/** Whether `amount` is at most `capacity` in every resource. */
export function fitsWithin(amount: Resources, capacity: Resources): boolean {
  return amount.milliprocessors <= capacity.milliprocessors &&
    amount.memoryMib <= capacity.memoryMib &&
    amount.accelerators <= capacity.accelerators;
}

/** Largest share that `used` has of any one resource of `total`. Source: DRF (NSDI '11). */
export function computeDominantShare(
  used: Resources,
  total: Resources,
): number {
  return Math.max(
    total.milliprocessors > 0
      ? used.milliprocessors / total.milliprocessors
      : 0,
    total.memoryMib > 0 ? used.memoryMib / total.memoryMib : 0,
    total.accelerators > 0 ? used.accelerators / total.accelerators : 0,
  );
}

/** Resources of a whole gang. */
export function computeDemand(shape: Shape): Resources {
  return scaleResources(shape.perTask, shape.tasks);
}

/** A key that is equal for equal shapes. */
export function createShapeKey(shape: Shape): string {
  const { milliprocessors, memoryMib, accelerators } = shape.perTask;
  return `${shape.tasks}x${milliprocessors}/${memoryMib}/${accelerators}@${shape.adjacency}`;
}

/** A job may use a guarantee only if it needs at least this share of it. */
const MINIMUM_GUARANTEE_SHARE = 0.5;

const ADJACENCY_RANK: Readonly<Record<Adjacency, number>> = {
  [ADJACENCY.WORKER]: 0,
  [ADJACENCY.RACK]: 1,
  [ADJACENCY.FAILURE_DOMAIN]: 2,
};

/** Whether a gang of shape `inner` fits into every place where a gang of shape `outer` fits. */
export function coversShape(outer: Shape, inner: Shape): boolean {
  return inner.tasks <= outer.tasks &&
    fitsWithin(inner.perTask, outer.perTask) &&
    (inner.tasks === 1 ||
      ADJACENCY_RANK[outer.adjacency] <= ADJACENCY_RANK[inner.adjacency]);
}

/**
 * Whether a job of shape `inner` may use a guarantee of shape `outer`. A job that would leave most
 * of it unused borrows instead, so that small jobs never occupy the guarantee of a gang.
 */
export function suitsGuarantee(outer: Shape, inner: Shape): boolean {
  const whole = computeDemand(outer);
  const demand = computeDemand(inner);
  return fitsWithin(demand, whole) &&
    computeDominantShare(demand, whole) >= MINIMUM_GUARANTEE_SHARE;
}

/** Comparator that sorts the shapes that are hardest to place first. */
export function compareShapesHardestFirst(left: Shape, right: Shape): number {
  const size = (shape: Shape): number =>
    shape.tasks * Math.max(1, shape.perTask.accelerators);
  return ADJACENCY_RANK[left.adjacency] - ADJACENCY_RANK[right.adjacency] ||
    size(right) - size(left) ||
    right.perTask.accelerators - left.perTask.accelerators ||
    right.perTask.milliprocessors - left.perTask.milliprocessors ||
    right.perTask.memoryMib - left.perTask.memoryMib;
}
