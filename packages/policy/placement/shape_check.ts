/** Whether a shape can ever run on the declared workers, and the nearest shape that can. */
import type {
  Declarations,
  FailureDomainDeclaration,
  Shape,
} from "@coltsfootpond/common";
import { ADJACENCY, assertNever } from "@coltsfootpond/common";
import { countFitting } from "./resources.ts";

export type ShapeCheck =
  | { readonly kind: "fits" }
  /** `nearest` is undefined when no worker takes even one task with any resources left out. */
  | { readonly kind: "never_fits"; readonly nearest: Shape | undefined };

/** Largest gang of such tasks that one failure domain takes when empty. */
function countLargestGang(
  domain: FailureDomainDeclaration,
  shape: Shape,
): number {
  const perRack = domain.racks.map((rack) =>
    rack.workers.map((worker) => countFitting(worker.resources, shape.perTask))
  );
  const sum = (counts: readonly number[]): number =>
    counts.reduce((total, count) => total + count, 0);
  switch (shape.adjacency) {
    case ADJACENCY.WORKER:
      return Math.max(0, ...perRack.flat());
    case ADJACENCY.RACK:
      return Math.max(0, ...perRack.map(sum));
    case ADJACENCY.FAILURE_DOMAIN:
      return sum(perRack.flat());
    default:
      return assertNever(shape.adjacency);
  }
}

/** The task cut down to the worker that leaves most of its accelerators. */
function clampTask(
  domains: readonly FailureDomainDeclaration[],
  shape: Shape,
): Shape | undefined {
  const { perTask } = shape;
  const clamped = domains
    .flatMap((domain) => domain.racks.flatMap((rack) => rack.workers))
    .map(({ resources }) => ({
      milliprocessors: Math.min(
        perTask.milliprocessors,
        resources.milliprocessors,
      ),
      memoryMib: Math.min(perTask.memoryMib, resources.memoryMib),
      accelerators: Math.min(perTask.accelerators, resources.accelerators),
    }))
    .sort((left, right) =>
      right.accelerators - left.accelerators ||
      right.milliprocessors - left.milliprocessors ||
      right.memoryMib - left.memoryMib
    );
  const [largest] = clamped;
  return largest === undefined ? undefined : { ...shape, perTask: largest };
}

/** Checks against whole declared failure domains, in or out, so a passing loss refuses nothing. */
export function checkShape(
  declarations: Declarations,
  shape: Shape,
): ShapeCheck {
  const domains = declarations.failureDomains;
  const largest = (candidate: Shape): number =>
    Math.max(
      0,
      ...domains.map((domain) => countLargestGang(domain, candidate)),
    );
  if (largest(shape) >= shape.tasks) return { kind: "fits" };
  const task = largest(shape) > 0 ? shape : clampTask(domains, shape);
  const tasks = task === undefined ? 0 : Math.min(shape.tasks, largest(task));
  const nearest = task === undefined || tasks === 0
    ? undefined
    : { ...task, tasks };
  return { kind: "never_fits", nearest };
}

/** The nearest shape that fits some failure domain; the shape itself when it does. */
export function findNearestShape(
  declarations: Declarations,
  shape: Shape,
): Shape | undefined {
  const check = checkShape(declarations, shape);
  return check.kind === "fits" ? shape : check.nearest;
}
