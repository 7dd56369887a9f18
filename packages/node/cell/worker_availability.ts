/** What the tasks that a worker is known to hold leave of it. */
import {
  addCellResources,
  type CellResources,
  subtractCellResources,
  type WorkerView,
} from "@coltsfootpond/policy";
import type { TaskRun } from "./task_run.ts";

const NOTHING: CellResources = { cpuMilli: 0, memoryMib: 0, accelerators: 0 };

export type WorkerAvailability = Pick<
  WorkerView,
  "free" | "releasing" | "tasksByStep"
>;

/** Tasks that are being stopped still count; their room is `releasing` besides. */
export function measureAvailability(
  capacity: CellResources,
  taskRuns: Iterable<TaskRun>,
): WorkerAvailability {
  let free = capacity;
  let releasing = NOTHING;
  const tasksByStep = new Map<string, number>();
  for (const { need, stepKey, isStopping } of taskRuns) {
    free = subtractCellResources(free, need);
    if (isStopping) releasing = addCellResources(releasing, need);
    tasksByStep.set(stepKey, (tasksByStep.get(stepKey) ?? 0) + 1);
  }
  return { free, releasing, tasksByStep };
}
