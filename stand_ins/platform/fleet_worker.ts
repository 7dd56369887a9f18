/** One worker of the fleet: its condition, what is free on it and what falls due on it. */
import type { Resources } from "@coltsfootpond/common";
import {
  TASK_STATE,
  type TaskKey,
  type TaskState,
  type WorkerReport,
} from "@coltsfootpond/ports";
import type { FleetTask } from "./fleet_task.ts";
import {
  type FleetWorkerDeclaration,
  WORKER_CONDITION,
  type WorkerCondition,
} from "./types.ts";

function getTaskName(task: TaskKey): string {
  return `${task.jobId} ${task.attemptId} ${task.index}`;
}

/** A worker and the tasks on it. `touch` gives a changed task its new revision. */
export class FleetWorker {
  readonly #tasks = new Map<string, FleetTask>();
  readonly #touch: (task: FleetTask) => void;
  condition: WorkerCondition = WORKER_CONDITION.HEALTHY;

  private constructor(
    readonly declared: FleetWorkerDeclaration,
    public revision: number,
    touch: (task: FleetTask) => void,
  ) {
    this.#touch = touch;
  }

  static create(
    declared: FleetWorkerDeclaration,
    revision: number,
    touch: (task: FleetTask) => void,
  ): FleetWorker {
    return new FleetWorker(declared, revision, touch);
  }

  get isUp(): boolean {
    return this.condition !== WORKER_CONDITION.DOWN;
  }

  find(key: TaskKey): FleetTask | undefined {
    return this.#tasks.get(getTaskName(key));
  }

  listTasks(): readonly FleetTask[] {
    return [...this.#tasks.values()];
  }

  add(task: FleetTask): void {
    this.#tasks.set(getTaskName(task.key), task);
    this.#touch(task);
  }

  remove(key: TaskKey): void {
    this.#tasks.delete(getTaskName(key));
  }

  /** Drops ended tasks of the named attempts. */
  forget(attempts: readonly string[]): void {
    for (const task of this.listTasks()) {
      if (!task.occupies && attempts.includes(task.key.attemptId)) {
        this.remove(task.key);
      }
    }
  }

  fits(resources: Resources): boolean {
    return this.getFree("accelerators") >= resources.accelerators &&
      this.getFree("memoryMib") >= resources.memoryMib &&
      this.getFree("milliprocessors") >= resources.milliprocessors;
  }

  getFree(name: keyof Resources): number {
    let free = this.declared.resources[name];
    for (const task of this.#tasks.values()) {
      if (task.occupies) free -= task.resources[name];
    }
    return free;
  }

  describe(): WorkerReport {
    return {
      name: this.declared.name,
      rack: this.declared.rack,
      resources: this.declared.resources,
      state: this.isUp ? "up" : "down",
    };
  }

  end(task: FleetTask, state: TaskState, atMs: number): void {
    task.end(state, atMs);
    this.#touch(task);
  }

  /** Lets happen what fell due since the last time: expiries, ends and checkpoints. */
  settle(nowMs: number): void {
    for (const task of this.listTasks()) {
      if (task.isLive) this.#settleLive(task, nowMs);
      else if (task.occupies && task.leaseEndMs <= nowMs) this.remove(task.key);
    }
  }

  /** What falls due first happens, at the moment it fell due. */
  #settleLive(task: FleetTask, nowMs: number): void {
    const endMs = Math.min(nowMs, task.leaseEndMs);
    const checkpointMs = task.checkpointDueMs ?? Infinity;
    if (task.state === TASK_STATE.RUNNING) {
      const finishMs = task.finishDueMs;
      if (finishMs <= Math.min(endMs, checkpointMs)) {
        const failed = task.start?.behaviour.fails === true;
        const state = failed ? TASK_STATE.FAILED : TASK_STATE.FINISHED;
        return this.end(task, state, finishMs);
      }
      if (checkpointMs <= endMs) {
        task.suspend(checkpointMs);
        this.#touch(task);
      }
    }
    if (task.leaseEndMs <= nowMs) {
      this.end(task, TASK_STATE.LOST, task.leaseEndMs);
    }
  }
}
