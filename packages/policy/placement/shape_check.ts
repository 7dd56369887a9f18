/** Checks whether a shape can ever run on the declared workers, and finds the nearest that can. */
import type {
  Declarations,
  FailureDomainDeclaration,
  Shape,
} from "@coltsfootpond/common";
import { ADJACENCY, assertNever } from "@coltsfootpond/common";
import { countFitting } from "./resources.ts";

/** Result of `checkShape`. */
export type ShapeCheck =
  | { readonly kind: "fits" }
  /** `nearest` is undefined if no worker can take even one task of reduced size. */
  | { readonly kind: "never_fits"; readonly nearest: Shape | undefined };

/** Tasks of the largest gang of this task size and adjacency that fits the empty failure domain. */
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

/** The shape with its task reduced to fit the worker that leaves it the most accelerators. */
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

/**
 * Checks against all declared failure domains, in service or not, so that no job is refused because
 * of a temporary loss. Called for each submitted job.
 */
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
  const reduced = largest(shape) > 0 ? shape : clampTask(domains, shape);
  const tasks = reduced === undefined
    ? 0
    : Math.min(shape.tasks, largest(reduced));
  const nearest = reduced === undefined || tasks === 0
    ? undefined
    : { ...reduced, tasks };
  return { kind: "never_fits", nearest };
}

/** The shape itself if it fits a failure domain, else the nearest one that does, if any. */
export function findNearestShape(
  declarations: Declarations,
  shape: Shape,
): Shape | undefined {
  const check = checkShape(declarations, shape);
  return check.kind === "fits" ? shape : check.nearest;
}
