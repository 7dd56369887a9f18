/**
 * The ends of a gang's tasks that follow from its other tasks, also of workers that are
 * disconnected: `broken` some time after another task of the run has ended, and `alone` when the run
 * is not complete in time.
 */
import { nextInteger, type Random } from "@coltsfootpond/common";
import type { CellJobSpec, RunEnd, TaskName } from "@coltsfootpond/policy";
import type { CellSimulation } from "../cell_simulation.ts";
import type { RunHistory } from "../workers_fake.ts";

const CHECK_PERIOD_MS = 20;
/** Time for which a task waits for the others of its run. */
const GANG_TIMEOUT_MS = 3_000;
const MINIMUM_BROKEN_DELAY_MS = 50;
const BROKEN_DELAY_RANGE_MS = 150;

export class GangMembers {
  readonly #simulation: CellSimulation;
  readonly #random: Random;
  readonly #getJobs: () => readonly CellJobSpec[];
  /** Tasks that will end `broken`. */
  readonly #breaking = new WeakSet<RunHistory>();

  private constructor(
    simulation: CellSimulation,
    random: Random,
    getJobs: () => readonly CellJobSpec[],
  ) {
    this.#simulation = simulation;
    this.#random = random;
    this.#getJobs = getJobs;
  }

  /** Ends tasks of the jobs' gangs from now on. */
  static create(
    simulation: CellSimulation,
    random: Random,
    getJobs: () => readonly CellJobSpec[],
  ): GangMembers {
    const members = new GangMembers(simulation, random, getJobs);
    simulation.clock.every(CHECK_PERIOD_MS, () => members.#check());
    return members;
  }

  #check(): void {
    const { history } = this.#simulation;
    for (const task of history) {
      if (task.endedMs !== undefined) continue;
      const count = this.#findGangSize(task.task);
      if (count === undefined) continue;
      const members = history.filter(({ run }) => run === task.run);
      this.#checkTask(task, members, count);
    }
  }

  /** Undefined for a task that belongs to no gang. */
  #findGangSize(task: TaskName): number | undefined {
    const [jobId, , step] = task.split(".");
    const job = this.#getJobs().find((other) => other.jobId === jobId);
    const { isGang, count } = job!.steps[Number(step)]!;
    return isGang ? count : undefined;
  }

  #checkTask(
    task: RunHistory,
    members: readonly RunHistory[],
    count: number,
  ): void {
    const { clock } = this.#simulation;
    if (members.some(({ endedMs }) => endedMs !== undefined)) {
      if (this.#breaking.has(task)) return;
      this.#breaking.add(task);
      const delayMs = MINIMUM_BROKEN_DELAY_MS +
        nextInteger(this.#random, BROKEN_DELAY_RANGE_MS);
      clock.after(delayMs, () => this.#end(task, "broken"));
      return;
    }
    const isOverdue = clock.nowMs() - task.startedMs >= GANG_TIMEOUT_MS;
    if (members.length < count && isOverdue) this.#end(task, "alone");
  }

  #end({ worker, task, run, endedMs }: RunHistory, end: RunEnd): void {
    if (endedMs !== undefined) return;
    this.#simulation.get(worker).end(task, end, run);
  }
}
