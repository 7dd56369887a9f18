/** Arithmetic on resources, and the rules by which shapes compare. */
import {
  ADJACENCY,
  type Adjacency,
  type Resources,
  type Shape,
} from "@coltsfootpond/common";

/** Resources that the owner of the value may change in place. */
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

/** What is left of `total` after each of `taken`. */
export function subtractResources(
  total: Resources,
  ...taken: readonly Resources[]
): Resources {
  const rest = { ...total };
  for (const amount of taken) addScaled(rest, amount, -1);
  return rest;
}

function countOne(room: number, need: number): number {
  if (need <= 0) return Number.MAX_SAFE_INTEGER;
  return room <= 0 ? 0 : Math.floor(room / need);
}

/** How many tasks of `perTask` fit into the room. */
export function countFitting(room: Resources, perTask: Resources): number {
  return Math.min(
    countOne(room.accelerators, perTask.accelerators),
    countOne(room.milliprocessors, perTask.milliprocessors),
    countOne(room.memoryMib, perTask.memoryMib),
  );
}

/** Whether `amount` fits into `room` in every resource. */
export function fitsWithin(amount: Resources, room: Resources): boolean {
  return amount.milliprocessors <= room.milliprocessors &&
    amount.memoryMib <= room.memoryMib &&
    amount.accelerators <= room.accelerators;
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

/** What a whole gang takes. */
export function computeDemand(shape: Shape): Resources {
  return scaleResources(shape.perTask, shape.tasks);
}

/** Equal for equal shapes. */
export function createShapeKey(shape: Shape): string {
  const { milliprocessors, memoryMib, accelerators } = shape.perTask;
  return `${shape.tasks}x${milliprocessors}/${memoryMib}/${accelerators}@${shape.adjacency}`;
}

/** A job takes up a guarantee only if it fills at least this share of it. */
const MINIMUM_GUARANTEE_SHARE = 0.5;

const ADJACENCY_RANK: Readonly<Record<Adjacency, number>> = {
  [ADJACENCY.WORKER]: 0,
  [ADJACENCY.RACK]: 1,
  [ADJACENCY.FAILURE_DOMAIN]: 2,
};

/** Whether a gang of shape `inner` fits into any place that holds a gang of shape `outer`. */
export function coversShape(outer: Shape, inner: Shape): boolean {
  return inner.tasks <= outer.tasks &&
    fitsWithin(inner.perTask, outer.perTask) &&
    (inner.tasks === 1 ||
      ADJACENCY_RANK[outer.adjacency] <= ADJACENCY_RANK[inner.adjacency]);
}

/**
 * Whether a job of shape `inner` may take up a guarantee of shape `outer`. Work that would leave
 * most of it unused borrows instead, so that small jobs never use up a guarantee for a gang.
 */
export function suitsGuarantee(outer: Shape, inner: Shape): boolean {
  const whole = computeDemand(outer);
  const demand = computeDemand(inner);
  return fitsWithin(demand, whole) &&
    computeDominantShare(demand, whole) >= MINIMUM_GUARANTEE_SHARE;
}

/** Orders shapes with the hardest to place first. */
export function compareShapesHardestFirst(left: Shape, right: Shape): number {
  const size = (shape: Shape): number =>
    shape.tasks * Math.max(1, shape.perTask.accelerators);
  return ADJACENCY_RANK[left.adjacency] - ADJACENCY_RANK[right.adjacency] ||
    size(right) - size(left) ||
    right.perTask.accelerators - left.perTask.accelerators ||
    right.perTask.milliprocessors - left.perTask.milliprocessors ||
    right.perTask.memoryMib - left.perTask.memoryMib;
}
