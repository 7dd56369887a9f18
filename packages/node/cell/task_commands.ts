/** Sends starts and stops of tasks to one worker and follows each until its outcome is certain. */
import type { Clock } from "@coltsfootpond/common";
import type {
  CellBounds,
  IncarnationCommand,
  StartOutcome,
  StartRefusal,
  Unavailable,
  WorkerPort,
  WorkerTarget,
} from "@coltsfootpond/ports";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { reportFailure } from "./background/report_failure.ts";
import type { CellLog } from "./log.ts";
import type { TaskRun } from "./task_run.ts";
import type { WorkerTaskRuns } from "./worker_task_runs.ts";
import type { WorkerLeases } from "./worker_leases.ts";

/**
 * Time-out of a start; many round trips. After it a report shows whether the task runs; if not, it
 * is stopped.
 */
const START_TIMEOUT_MS = 250;
/**
 * Lease that a start grants until the next renewal; short, so that an unanswered start expires
 * soon.
 */
const START_LEASE_MS = 2_500;
/** Time-out of a command, added to the wait of a long poll; many round trips to a worker. */
export const COMMAND_TIMEOUT_MS = 500;
/** Delay before a command that was not answered is retried. */
export const RETRY_DELAY_MS = 120;

export interface TaskCommandsOptions {
  readonly target: WorkerTarget;
  readonly epoch: number;
  readonly workerPort: WorkerPort;
  readonly bounds: CellBounds;
  readonly clock: Clock;
  readonly log: CellLog;
  readonly taskRuns: WorkerTaskRuns;
  readonly leases: WorkerLeases;
  readonly getIncarnationStartUnixMs: () => number;
  readonly canAct: () => boolean;
  readonly isStopped: () => boolean;
  /** Requests a report at once. */
  readonly requestReport: () => Promise<void>;
  /** A command was sent, so the session has something to renew or to poll for. */
  readonly onSent: () => void;
  readonly onRefused: (
    taskRun: TaskRun,
    reason: StartRefusal | "wrong_life" | "restarted",
  ) => void;
  /** A start was accepted, and no report has listed the run yet. */
  readonly onStarted: (taskRun: TaskRun) => void;
  /** A start was answered after its run was taken as over. */
  readonly onStartedLate: (taskRun: TaskRun) => void;
  /** A start was not answered and the worker does not list the run. */
  readonly onStartUnanswered: (taskRun: TaskRun) => void;
  /** A start was not answered. */
  readonly onUnanswered: (outcome: Unavailable) => void;
  readonly onFenced: () => void;
}

/** Sends commands; their outcomes are passed to the callbacks of the options. */
export class TaskCommands {
  readonly #options: TaskCommandsOptions;
  #unansweredStarts = 0;

  private constructor(options: TaskCommandsOptions) {
    this.#options = options;
  }

  static create(options: TaskCommandsOptions): TaskCommands {
    return new TaskCommands(options);
  }

  /** Whether the answer to a start may still arrive. */
  get isStartUnanswered(): boolean {
    return this.#unansweredStarts > 0;
  }

  /** Starts a reserved task. */
  async start(taskRun: TaskRun, payload: string): Promise<void> {
    this.#unansweredStarts++;
    taskRun.startSentMs = this.#options.clock.nowMs();
    taskRun.lostContact = undefined;
    const outcome = await this.#sendStart(taskRun, payload);
    this.#unansweredStarts--;
    if (this.#options.isStopped()) return;
    this.#options.onSent();
    const { taskRuns } = this.#options;
    switch (outcome.kind) {
      case "started":
        if (!taskRuns.has(taskRun)) return this.#options.onStartedLate(taskRun);
        if (taskRun.startAnsweredMs !== undefined) return;
        taskRun.startAnsweredMs = this.#options.clock.nowMs();
        return this.#options.onStarted(taskRun);
      case "refused":
        if (!taskRuns.remove(taskRun)) return;
        if (outcome.reason === "fenced") this.#options.onFenced();
        return this.#options.onRefused(taskRun, outcome.reason);
      case "wrong_life":
      case "restarted":
        if (!taskRuns.remove(taskRun)) return;
        return this.#options.onRefused(taskRun, outcome.kind);
      case "unavailable":
        this.#options.onUnanswered(outcome);
        return await this.#resolveUnansweredStart(taskRun);
    }
  }

  #sendStart(taskRun: TaskRun, payload: string): Promise<StartOutcome> {
    const { workerPort, target, epoch, leases, bounds } = this.#options;
    return workerPort.start(target, {
      ...this.#createAddress(),
      task: taskRun.task,
      run: taskRun.run,
      payload,
      leaseUntilMs: leases.grantForStart(
        Math.min(START_LEASE_MS, bounds.leaseMaximumMs),
      ),
      epoch,
      checkpoint: taskRun.checkpoint,
    }, START_TIMEOUT_MS);
  }

