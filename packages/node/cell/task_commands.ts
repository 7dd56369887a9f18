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
export const ORDER_TIMEOUT_MS = 500;
/** Between tries at a worker that did not answer. */
export const RETRY_PAUSE_MS = 120;

export interface TaskOrdersOptions {
  readonly target: WorkerTarget;
  readonly epoch: number;
  readonly orders: WorkerPort;
  readonly bounds: CellBounds;
  readonly clock: Clock;
  readonly book: WorkerTaskRuns;
  readonly leases: WorkerLeases;
  readonly canAct: () => boolean;
  readonly isStopped: () => boolean;
  /** Takes the life and the clock that an answer tells. */
  readonly takeStamp: (stamp: ResponseMetadata) => void;
  /** Asks for a report at once. */
  readonly askReport: () => Promise<void>;
  /** An order was sent: there is something to renew or to learn. */
  readonly onSent: () => void;
  readonly onRefused: (
    member: TaskRun,
    reason: StartRefusal | "wrong_life",
  ) => void;
  /** A start was not answered and the worker does not list the run. */
  readonly onUnsure: (member: TaskRun) => void;
  readonly onFenced: () => void;
}

/** Gives orders; what they lead to comes through the options. */
export class TaskCommands {
  readonly #options: TaskOrdersOptions;

  private constructor(options: TaskOrdersOptions) {
    this.#options = options;
  }

  static create(options: TaskOrdersOptions): TaskCommands {
    return new TaskCommands(options);
  }

  /** Orders a reserved task to start. */
  async start(member: TaskRun, payload: string): Promise<void> {
    const { orders, target, epoch, leases, bounds, book } = this.#options;
    const outcome = await orders.start(target, {
      task: member.task,
      run: member.run,
      payload,
      leaseUntilMs: leases.grant(
        Math.min(START_LEASE_MS, bounds.leaseMaximumMs),
      ),
      epoch,
      checkpoint: member.checkpoint,
    }, START_TIMEOUT_MS);
    if (this.#options.isStopped()) return;
    this.#options.onSent();
    switch (outcome.kind) {
      case "started":
        this.#options.takeStamp(outcome.metadata);
        if (!book.has(member)) return;
        member.startedClockMs = outcome.metadata.workerClockMs;
        return;
      case "refused":
        if (outcome.metadata !== undefined) {
          this.#options.takeStamp(outcome.metadata);
        }
        if (!book.remove(member)) return;
        if (outcome.reason === "fenced") this.#options.onFenced();
        return this.#options.onRefused(member, outcome.reason);
      case "wrong_life":
        if (!book.remove(member)) return;
        return this.#options.onRefused(member, "wrong_life");
      case "unavailable":
        return await this.#settleStart(member);
    }
  }

  /** Orders a run to stop, again until it is gone. */
  async stop(member: TaskRun): Promise<void> {
    if (member.isStopping) return;
    member.isStopping = true;
    const { book, clock, bounds, canAct, isStopped } = this.#options;
    while (book.has(member) && !isStopped()) {
      if (member.stoppedClockMs === undefined && canAct()) {
        if (!await this.#sendStop(member)) return;
      }
      const isAcknowledged = member.stoppedClockMs !== undefined;
      // An end that was listed has come through the long poll by then.
      const isNeverRun = member.startedClockMs === undefined;
      await clock.sleep(
        isAcknowledged && !isNeverRun ? bounds.stopLimitMs : RETRY_PAUSE_MS,
      );
      if (isAcknowledged && book.has(member)) await this.#options.askReport();
    }
  }

  /** False when nothing more is to be sent. */
  async #sendStop(member: TaskRun): Promise<boolean> {
    const { orders, target, epoch, book } = this.#options;
    const { task, run } = member;
    const order = { task, run, epoch };
    const outcome = await orders.stop(target, order, ORDER_TIMEOUT_MS);
    if (this.#options.isStopped()) return false;
    switch (outcome.kind) {
      case "stopped":
        this.#options.takeStamp(outcome.metadata);
        member.stoppedClockMs = outcome.metadata.workerClockMs;
        return true;
      case "fenced":
        this.#options.onFenced();
        return false;
      case "wrong_life":
        book.dropAll("the worker has left its address");
        return false;
      case "unavailable":
        return true;
    }
  }

  async #settleStart(member: TaskRun): Promise<void> {
    const { book, askReport, isStopped, onUnsure } = this.#options;
    if (!book.has(member)) return;
    await askReport();
    if (isStopped() || !book.has(member)) return;
    if (member.startedClockMs === undefined) onUnsure(member);
  }
}
