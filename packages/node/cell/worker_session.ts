/**
 * One worker as the holder of the cell knows it: what it was told to run, what it reports, and
 * when leases there have surely ended. A task that was started is gone only when the worker lists
 * its end, when it is proven not to run there, or when its lease has lapsed on the slowest clock.
 */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import type { CellResources } from "@coltsfootpond/policy";
import type {
  CellBounds,
  RenewOutcome,
  ResponseMetadata,
  RunningTask,
  WorkerPort,
  WorkerRecord,
  WorkerTarget,
} from "@coltsfootpond/ports";
import type { CellLog } from "./log.ts";
import type { SessionListener, TaskRun } from "./task_run.ts";
import { type Report, WorkerTaskRuns } from "./worker_task_runs.ts";
import { Reachability } from "./reachability.ts";
import { EndAcknowledgements } from "./end_acknowledgements.ts";
import {
  COMMAND_TIMEOUT_MS,
  RETRY_DELAY_MS,
  TaskCommands,
} from "./task_commands.ts";
import { WorkerLeases } from "./worker_leases.ts";

/** Longest wait of one long poll; below the lease of a start, which the next poll extends. */
const LONG_POLL_MS = 1_000;
/** Acknowledgements alone may wait this long for a renewal that carries them. */
const ACKNOWLEDGE_DELAY_MS = 800;

export interface WorkerSessionOptions {
  readonly target: WorkerTarget;
  readonly epoch: number;
  readonly workerPort: WorkerPort;
  readonly bounds: CellBounds;
  readonly clock: Clock;
  readonly log: CellLog;
  readonly listener: SessionListener;
  readonly canAct: () => boolean;
}

/** State and orders of one worker. */
export class WorkerSession {
  readonly target: WorkerTarget;
  /** The worker's newest record; undefined when it is not listed. */
  record: WorkerRecord | undefined;
  /** Listed before the first start there, so that a new holder asks it. */
  isRostered = false;
  readonly #options: WorkerSessionOptions;
  readonly #leases: WorkerLeases;
  readonly #taskRuns: WorkerTaskRuns;
  readonly #ends: EndAcknowledgements;
  readonly #reachability: Reachability;
  readonly #commands: TaskCommands;
  #pausedUntilMs = 0;
  #isPolling = false;
  #isPollingNow = false;
  #isStopped = false;

