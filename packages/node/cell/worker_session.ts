/**
 * One worker as the holder of the cell knows it: what it was told to run, what it reports, and
 * when leases there have surely ended. A task that was started is gone only when the worker lists
 * its end, when it is proven not to run there, or when its lease has lapsed on the slowest clock.
 */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import type { CellResources, TaskName } from "@coltsfootpond/policy";
import type {
  CellBounds,
  EndedTask,
  RenewOutcome,
  RunningTask,
  StartRefusal,
  WorkerOrders,
  WorkerRecord,
  WorkerStamp,
  WorkerTarget,
} from "@coltsfootpond/ports";
import type { CellLog } from "./log.ts";

/** Longest wait of one long poll; below the lease of a start, which the next poll extends. */
const POLL_WAIT_MS = 1_000;
const ORDER_TIMEOUT_MS = 500;
/** A start that is not answered by then is looked for, then stopped: many round trips. */
const START_TIMEOUT_MS = 250;
/** Lease of a start until the next renewal; short, so that an unanswered start is soon void. */
const START_LEASE_MS = 2_500;
const RETRY_PAUSE_MS = 120;
/** A worker answers at once while it lists ends that are not acknowledged: wait for the store. */
const STORED_WAIT_MS = 400;
/** Acknowledgements alone may wait this long for a renewal that carries them. */
const ACKNOWLEDGE_PAUSE_MS = 800;
/** A worker's clock may be this much slow (the users' protocol). */
const SLOWEST_CLOCK_RATE = 0.98;
const LAPSE_MARGIN_MS = 100;
const FAILURES_TO_UNREACHABLE = 2;
/** Ends that one report lists at most (the users' protocol); a full list may be cut. */
const MAXIMUM_LISTED_ENDS = 500;

/** One task that was started, or found, on a worker. */
export interface Member {
  readonly task: TaskName;
  readonly run: number;
  readonly need: CellResources;
  readonly stepKey: string;
  /** On the worker's clock, when the start was acknowledged or the run was first listed. */
  startedClockMs: number | undefined;
  /** The start was not answered: it may have been carried out or may still be. */
  isUnsure: boolean;
  isStopping: boolean;
  stoppedClockMs: number | undefined;
  checkpoint: string;
  percent: number;
  /** On the worker's clock: the report that first told this percentage, and the newest one. */
  percentSinceClockMs: number;
  percentSeenClockMs: number;
  readonly sentMs: number;
}

/** What a session tells the scheduler. */
export interface SessionListener {
  onStarted(session: WorkerSession, member: Member): void;
  onRefused(
    session: WorkerSession,
    member: Member,
    reason: StartRefusal | "wrong_life",
  ): void;
  /** A start was not answered and the worker does not list the run. */
  onUnsure(session: WorkerSession, member: Member): void;
  /** The run ended; listed by the worker. */
  onEnded(session: WorkerSession, ended: EndedTask, member?: Member): void;
  /** The run is gone without a listed end. */
  onGone(session: WorkerSession, member: Member, reason: string): void;
  /** The worker runs what this process did not start. */
  onStray(session: WorkerSession, running: RunningTask): void;
  onReport(session: WorkerSession): void;
  onFenced(session: WorkerSession): void;
}

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

function memberKey(task: TaskName, run: number): string {
  return `${task}#${run}`;
}

