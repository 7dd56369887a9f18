/** How far a unit is kept apart from other units when it starts. */
import type { WorkerCapacity } from "../fit.ts";

export const ISOLATION = {
  NONE: "none",
  /** Only on workers on which nothing else runs or starts. */
  EMPTY_WORKERS: "empty_workers",
  /** Only on workers on which nothing else starts; other units may be running there. */
  NO_OTHER_STARTS: "no_other_starts",
} as const;
export type Isolation = (typeof ISOLATION)[keyof typeof ISOLATION];

/** Whether a unit with this isolation may start on the worker. */
export function allowsStart(
  isolation: Isolation,
  { view, tasksByStep }: WorkerCapacity,
  startedOn: ReadonlySet<string>,
): boolean {
  switch (isolation) {
    case ISOLATION.NONE:
      return true;
    case ISOLATION.EMPTY_WORKERS:
      return [...tasksByStep.values()].every((count) => count === 0);
    case ISOLATION.NO_OTHER_STARTS:
      return !startedOn.has(view.worker);
  }
}