  private constructor(options: WorkerSessionOptions) {
    this.#options = options;
    this.target = options.target;
    this.#leases = WorkerLeases.create({
      clock: options.clock,
      leaseMaximumMs: options.bounds.leaseMaximumMs,
    });
    const { listener } = options;
    this.#taskRuns = WorkerTaskRuns.create({
      onEnded: (ended, taskRun) => listener.onEnded(this, ended, taskRun),
      onGone: (taskRun, reason) => listener.onGone(this, taskRun, reason),
      onStray: (running) => listener.onStray(this, running),
    });
    this.#ends = EndAcknowledgements.create(options.clock);
    this.#reachability = Reachability.create({
      worker: options.target.worker,
      log: options.log,
    });
    this.#commands = TaskCommands.create({
      ...options,
      taskRuns: this.#taskRuns,
      leases: this.#leases,
      isStopped: () => this.#isStopped,
      applyMetadata: (metadata) => this.#applyMetadata(metadata),
      requestReport: () => this.pollNow(),
      onSent: () => this.startPolling(),
      onRefused: (taskRun, reason) => listener.onRefused(this, taskRun, reason),
      onStartUnanswered: (taskRun) => listener.onStartUnanswered(this, taskRun),
      onFenced: () => listener.onFenced(this),
    });
  }

  static create(options: WorkerSessionOptions): WorkerSession {
    return new WorkerSession(options);
  }

  get worker(): WorkerName {
    return this.target.worker;
  }

  /** Whether it has reported under this epoch. */
  get hasReported(): boolean {
    return this.#leases.isClockKnown;
  }

  get isReachable(): boolean {
    return this.hasReported && this.#reachability.isReachable;
  }

  /** Ends up to this number have been taken in by the scheduler. */
  get processedSequence(): number {
    return this.#taskRuns.processedSequence;
  }

  get taskRuns(): readonly TaskRun[] {
    return this.#taskRuns.all;
  }

  get hasTaskRuns(): boolean {
    return this.#taskRuns.size > 0;
  }

  /** Ends up to `number` are stored; the worker may forget them. */
  setEndsStored(number: number, incarnationStartUnixMs: number): void {
    if (incarnationStartUnixMs !== this.incarnationStartUnixMs) return;
    this.#ends.setStored(number);
    this.startPolling();
  }

  get incarnationStartUnixMs(): number {
    return this.#leases.incarnationStartUnixMs;
  }

  /** Gives it no new work for a while. */
  pause(durationMs: number): void {
    this.#pausedUntilMs = this.#options.clock.nowMs() + durationMs;
  }

  get isPaused(): boolean {
    return this.#options.clock.nowMs() < this.#pausedUntilMs;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Takes the worker's record; a record of a new life voids what ran in the old one. */
  setRecord(record: WorkerRecord | undefined): void {
    this.record = record;
    if (record !== undefined) {
      this.#applyIncarnation(record.incarnationStartUnixMs);
    }
  }

  /** Starts polling if there is something to renew, to learn or to acknowledge. */
  startPolling(): void {
    if (!this.#isPolling) void this.#pollLoop();
  }

  /** One report at once, beside a long poll that may be waiting. */
  async pollNow(): Promise<void> {
    if (this.#isPollingNow || this.#isStopped) return;
    this.#isPollingNow = true;
    try {
      await this.#poll(0);
    } finally {
      this.#isPollingNow = false;
    }
  }

  /** Takes room for a task whose start is sent later. */
  reserve(taskRun: TaskRun): void {
    this.#taskRuns.add(taskRun);
  }

  /** Gives up a reservation of which no start was sent. */
  release(taskRun: TaskRun): void {
    this.#taskRuns.remove(taskRun);
  }

  /** Orders a reserved task to start; the outcome comes through the listener. */
  start(taskRun: TaskRun, payload: string): Promise<void> {
    return this.#commands.start(taskRun, payload);
  }

  /** Orders a run to stop, again until it is gone. */
  stopTaskRun(taskRun: TaskRun): Promise<void> {
    return this.#commands.stop(taskRun);
  }

  /** Takes over a run that the worker reports and that this process did not start. */
  adopt(
    running: RunningTask,
    step: { readonly need: CellResources; readonly stepKey: string },
  ): TaskRun {
    return this.#taskRuns.adopt(running, step);
  }

  /** Gives up what can no longer run: called from time to time. */
  dropIfExpired(): void {
    if (!this.hasTaskRuns || this.isReachable) return;
    if (this.haveLeasesExpired()) {
      this.#taskRuns.dropAll("the lease has lapsed");
    }
  }

  /** Whether every lease given to this worker has ended. */
  haveLeasesExpired(): boolean {
    return this.#leases.haveLeasesExpired();
  }

  /** The worker has left for certain: nothing runs there any more. */
  markLeft(reason: string): void {
    this.#taskRuns.dropAll(reason);
  }

  async #pollLoop(): Promise<void> {
    this.#isPolling = true;
    try {
      while (!this.#isStopped && this.#needsPoll()) {
        const isIdle = !this.hasTaskRuns;
        if (isIdle && this.hasReported) {
          await this.#options.clock.sleep(ACKNOWLEDGE_DELAY_MS);
          if (!this.#needsPoll()) return;
        }
        await this.#ends.awaitStored(() =>
          this.#isStopped ? 0 : this.processedSequence
        );
        const isWaiting = this.hasTaskRuns && this.#reachability.isAnswering;
        const isAnswered = await this.#poll(isWaiting ? LONG_POLL_MS : 0);
        if (!isAnswered) await this.#options.clock.sleep(RETRY_DELAY_MS);
      }
    } finally {
      this.#isPolling = false;
    }
  }

  #needsPoll(): boolean {
    if (!this.hasReported) return true;
    return this.hasTaskRuns || this.#ends.isAcknowledgementDue;
  }

  /** True when the worker answered. */
  async #poll(longPollMs: number): Promise<boolean> {
    const { workerPort, epoch, canAct, clock } = this.#options;
    // Nothing is extended without the certainty of holding the scheduler's lease, nor for a worker
    // that did not answer: an unanswered renewal may have been carried out.
    const leaseUntilMs = this.hasReported && canAct() &&
        this.hasTaskRuns && this.#reachability.isAnswering
      ? this.#leases.grant(this.#options.bounds.leaseMaximumMs)
      : undefined;
    const acknowledgedEnd = this.#ends.stored;
    const { incarnationStartUnixMs } = this;
    if (!canAct() && this.hasReported) {
      await clock.sleep(RETRY_DELAY_MS);
      return true;
    }
    const outcome = await workerPort.renew(this.target, {
      epoch,
      leaseUntilMs,
      acknowledgedSequence: acknowledgedEnd,
      longPollMs,
    }, longPollMs + COMMAND_TIMEOUT_MS);
    if (this.#isStopped) return true;
    if (
      outcome.kind === "report" &&
      incarnationStartUnixMs === this.incarnationStartUnixMs
    ) {
      this.#ends.setAcknowledged(acknowledgedEnd);
    }
    return this.#applyOutcome(outcome);
  }

  #applyOutcome(outcome: RenewOutcome): boolean {
    const { listener } = this.#options;
    switch (outcome.kind) {
      case "report":
        this.#reachability.recordAnswer();
        this.#applyReport(outcome);
        listener.onReport(this);
        return true;
      case "fenced":
        listener.onFenced(this);
        return false;
      case "wrong_life":
        this.#taskRuns.dropAll("the worker has left its address");
        this.#reachability.recordFailure("another life", 0);
        return false;
      case "unavailable":
        this.#reachability.recordFailure(outcome.reason, this.#taskRuns.size);
        return false;
    }
  }

  #applyReport(report: Report): void {
    if (this.#applyMetadata(report.metadata)) {
      this.#taskRuns.applyReport(report);
    }
  }

  /** False for an answer of an earlier life. */
  #applyMetadata(metadata: ResponseMetadata): boolean {
    if (!this.#applyIncarnation(metadata.incarnationStartUnixMs)) return false;
    this.#leases.applyClock(metadata);
    return true;
  }

  /** False for an earlier life. A new one knows nothing: its ends count anew. */
  #applyIncarnation(incarnationStartUnixMs: number): boolean {
    const news = this.#leases.applyIncarnation(incarnationStartUnixMs);
    if (news !== "new_life") return news === "current";
    this.#ends.reset();
    this.#taskRuns.beginIncarnation();
    this.startPolling();
    return true;
  }
}