/** State and orders of one worker. */
export class WorkerSession {
  readonly target: WorkerTarget;
  readonly members = new Map<string, Member>();
  /** The worker's newest record; undefined when it is not listed. */
  record: WorkerRecord | undefined;
  /** Listed before the first start there, so that a new holder asks it. */
  isRostered = false;
  /** Not used for new work until then. */
  pausedUntilMs = 0;
  readonly createdMs: number;
  readonly #options: WorkerSessionOptions;
  #lifeUnixMs = 0;
  #clockSample:
    | { readonly workerClockMs: number; readonly receivedMs: number }
    | undefined;
  #leaseUntilClockMs = 0;
  #lastReportClockMs = Number.NEGATIVE_INFINITY;
  #processedEnd = 0;
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
    this.createdMs = options.clock.nowMs();
  }

  static create(options: WorkerSessionOptions): WorkerSession {
    return new WorkerSession(options);
  }

  get worker(): WorkerName {
    return this.target.worker;
  }

  /** Whether it has reported under this epoch. */
  get hasReported(): boolean {
    return this.#clockSample !== undefined;
  }

  get isReachable(): boolean {
    return this.hasReported && this.#failures < FAILURES_TO_UNREACHABLE;
  }

  /** Ends up to this number have been taken in by the scheduler. */
  get processedEnd(): number {
    return this.#processedEnd;
  }

  get hasMembers(): boolean {
    return this.members.size > 0;
  }

  /** Ends up to `number` are stored; the worker may forget them. */
  setPersisted(number: number, lifeUnixMs: number): void {
    if (lifeUnixMs !== this.#lifeUnixMs) return;
    this.#persistedEnd = Math.max(this.#persistedEnd, number);
    this.#onStored?.();
    this.wake();
  }

  get lifeUnixMs(): number {
    return this.#lifeUnixMs;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Takes the worker's record; a record of a new life voids what ran in the old one. */
  setRecord(record: WorkerRecord | undefined): void {
    this.record = record;
    if (record !== undefined) this.#checkLife(record.lifeUnixMs);
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
    this.members.set(memberKey(member.task, member.run), member);
  }

  /** Gives up a reservation of which no start was sent. */
  release(member: Member): void {
    this.#remove(member);
  }

  /** Orders a reserved task to start; the outcome comes through the listener. */
  async start(member: Member, payload: string): Promise<void> {
    const { orders, epoch, listener } = this.#options;
    const leaseUntilMs = this.#leaseFor(
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
        if (!this.#isPresent(member)) return;
        member.startedClockMs = outcome.stamp.workerClockMs;
        member.isUnsure = false;
        return listener.onStarted(this, member);
      case "refused":
        if (outcome.stamp !== undefined) this.#takeStamp(outcome.stamp);
        if (!this.#remove(member)) return;
        if (outcome.reason === "fenced") listener.onFenced(this);
        return listener.onRefused(this, member, outcome.reason);
      case "wrong_life":
        if (!this.#remove(member)) return;
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
    while (this.#isPresent(member) && !this.#isStopped) {
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
          return this.#voidAll("the worker has left its address");
        }
      }
      const isAcknowledged = member.stoppedClockMs !== undefined;
      // An end that was listed has come through the long poll by then.
      const isNeverRun = member.startedClockMs === undefined;
      await clock.sleep(
        isAcknowledged && !isNeverRun ? bounds.stopTimeoutMs : RETRY_PAUSE_MS,
      );
      if (isAcknowledged && this.#isPresent(member)) await this.quickPoll();
    }
  }

  /** Takes over a run that the worker reports and that this process did not start. */
  adopt(
    running: RunningTask,
    facts: { readonly need: CellResources; readonly stepKey: string },
  ): Member {
    const nowMs = this.#options.clock.nowMs();
    const reportClockMs = this.#lastReportClockMs;
    const member: Member = {
      ...facts,
      task: running.task,
      run: running.run,
      startedClockMs: reportClockMs,
      isUnsure: false,
      isStopping: false,
      stoppedClockMs: undefined,
      checkpoint: running.checkpoint,
      percent: running.percent,
      percentSinceClockMs: reportClockMs,
      percentSeenClockMs: reportClockMs,
      sentMs: nowMs,
    };
    this.members.set(memberKey(member.task, member.run), member);
    return member;
  }

  /** Gives up what can no longer run: called from time to time. */
  checkLapse(): void {
    if (!this.hasMembers || this.isReachable) return;
    if (this.isSurelyLapsed()) this.#voidAll("the lease has lapsed");
  }

  /** Whether every lease given to this worker has ended, however slow its clock. */
  isSurelyLapsed(): boolean {
    const { clock, bounds } = this.#options;
    const nowMs = clock.nowMs();
    if (this.#clockSample === undefined) {
      const longestMs = bounds.leaseMaximumMs / SLOWEST_CLOCK_RATE;
      return nowMs - this.createdMs > longestMs + LAPSE_MARGIN_MS;
    }
    const { workerClockMs, receivedMs } = this.#clockSample;
    const leastClockMs = workerClockMs +
      (nowMs - receivedMs) * SLOWEST_CLOCK_RATE;
    return leastClockMs > this.#leaseUntilClockMs + LAPSE_MARGIN_MS;
  }

  /** The worker has left for certain: nothing runs there any more. */
  markLeft(reason: string): void {
    this.#voidAll(reason);
  }

  #isPresent(member: Member): boolean {
    return this.members.get(memberKey(member.task, member.run)) === member;
  }

  #remove(member: Member): boolean {
    return this.#isPresent(member) &&
      this.members.delete(memberKey(member.task, member.run));
  }

  async #settleStart(member: Member): Promise<void> {
    if (!this.#isPresent(member)) return;
    member.isUnsure = true;
    await this.quickPoll();
    if (this.#isStopped || !this.#isPresent(member)) return;
    if (member.startedClockMs !== undefined) {
      member.isUnsure = false;
      return this.#options.listener.onStarted(this, member);
    }
    this.#options.listener.onUnsure(this, member);
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
      this.#processedEnd > this.#persistedEnd && !this.#isStopped &&
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
  async #poll(waitMs: number): Promise<boolean> {
    const { orders, epoch, canAct, clock } = this.#options;
    // Nothing is extended without the certainty of holding the scheduler's lease, nor for a worker
    // that did not answer: an unanswered renewal may have been carried out.
    const leaseUntilMs = this.#clockSample !== undefined && canAct() &&
        this.hasMembers && this.#failures === 0
      ? this.#leaseFor(this.#options.bounds.leaseMaximumMs)
      : undefined;
    const acknowledgedEnd = this.#persistedEnd;
    const lifeUnixMs = this.#lifeUnixMs;
    if (!canAct() && this.hasReported) {
      await clock.sleep(RETRY_PAUSE_MS);
      return true;
    }
    const outcome = await orders.renew(this.target, {
      epoch,
      leaseUntilMs,
      acknowledgedEnd,
      waitMs,
    }, waitMs + ORDER_TIMEOUT_MS);
    if (this.#isStopped) return true;
    if (outcome.kind === "report" && lifeUnixMs === this.#lifeUnixMs) {
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
        this.#voidAll("the worker has left its address");
        this.#failures++;
        return false;
      case "unavailable":
        this.#failures++;
        if (this.#failures === FAILURES_TO_UNREACHABLE) {
          log.warn("worker.unreachable", {
            worker: this.worker,
            reason: outcome.reason,
            members: this.members.size,
          });
        }
        return false;
    }
  }

  #takeReport(report: Extract<RenewOutcome, { kind: "report" }>): void {
    if (!this.#takeStamp(report.stamp)) return;
    const reportClockMs = report.stamp.workerClockMs;
    for (const ended of report.ended) this.#takeEnd(ended);
    if (reportClockMs < this.#lastReportClockMs) return;
    this.#lastReportClockMs = reportClockMs;
    const isCut = report.ended.length >= MAXIMUM_LISTED_ENDS;
    const listed = new Set<string>();
    for (const running of report.running) {
      listed.add(memberKey(running.task, running.run));
      this.#takeRunning(running, reportClockMs);
    }
    if (isCut) return;
    for (const [key, member] of [...this.members]) {
      if (!listed.has(key)) this.#checkAbsent(member, reportClockMs);
    }
  }

  #takeEnd(ended: EndedTask): void {
    if (ended.number <= this.#processedEnd) return;
    this.#processedEnd = ended.number;
    const key = memberKey(ended.task, ended.run);
    const member = this.members.get(key);
    this.members.delete(key);
    this.#options.listener.onEnded(this, ended, member);
  }

  #takeRunning(running: RunningTask, reportClockMs: number): void {
    const member = this.members.get(memberKey(running.task, running.run));
    if (member === undefined) {
      return this.#options.listener.onStray(this, running);
    }
    member.startedClockMs ??= reportClockMs;
    if (running.checkpoint !== "") member.checkpoint = running.checkpoint;
    const isFirst = member.percentSeenClockMs === 0;
    if (running.percent !== member.percent || isFirst) {
      member.percent = running.percent;
      member.percentSinceClockMs = reportClockMs;
    }
    member.percentSeenClockMs = reportClockMs;
  }

  /** A run that is neither listed as running nor as ended is gone once that is proven. */
  #checkAbsent(member: Member, reportClockMs: number): void {
    const provenClockMs = member.startedClockMs ?? member.stoppedClockMs;
    if (provenClockMs === undefined || provenClockMs >= reportClockMs) return;
    if (this.#remove(member)) {
      this.#options.listener.onGone(this, member, "not listed by the worker");
    }
  }

  /** False for an answer of an earlier life. */
  #takeStamp(stamp: WorkerStamp): boolean {
    this.#checkLife(stamp.lifeUnixMs);
    if (stamp.lifeUnixMs < this.#lifeUnixMs) return false;
    const isFirst = this.#clockSample === undefined;
    if (stamp.workerClockMs >= (this.#clockSample?.workerClockMs ?? 0)) {
      this.#clockSample = {
        workerClockMs: stamp.workerClockMs,
        receivedMs: this.#options.clock.nowMs(),
      };
    }
    if (isFirst) {
      // An earlier holder may have given the longest lease just before.
      this.#leaseUntilClockMs = stamp.workerClockMs +
        this.#options.bounds.leaseMaximumMs;
    }
    return true;
  }

  #checkLife(lifeUnixMs: number): void {
    if (lifeUnixMs === 0 || lifeUnixMs === this.#lifeUnixMs) return;
    const isNewLife = this.#lifeUnixMs !== 0;
    if (isNewLife && lifeUnixMs < this.#lifeUnixMs) return;
    this.#lifeUnixMs = lifeUnixMs;
    if (!isNewLife) return;
    this.#processedEnd = 0;
    this.#persistedEnd = 0;
    this.#acknowledgedEnd = 0;
    this.#clockSample = undefined;
    this.#lastReportClockMs = Number.NEGATIVE_INFINITY;
    this.#voidStarted("the worker began a new life");
    this.wake();
  }

  /** What surely ran in an earlier life is gone; unanswered starts may reach the new one. */
  #voidStarted(reason: string): void {
    for (const member of [...this.members.values()]) {
      if (member.startedClockMs === undefined) continue;
      if (this.#remove(member)) {
        this.#options.listener.onGone(this, member, reason);
      }
    }
  }

  #voidAll(reason: string): void {
    for (const member of [...this.members.values()]) {
      if (this.#remove(member)) {
        this.#options.listener.onGone(this, member, reason);
      }
    }
  }

  /** A lease end on the worker's clock, remembered for `isSurelyLapsed`. */
  #leaseFor(durationMs: number): number {
    const { workerClockMs, receivedMs } = this.#clockSample ??
      { workerClockMs: 0, receivedMs: 0 };
    const elapsedMs = this.#options.clock.nowMs() - receivedMs;
    const untilMs = Math.floor(workerClockMs + elapsedMs + durationMs);
    this.#leaseUntilClockMs = Math.max(this.#leaseUntilClockMs, untilMs);
    return untilMs;
  }
}
