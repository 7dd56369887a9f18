/** The capacity of a worker that its task runs leave free. */
import {
  addCellResources,
  type CellResources,
  subtractCellResources,
  type WorkerView,
} from "@coltsfootpond/policy";
import type { TaskRun } from "./task_run.ts";

export const NO_RESOURCES: CellResources = {
  cpuMilli: 0,
  memoryMib: 0,
  accelerators: 0,
};

/** The free capacity of a worker, the capacity that is being released, and its tasks by step. */
export type WorkerAvailability = Pick<
  WorkerView,
  "free" | "releasing" | "tasksByStep"
>;

/** Tasks that are being stopped still count as running; their capacity is `releasing` too. */
export function computeAvailability(
  capacity: CellResources,
  taskRuns: Iterable<TaskRun>,
): WorkerAvailability {
  let free = capacity;
  let releasing = NO_RESOURCES;
  const tasksByStep = new Map<string, number>();
  for (const { need, stepKey, isStopping } of taskRuns) {
    free = subtractCellResources(free, need);
    if (isStopping) releasing = addCellResources(releasing, need);
    tasksByStep.set(stepKey, (tasksByStep.get(stepKey) ?? 0) + 1);
  }
  return { free, releasing, tasksByStep };
}