  /** Stops a task run; repeats the command until the run is gone. */
  async stop(taskRun: TaskRun): Promise<void> {
    if (taskRun.isStopping) return;
    taskRun.isStopping = true;
    const { taskRuns, clock, bounds, canAct, isStopped } = this.#options;
    while (taskRuns.has(taskRun) && !isStopped()) {
      if (taskRun.stopAnsweredMs === undefined && canAct()) {
        if (!await this.#trySendStop(taskRun)) return;
      }
      const isAcknowledged = taskRun.stopAnsweredMs !== undefined;
      const isStartUnconfirmed = taskRun.startAnsweredMs === undefined;
      // A task that has started stops within `stopLimitMs`, and the long poll returns its end.
      await clock.sleep(
        isAcknowledged && !isStartUnconfirmed
          ? bounds.stopLimitMs
          : RETRY_DELAY_MS,
      );
      if (isAcknowledged && taskRuns.has(taskRun)) {
        await this.#options.requestReport();
      }
    }
  }

  /** As `#sendStop`; an outcome that cannot be processed is none. */
  async #trySendStop(taskRun: TaskRun): Promise<boolean> {
    try {
      return await this.#sendStop(taskRun);
    } catch (error) {
      const { log, target } = this.#options;
      const { task, run } = taskRun;
      reportFailure(log, BACKGROUND_ACTIVITY.STOP_TASK, error, {
        ...target,
        task,
        run,
      });
      return true;
    }
  }

  /** False when no further command is to be sent. */
  async #sendStop(taskRun: TaskRun): Promise<boolean> {
    const { workerPort, target, epoch, taskRuns } = this.#options;
    const { task, run } = taskRun;
    const command = { ...this.#createAddress(), task, run, epoch };
    const { incarnationCount } = taskRuns;
    const requestedMs = this.#options.clock.nowMs();
    const outcome = await workerPort.stop(target, command, COMMAND_TIMEOUT_MS);
    if (this.#options.isStopped()) return false;
    switch (outcome.kind) {
      case "stopped":
        // A stop binds only the incarnation that received it.
        if (incarnationCount === taskRuns.incarnationCount) {
          taskRun.stopAnsweredMs = this.#options.clock.nowMs();
        }
        return true;
      case "fenced":
        this.#options.onFenced();
        return false;
      case "wrong_life":
        taskRuns.dropReplaced(requestedMs);
        return true;
      case "restarted":
        await this.#options.requestReport();
        return true;
      case "unavailable":
        return true;
    }
  }

  /** The incarnation that reported last, and whether this entry may still send commands to it. */
  #createAddress(): IncarnationCommand {
    const { getIncarnationStartUnixMs, canAct, isStopped } = this.#options;
    return {
      incarnationStartUnixMs: getIncarnationStartUnixMs(),
      maySend: () => canAct() && !isStopped(),
    };
  }

  async #resolveUnansweredStart(taskRun: TaskRun): Promise<void> {
    const { taskRuns, requestReport, isStopped, onStartUnanswered } =
      this.#options;
    if (!taskRuns.has(taskRun)) return;
    await requestReport();
    if (isStopped() || !taskRuns.has(taskRun)) return;
    if (taskRun.startAnsweredMs === undefined) onStartUnanswered(taskRun);
  }
}
