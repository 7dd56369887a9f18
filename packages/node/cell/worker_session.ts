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
  RunningTask,
  WorkerOrders,
  WorkerRecord,
  WorkerStamp,
  WorkerTarget,
} from "@coltsfootpond/ports";
import type { CellLog } from "./log.ts";
import type { Member, SessionListener } from "./member.ts";
import { MemberBook, type Report } from "./member_book.ts";
import { WorkerLeases } from "./worker_leases.ts";

/** Longest wait of one long poll; below the lease of a start, which the next poll extends. */
const POLL_WAIT_MS = 1_000;
/** Beyond the wait of a long poll: many round trips to a worker. */
const ORDER_TIMEOUT_MS = 500;
/** A start that is not answered by then is looked for, then stopped: many round trips. */
const START_TIMEOUT_MS = 250;
/** Lease of a start until the next renewal; short, so that an unanswered start is soon void. */
const START_LEASE_MS = 2_500;
/** Between tries at a worker that did not answer. */
const RETRY_PAUSE_MS = 120;
/** A worker answers at once while it lists ends that are not acknowledged: wait for the store. */
const STORED_WAIT_MS = 400;
/** Acknowledgements alone may wait this long for a renewal that carries them. */
const ACKNOWLEDGE_PAUSE_MS = 800;
/** One unanswered call happens to sound workers, too. */
const FAILURES_TO_UNREACHABLE = 2;

