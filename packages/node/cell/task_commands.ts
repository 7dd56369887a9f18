/** Starts and stops of tasks on one worker, each followed until its outcome is known. */
import type { Clock } from "@coltsfootpond/common";
import type {
  CellBounds,
  ResponseMetadata,
  StartRefusal,
  WorkerPort,
  WorkerTarget,
} from "@coltsfootpond/ports";
import type { TaskRun } from "./task_run.ts";
import type { WorkerTaskRuns } from "./worker_task_runs.ts";
import type { WorkerLeases } from "./worker_leases.ts";

/** A start that is not answered by then is looked for, then stopped: many round trips. */
const START_TIMEOUT_MS = 250;
/** Lease of a start until the next renewal; short, so that an unanswered start is soon void. */
const START_LEASE_MS = 2_500;
/** Beyond the wait of a long poll: many round trips to a worker. */
export const COMMAND_TIMEOUT_MS = 500;
/** Between tries at a worker that did not answer. */
export const RETRY_DELAY_MS = 120;

export interface TaskCommandsOptions {
  readonly target: WorkerTarget;
  readonly epoch: number;
  readonly workerPort: WorkerPort;
  readonly bounds: CellBounds;
  readonly clock: Clock;
  readonly taskRuns: WorkerTaskRuns;
  readonly leases: WorkerLeases;
  readonly canAct: () => boolean;
  readonly isStopped: () => boolean;
  /** Takes the life and the clock that an answer tells. */
  readonly applyMetadata: (metadata: ResponseMetadata) => void;
  /** Asks for a report at once. */
  readonly requestReport: () => Promise<void>;
  /** An order was sent: there is something to renew or to learn. */
  readonly onSent: () => void;
  readonly onRefused: (
    taskRun: TaskRun,
    reason: StartRefusal | "wrong_life",
  ) => void;
  /** A start was not answered and the worker does not list the run. */
  readonly onStartUnanswered: (taskRun: TaskRun) => void;
  readonly onFenced: () => void;
}

/** Gives orders; what they lead to comes through the options. */
export class TaskCommands {
  readonly #options: TaskCommandsOptions;

  private constructor(options: TaskCommandsOptions) {
    this.#options = options;
  }

  static create(options: TaskCommandsOptions): TaskCommands {
    return new TaskCommands(options);
  }

  /** Orders a reserved task to start. */
  async start(taskRun: TaskRun, payload: string): Promise<void> {
    const { workerPort, target, epoch, leases, bounds, taskRuns } =
      this.#options;
    const outcome = await workerPort.start(target, {
      task: taskRun.task,
      run: taskRun.run,
      payload,
      leaseUntilMs: leases.grant(
        Math.min(START_LEASE_MS, bounds.leaseMaximumMs),
      ),
      epoch,
      checkpoint: taskRun.checkpoint,
    }, START_TIMEOUT_MS);
    if (this.#options.isStopped()) return;
    this.#options.onSent();
    switch (outcome.kind) {
      case "started":
        this.#options.applyMetadata(outcome.metadata);
        if (!taskRuns.has(taskRun)) return;
        taskRun.startedClockMs = outcome.metadata.workerClockMs;
        return;
      case "refused":
        if (outcome.metadata !== undefined) {
          this.#options.applyMetadata(outcome.metadata);
        }
        if (!taskRuns.remove(taskRun)) return;
        if (outcome.reason === "fenced") this.#options.onFenced();
        return this.#options.onRefused(taskRun, outcome.reason);
      case "wrong_life":
        if (!taskRuns.remove(taskRun)) return;
        return this.#options.onRefused(taskRun, "wrong_life");
      case "unavailable":
        return await this.#resolveUnansweredStart(taskRun);
    }
  }

  /** Orders a run to stop, again until it is gone. */
  async stop(taskRun: TaskRun): Promise<void> {
    if (taskRun.isStopping) return;
    taskRun.isStopping = true;
    const { taskRuns, clock, bounds, canAct, isStopped } = this.#options;
    while (taskRuns.has(taskRun) && !isStopped()) {
      if (taskRun.stoppedClockMs === undefined && canAct()) {
        if (!await this.#sendStop(taskRun)) return;
      }
      const isAcknowledged = taskRun.stoppedClockMs !== undefined;
      // An end that was listed has come through the long poll by then.
      const isNeverRun = taskRun.startedClockMs === undefined;
      await clock.sleep(
        isAcknowledged && !isNeverRun ? bounds.stopLimitMs : RETRY_DELAY_MS,
      );
      if (isAcknowledged && taskRuns.has(taskRun)) {
        await this.#options.requestReport();
      }
    }
  }

  /** False when nothing more is to be sent. */
  async #sendStop(taskRun: TaskRun): Promise<boolean> {
    const { workerPort, target, epoch, taskRuns } = this.#options;
    const { task, run } = taskRun;
    const command = { task, run, epoch };
    const outcome = await workerPort.stop(target, command, COMMAND_TIMEOUT_MS);
    if (this.#options.isStopped()) return false;
    switch (outcome.kind) {
      case "stopped":
        this.#options.applyMetadata(outcome.metadata);
        taskRun.stoppedClockMs = outcome.metadata.workerClockMs;
        return true;
      case "fenced":
        this.#options.onFenced();
        return false;
      case "wrong_life":
        taskRuns.dropAll("the worker has left its address");
        return false;
      case "unavailable":
        return true;
    }
  }

  async #resolveUnansweredStart(taskRun: TaskRun): Promise<void> {
    const { taskRuns, requestReport, isStopped, onStartUnanswered } =
      this.#options;
    if (!taskRuns.has(taskRun)) return;
    await requestReport();
    if (isStopped() || !taskRuns.has(taskRun)) return;
    if (taskRun.startedClockMs === undefined) onStartUnanswered(taskRun);
  }
}
