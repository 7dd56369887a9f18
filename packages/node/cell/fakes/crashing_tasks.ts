/** Tasks that crash each worker that starts them, in the simulated cell. */
import type { CellSimulation } from "../cell_simulation.ts";
import type { WorkerFake } from "../workers_fake.ts";

/** Time from the start of the task to the end of the worker's process. */
export const CRASH_DELAY_MS = 10;
/** Time until a process runs on the machine again. */
const DOWN_MS = 3_000;

/** Under which name the machine returns. */
export type CrashReturn = "same_name" | "other_name";

export interface CrashingTasksOptions {
  readonly isCrashing: (task: string) => boolean;
  readonly drawReturn: () => CrashReturn;
  readonly drawDelayMs?: () => number;
}

/** Ends the process of each worker some time after it has started such a task. */
export function addCrashingTasks(
  simulation: CellSimulation,
  options: CrashingTasksOptions,
): void {
  const { isCrashing, drawReturn, drawDelayMs = () => CRASH_DELAY_MS } =
    options;
  simulation.startListeners.push((worker, task) => {
    if (!isCrashing(task)) return;
    const { processNumber } = worker;
    simulation.clock.after(drawDelayMs(), () => {
      const isRunning = processNumber === worker.processNumber &&
        worker.running.includes(task);
      if (isRunning) crash(simulation, worker, drawReturn());
    });
  });
}

function crash(
  simulation: CellSimulation,
  worker: WorkerFake,
  crashReturn: CrashReturn,
): void {
  worker.leave(false);
  const { processNumber } = worker;
  simulation.clock.after(DOWN_MS, () => {
    if (worker.isReplaced || processNumber !== worker.processNumber) return;
    if (crashReturn === "same_name") return worker.restart();
    worker.isReplaced = true;
    simulation.addWorker(`${worker.record.worker}+`, worker.record.address);
  });
}
