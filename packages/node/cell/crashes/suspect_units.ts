/**
 * Units under which workers have crashed, as the planner treats them: the next crash shall show
 * which unit is the cause and take no other work with it.
 */
import type { WorkerName } from "@coltsfootpond/common";
import {
  hasLasted,
  ISOLATION,
  type Isolation,
  isSuspect,
} from "@coltsfootpond/policy";
import type { LiveJob, Unit } from "../live_job.ts";
import { computeSurvivedMs } from "../task_run.ts";

/** How long a suspect waits for empty workers; persistent tasks may be down for 3 s. */
const EMPTY_WORKER_WAIT_MS = 1_500;

export class SuspectUnits {
  /** Workers of suspects that run; no other unit starts there. */
  readonly workersOfSuspects: ReadonlySet<WorkerName>;
  readonly #suspects: ReadonlySet<Unit>;
  /** By key of the step, the one unit of the step that may start. */
  readonly #firstByStep: ReadonlyMap<string, Unit>;

  private constructor(suspects: readonly Unit[]) {
    this.#suspects = new Set(suspects);
    this.workersOfSuspects = new Set(
      suspects.flatMap(({ run }) =>
        [...run?.taskRuns.values() ?? []].map(({ worker }) => worker)
      ),
    );
    const unproven = suspects.filter((unit) => !isStepProven(unit));
    // A suspect that runs comes before those that wait.
    const ordered = [
      ...unproven.filter(({ run }) => run === undefined).reverse(),
      ...unproven.filter(({ run }) => run !== undefined),
    ];
    this.#firstByStep = new Map(ordered.map((unit) => [unit.stepKey, unit]));
  }

  static create(jobs: readonly LiveJob[]): SuspectUnits {
    const suspects = jobs.flatMap((job) =>
      job.progress.hasCrashes
        ? [...job.units.values()].filter(({ address }) =>
          isSuspect(job.progress.getCrashes(address))
        )
        : []
    );
    return new SuspectUnits(suspects);
  }

  /**
   * Whether the unit waits for a suspect of its step, as the tasks of a step run the same program
   * and all of them would crash workers.
   */
  isHeldBack(unit: Unit): boolean {
    const first = this.#firstByStep.get(unit.stepKey);
    return first !== undefined && first !== unit;
  }

  /** How far the unit is kept apart; `isUrgent` units do not wait for empty workers. */
  getIsolation(unit: Unit, waitedMs: number, isUrgent: boolean): Isolation {
    if (!this.#suspects.has(unit)) return ISOLATION.NONE;
    return isUrgent || waitedMs >= EMPTY_WORKER_WAIT_MS
      ? ISOLATION.NO_OTHER_STARTS
      : ISOLATION.EMPTY_WORKERS;
  }
}

/** Whether some unit of the step has been done or has lasted. */
function isStepProven({ job, address, stepKey }: Unit): boolean {
  if (job.progress.hasDoneUnit(address)) return true;
  return [...job.units.values()].some((other) =>
    other.stepKey === stepKey &&
    [...other.run?.taskRuns.keys() ?? []].some((taskRun) =>
      hasLasted(computeSurvivedMs(taskRun))
    )
  );
}
