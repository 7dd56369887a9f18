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
  ORDER_TIMEOUT_MS,
  RETRY_PAUSE_MS,
  TaskCommands,
} from "./task_commands.ts";
import { WorkerLeases } from "./worker_leases.ts";

/** Longest wait of one long poll; below the lease of a start, which the next poll extends. */
const POLL_WAIT_MS = 1_000;
/** Acknowledgements alone may wait this long for a renewal that carries them. */
const ACKNOWLEDGE_PAUSE_MS = 800;

export interface WorkerSessionOptions {
  readonly target: WorkerTarget;
  readonly epoch: number;
  readonly orders: WorkerPort;
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
  readonly #book: WorkerTaskRuns;
  readonly #ends: EndAcknowledgements;
  readonly #reachability: Reachability;
  readonly #tasks: TaskCommands;
  #pausedUntilMs = 0;
  #isPolling = false;
  #isQuickPolling = false;
  #isStopped = false;

  private constructor(options: WorkerSessionOptions) {
    this.#options = options;
    this.target = options.target;
    this.#leases = WorkerLeases.create({
      clock: options.clock,
      leaseMaximumMs: options.bounds.leaseMaximumMs,
    });
    const { listener } = options;
    this.#book = WorkerTaskRuns.create({
      onEnded: (ended, member) => listener.onEnded(this, ended, member),
      onGone: (member, reason) => listener.onGone(this, member, reason),
      onStray: (running) => listener.onStray(this, running),
    });
    this.#ends = EndAcknowledgements.create(options.clock);
    this.#reachability = Reachability.create({
      worker: options.target.worker,
      log: options.log,
    });
    this.#tasks = TaskCommands.create({
      ...options,
      book: this.#book,
      leases: this.#leases,
      isStopped: () => this.#isStopped,
      takeStamp: (stamp) => this.#takeStamp(stamp),
      askReport: () => this.quickPoll(),
      onSent: () => this.wake(),
      onRefused: (member, reason) => listener.onRefused(this, member, reason),
      onUnsure: (member) => listener.onUnsure(this, member),
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
    return this.#leases.isKnown;
  }

  get isReachable(): boolean {
    return this.hasReported && this.#reachability.isReachable;
  }

  /** Ends up to this number have been taken in by the scheduler. */
  get processedEnd(): number {
    return this.#book.processedEnd;
  }

  get members(): readonly TaskRun[] {
    return this.#book.members;
  }

  get hasMembers(): boolean {
    return this.#book.size > 0;
  }

  /** Ends up to `number` are stored; the worker may forget them. */
  setPersisted(number: number, lifeUnixMs: number): void {
    if (lifeUnixMs !== this.lifeUnixMs) return;
    this.#ends.setStored(number);
    this.wake();
  }

  get lifeUnixMs(): number {
    return this.#leases.lifeUnixMs;
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
    if (record !== undefined) this.#takeLife(record.incarnationStartUnixMs);
  }

  /** Starts polling if there is something to renew, to learn or to acknowledge. */
  wake(): void {
    if (!this.#isPolling) void this.#pollLoop();
  }

  /** One report at once, beside a long poll that may be waiting. */
  async quickPoll(): Promise<void> {
    if (this.#isQuickPolling || this.#isStopped) return;
    this.#isQuickPolling = true;
    try {
      await this.#poll(0);
    } finally {
      this.#isQuickPolling = false;
    }
  }

  /** Takes room for a task whose start is sent later. */
  reserve(member: TaskRun): void {
    this.#book.add(member);
  }

  /** Gives up a reservation of which no start was sent. */
  release(member: TaskRun): void {
    this.#book.remove(member);
  }

  /** Orders a reserved task to start; the outcome comes through the listener. */
  start(member: TaskRun, payload: string): Promise<void> {
    return this.#tasks.start(member, payload);
  }

  /** Orders a run to stop, again until it is gone. */
  stopMember(member: TaskRun): Promise<void> {
    return this.#tasks.stop(member);
  }

  /** Takes over a run that the worker reports and that this process did not start. */
  adopt(
    running: RunningTask,
    facts: { readonly need: CellResources; readonly stepKey: string },
  ): TaskRun {
    return this.#book.adopt(running, facts);
  }

  /** Gives up what can no longer run: called from time to time. */
  checkLapse(): void {
    if (!this.hasMembers || this.isReachable) return;
    if (this.isSurelyLapsed()) this.#book.dropAll("the lease has lapsed");
  }

  /** Whether every lease given to this worker has ended. */
  isSurelyLapsed(): boolean {
    return this.#leases.isSurelyLapsed();
  }

  /** The worker has left for certain: nothing runs there any more. */
  markLeft(reason: string): void {
    this.#book.dropAll(reason);
  }

  async #pollLoop(): Promise<void> {
    this.#isPolling = true;
    try {
      while (!this.#isStopped && this.#needsPoll()) {
        const isIdle = !this.hasMembers;
        if (isIdle && this.hasReported) {
          await this.#options.clock.sleep(ACKNOWLEDGE_PAUSE_MS);
          if (!this.#needsPoll()) return;
        }
        await this.#ends.awaitStored(() =>
          this.#isStopped ? 0 : this.processedEnd
        );
        const isWaiting = this.hasMembers && this.#reachability.isAnswering;
        const isAnswered = await this.#poll(isWaiting ? POLL_WAIT_MS : 0);
        if (!isAnswered) await this.#options.clock.sleep(RETRY_PAUSE_MS);
      }
    } finally {
      this.#isPolling = false;
    }
  }

  #needsPoll(): boolean {
    if (!this.hasReported) return true;
    return this.hasMembers || this.#ends.isAcknowledgementDue;
  }

  /** True when the worker answered. */
  async #poll(longPollMs: number): Promise<boolean> {
    const { orders, epoch, canAct, clock } = this.#options;
    // Nothing is extended without the certainty of holding the scheduler's lease, nor for a worker
    // that did not answer: an unanswered renewal may have been carried out.
    const leaseUntilMs = this.hasReported && canAct() &&
        this.hasMembers && this.#reachability.isAnswering
      ? this.#leases.grant(this.#options.bounds.leaseMaximumMs)
      : undefined;
    const acknowledgedEnd = this.#ends.stored;
    const { lifeUnixMs } = this;
    if (!canAct() && this.hasReported) {
      await clock.sleep(RETRY_PAUSE_MS);
      return true;
    }
    const outcome = await orders.renew(this.target, {
      epoch,
      leaseUntilMs,
      acknowledgedSequence: acknowledgedEnd,
      longPollMs,
    }, longPollMs + ORDER_TIMEOUT_MS);
    if (this.#isStopped) return true;
    if (outcome.kind === "report" && lifeUnixMs === this.lifeUnixMs) {
      this.#ends.setAcknowledged(acknowledgedEnd);
    }
    return this.#takeOutcome(outcome);
  }

  #takeOutcome(outcome: RenewOutcome): boolean {
    const { listener } = this.#options;
    switch (outcome.kind) {
      case "report":
        this.#reachability.noteAnswer();
        this.#takeReport(outcome);
        listener.onReport(this);
        return true;
      case "fenced":
        listener.onFenced(this);
        return false;
      case "wrong_life":
        this.#book.dropAll("the worker has left its address");
        this.#reachability.noteFailure("another life", 0);
        return false;
      case "unavailable":
        this.#reachability.noteFailure(outcome.reason, this.#book.size);
        return false;
    }
  }

  #takeReport(report: Report): void {
    if (this.#takeStamp(report.metadata)) this.#book.takeReport(report);
  }

  /** False for an answer of an earlier life. */
  #takeStamp(stamp: ResponseMetadata): boolean {
    if (!this.#takeLife(stamp.incarnationStartUnixMs)) return false;
    this.#leases.takeClock(stamp);
    return true;
  }

  /** False for an earlier life. A new one knows nothing: its ends count anew. */
  #takeLife(lifeUnixMs: number): boolean {
    const news = this.#leases.takeLife(lifeUnixMs);
    if (news !== "new_life") return news === "current";
    this.#ends.reset();
    this.#book.beginLife();
    this.wake();
    return true;
  }
}