export interface WorkerSessionOptions {
  readonly target: WorkerTarget;
  readonly epoch: number;
  readonly orders: WorkerOrders;
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
  /** Not used for new work until then. */
  pausedUntilMs = 0;
  readonly #options: WorkerSessionOptions;
  readonly #leases: WorkerLeases;
  readonly #book: MemberBook;
  #persistedEnd = 0;
  #acknowledgedEnd = 0;
  #failures = 0;
  #onStored: (() => void) | undefined;
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
    this.#book = MemberBook.create({
      onEnded: (ended, member) => listener.onEnded(this, ended, member),
      onGone: (member, reason) => listener.onGone(this, member, reason),
      onStray: (running) => listener.onStray(this, running),
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
    return this.hasReported && this.#failures < FAILURES_TO_UNREACHABLE;
  }

  /** Ends up to this number have been taken in by the scheduler. */
  get processedEnd(): number {
    return this.#book.processedEnd;
  }

  get members(): readonly Member[] {
    return this.#book.members;
  }

  get hasMembers(): boolean {
    return this.#book.size > 0;
  }

  /** Ends up to `number` are stored; the worker may forget them. */
  setPersisted(number: number, lifeUnixMs: number): void {
    if (lifeUnixMs !== this.lifeUnixMs) return;
    this.#persistedEnd = Math.max(this.#persistedEnd, number);
    this.#onStored?.();
    this.wake();
  }

  get lifeUnixMs(): number {
    return this.#leases.lifeUnixMs;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Takes the worker's record; a record of a new life voids what ran in the old one. */
  setRecord(record: WorkerRecord | undefined): void {
    this.record = record;
    if (record !== undefined) this.#takeLife(record.lifeUnixMs);
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
  reserve(member: Member): void {
    this.#book.add(member);
  }

  /** Gives up a reservation of which no start was sent. */
  release(member: Member): void {
    this.#book.remove(member);
  }

  /** Orders a reserved task to start; the outcome comes through the listener. */
  async start(member: Member, payload: string): Promise<void> {
    const { orders, epoch, listener } = this.#options;
    const leaseUntilMs = this.#leases.grant(
      Math.min(START_LEASE_MS, this.#options.bounds.leaseMaximumMs),
    );
    const outcome = await orders.start(this.target, {
      task: member.task,
      run: member.run,
      payload,
      leaseUntilMs,
      epoch,
      checkpoint: member.checkpoint,
    }, START_TIMEOUT_MS);
    if (this.#isStopped) return;
    this.wake();
    switch (outcome.kind) {
      case "started":
        this.#takeStamp(outcome.stamp);
        if (!this.#book.has(member)) return;
        member.startedClockMs = outcome.stamp.workerClockMs;
        return;
      case "refused":
        if (outcome.stamp !== undefined) this.#takeStamp(outcome.stamp);
        if (!this.#book.remove(member)) return;
        if (outcome.reason === "fenced") listener.onFenced(this);
        return listener.onRefused(this, member, outcome.reason);
      case "wrong_life":
        if (!this.#book.remove(member)) return;
        return listener.onRefused(this, member, "wrong_life");
      case "unavailable":
        return await this.#settleStart(member);
    }
  }

  /** Orders a run to stop, again until it is gone. */
  async stopMember(member: Member): Promise<void> {
    if (member.isStopping) return;
    member.isStopping = true;
    const { orders, epoch, clock, bounds, canAct, listener } = this.#options;
    while (this.#book.has(member) && !this.#isStopped) {
      if (member.stoppedClockMs === undefined && canAct()) {
        const { task, run } = member;
        const outcome = await orders.stop(
          this.target,
          { task, run, epoch },
          ORDER_TIMEOUT_MS,
        );
        if (this.#isStopped) return;
        if (outcome.kind === "stopped") {
          this.#takeStamp(outcome.stamp);
          member.stoppedClockMs = outcome.stamp.workerClockMs;
        } else if (outcome.kind === "fenced") {
          return listener.onFenced(this);
        } else if (outcome.kind === "wrong_life") {
          return this.#book.dropAll("the worker has left its address");
        }
      }
      const isAcknowledged = member.stoppedClockMs !== undefined;
      // An end that was listed has come through the long poll by then.
      const isNeverRun = member.startedClockMs === undefined;
      await clock.sleep(
        isAcknowledged && !isNeverRun ? bounds.stopLimitMs : RETRY_PAUSE_MS,
      );
      if (isAcknowledged && this.#book.has(member)) await this.quickPoll();
    }
  }

  /** Takes over a run that the worker reports and that this process did not start. */
  adopt(
    running: RunningTask,
    facts: { readonly need: CellResources; readonly stepKey: string },
  ): Member {
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

  async #settleStart(member: Member): Promise<void> {
    if (!this.#book.has(member)) return;
    await this.quickPoll();
    if (this.#isStopped || !this.#book.has(member)) return;
    if (member.startedClockMs === undefined) {
      this.#options.listener.onUnsure(this, member);
    }
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
        await this.#awaitStored();
        const isWaiting = this.hasMembers && this.#failures === 0;
        const isAnswered = await this.#poll(isWaiting ? POLL_WAIT_MS : 0);
        if (!isAnswered) await this.#options.clock.sleep(RETRY_PAUSE_MS);
      }
    } finally {
      this.#isPolling = false;
    }
  }

  async #awaitStored(): Promise<void> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + STORED_WAIT_MS;
    while (
      this.processedEnd > this.#persistedEnd && !this.#isStopped &&
      clock.nowMs() < untilMs
    ) {
      await new Promise<void>((resolve) => {
        this.#onStored = resolve;
        clock.after(untilMs - clock.nowMs(), resolve);
      });
    }
  }

  #needsPoll(): boolean {
    if (!this.hasReported) return true;
    return this.hasMembers || this.#persistedEnd > this.#acknowledgedEnd;
  }

  /** True when the worker answered. */
  async #poll(longPollMs: number): Promise<boolean> {
    const { orders, epoch, canAct, clock } = this.#options;
    // Nothing is extended without the certainty of holding the scheduler's lease, nor for a worker
    // that did not answer: an unanswered renewal may have been carried out.
    const leaseUntilMs = this.hasReported && canAct() &&
        this.hasMembers && this.#failures === 0
      ? this.#leases.grant(this.#options.bounds.leaseMaximumMs)
      : undefined;
    const acknowledgedEnd = this.#persistedEnd;
    const { lifeUnixMs } = this;
    if (!canAct() && this.hasReported) {
      await clock.sleep(RETRY_PAUSE_MS);
      return true;
    }
    const outcome = await orders.renew(this.target, {
      epoch,
      leaseUntilMs,
      acknowledgedEnd,
      longPollMs,
    }, longPollMs + ORDER_TIMEOUT_MS);
    if (this.#isStopped) return true;
    if (outcome.kind === "report" && lifeUnixMs === this.lifeUnixMs) {
      this.#acknowledgedEnd = Math.max(this.#acknowledgedEnd, acknowledgedEnd);
    }
    return this.#takeOutcome(outcome);
  }

  #takeOutcome(outcome: RenewOutcome): boolean {
    const { listener, log } = this.#options;
    switch (outcome.kind) {
      case "report":
        if (this.#failures >= FAILURES_TO_UNREACHABLE) {
          log.info("worker.reachable", { worker: this.worker });
        }
        this.#failures = 0;
        this.#takeReport(outcome);
        listener.onReport(this);
        return true;
      case "fenced":
        listener.onFenced(this);
        return false;
      case "wrong_life":
        this.#book.dropAll("the worker has left its address");
        this.#failures++;
        return false;
      case "unavailable":
        this.#failures++;
        if (this.#failures === FAILURES_TO_UNREACHABLE) {
          log.warn("worker.unreachable", {
            worker: this.worker,
            reason: outcome.reason,
            members: this.#book.size,
          });
        }
        return false;
    }
  }

  #takeReport(report: Report): void {
    if (this.#takeStamp(report.stamp)) this.#book.takeReport(report);
  }

  /** False for an answer of an earlier life. */
  #takeStamp(stamp: WorkerStamp): boolean {
    if (!this.#takeLife(stamp.lifeUnixMs)) return false;
    this.#leases.takeClock(stamp);
    return true;
  }

  /** False for an earlier life. A new one knows nothing: its ends count anew. */
  #takeLife(lifeUnixMs: number): boolean {
    const news = this.#leases.takeLife(lifeUnixMs);
    if (news !== "new_life") return news === "current";
    this.#persistedEnd = 0;
    this.#acknowledgedEnd = 0;
    this.#book.beginLife();
    this.wake();
    return true;
  }
}
