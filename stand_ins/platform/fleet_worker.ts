/** One simulated worker: its condition, its free resources and its tasks. */
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

function formatTaskKey(task: TaskKey): string {
  return `${task.jobId} ${task.attemptId} ${task.index}`;
}

/** A worker and its tasks. `assignRevision` gives a changed task its new revision. */
export class FleetWorker {
  readonly #tasks = new Map<string, FleetTask>();
  readonly #assignRevision: (task: FleetTask) => void;
  condition: WorkerCondition = WORKER_CONDITION.HEALTHY;

  private constructor(
    readonly declared: FleetWorkerDeclaration,
    public revision: number,
    assignRevision: (task: FleetTask) => void,
  ) {
    this.#assignRevision = assignRevision;
  }

  static create(
    declared: FleetWorkerDeclaration,
    revision: number,
    assignRevision: (task: FleetTask) => void,
  ): FleetWorker {
    return new FleetWorker(declared, revision, assignRevision);
  }

  get isUp(): boolean {
    return this.condition !== WORKER_CONDITION.DOWN;
  }

  /** The task with this key, in any state. */
  find(key: TaskKey): FleetTask | undefined {
    return this.#tasks.get(formatTaskKey(key));
  }

  listTasks(): readonly FleetTask[] {
    return [...this.#tasks.values()];
  }

  add(task: FleetTask): void {
    this.#tasks.set(formatTaskKey(task.key), task);
    this.#assignRevision(task);
  }

  remove(key: TaskKey): void {
    this.#tasks.delete(formatTaskKey(key));
  }

  /** Removes the ended tasks of the given attempts. */
  forget(attempts: readonly string[]): void {
    for (const task of this.listTasks()) {
      if (!task.occupiesResources && attempts.includes(task.key.attemptId)) {
        this.remove(task.key);
      }
    }
  }

  fits(resources: Resources): boolean {
    return this.getFree("accelerators") >= resources.accelerators &&
      this.getFree("memoryMib") >= resources.memoryMib &&
      this.getFree("milliprocessors") >= resources.milliprocessors;
  }

  /** The amount of one resource that no held, running or checkpointed task uses. */
  getFree(name: keyof Resources): number {
    let free = this.declared.resources[name];
    for (const task of this.#tasks.values()) {
      if (task.occupiesResources) free -= task.resources[name];
    }
    return free;
  }

  /** The worker's part of a fleet report. */
  report(): WorkerReport {
    return {
      name: this.declared.name,
      rack: this.declared.rack,
      resources: this.declared.resources,
      state: this.isUp ? "up" : "down",
    };
  }

  end(task: FleetTask, state: TaskState, atMs: number): void {
    task.end(state, atMs);
    this.#assignRevision(task);
  }

  /**
   * Applies all changes that fell due since the last call. An expired hold is removed; a live task
   * ends, checkpoints, or is lost when its lease expires.
   */
  applyDueChanges(nowMs: number): void {
    for (const task of this.listTasks()) {
      if (task.isLive) this.#applyDueToLiveTask(task, nowMs);
      else if (task.occupiesResources && task.leaseEndMs <= nowMs) {
        this.remove(task.key);
      }
    }
  }

  /** Applies the due changes of a live task in order, each at the time at which it fell due. */
  #applyDueToLiveTask(task: FleetTask, nowMs: number): void {
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
        this.#assignRevision(task);
      }
    }
    if (task.leaseEndMs <= nowMs) {
      this.end(task, TASK_STATE.LOST, task.leaseEndMs);
    }
  }
}
