/**
 * Workers in memory for the tests of the cell, on a manual clock: capacity, leases, runs that end,
 * ends that are listed until acknowledged, epochs, calls that are lost or carried out late,
 * processes that end or restart under the same name, and records in the store that expire without
 * heartbeats.
 */
import {
  brandId,
  type FailureDomainName,
  type ManualClock,
  type RackName,
  type ServiceName,
  type WorkerAddress,
  type WorkerName,
} from "@coltsfootpond/common";
import type { RunEnd, TaskName } from "@coltsfootpond/policy";
import type {
  EndedTask,
  RenewCommand,
  RenewOutcome,
  StartCommand,
  StartOutcome,
  StartRefusal,
  StopCommand,
  StopOutcome,
  Unavailable,
  WorkerRecord,
} from "@coltsfootpond/ports";

export const UNANSWERED: Unavailable = {
  kind: "unavailable",
  effect: "lost",
  reason: "no answer",
};
/** The process has ended, and its machine has closed or refused the connection. */
export const CONNECTION_LOST: Unavailable = {
  ...UNANSWERED,
  reason: "connection lost",
  isConnectionLost: true,
};

/** Period of the heartbeats that a worker writes to its record. */
const HEARTBEAT_PERIOD_MS = 1_500;
/** The store removes a record whose last heartbeat is older. */
const RECORD_LIFETIME_MS = 3 * HEARTBEAT_PERIOD_MS;

interface Run {
  readonly task: TaskName;
  readonly run: number;
  readonly startedMs: number;
}

/** One run of a task as the worker recorded it, for checks. */
export interface RunHistory {
  readonly worker: WorkerName;
  readonly task: TaskName;
  readonly run: number;
  readonly startedMs: number;
  endedMs?: number;
  end?: RunEnd;
  /** The lease expired before the end was acknowledged, so that the task may run again. */
  mayRunAgain?: boolean;
}

export class WorkerFake {
  /** The name, the address and the capacity, which restarts change only where a test says so. */
  readonly record: WorkerRecord;
  readonly #clock: ManualClock;
  readonly #leaseMaximumMs: number;
  readonly #history: RunHistory[];
  readonly #runs = new Map<TaskName, Run>();
  readonly #stoppedRuns = new Map<TaskName, number>();
  #ends: EndedTask[] = [];
  #endNumber = 0;
  #epoch = 0;
  /** On the worker's clock. */
  #leaseUntilMs = 0;
  #incarnationStartUnixMs = 1;
  readonly #earlierStartsUnixMs = new Set<number>();
  /** Identifies the present process, or the lack of one. */
  #processNumber = 1;
  /** When the worker's clock would have been 0. */
  #clockStartMs = 0;
  #storedRecord: WorkerRecord | undefined;
  #lastHeartbeatMs = Number.NEGATIVE_INFINITY;
  #isRecordRemoved = false;
  /** The process has ended and no other has started under the name. */
  #hasLeft = false;
  /** Calls get no answer and are not carried out. */
  isDisconnected = false;
  /** Raised when all open connections go silent, while new ones work. */
  silenceCount = 0;
  /** Calls are carried out, but their answers are lost. */
  losesAnswers = false;
  /** The worker writes no heartbeats to its record. */
  isCutFromStore = false;
  /** The row of the worker's record holds bytes that cannot be decoded. */
  isRecordUnreadable = false;
  /** Another worker answers at the address. */
  isReplaced = false;
  /** Rate of the worker's clock; the platform's protocol allows 0.98 to 1. */
  clockRate = 1;
  /** Lists ends forever, as if every acknowledgement were lost. */
  keepsEnds = false;
  /** A call that was received is carried out late even if another process runs by then. */
  carriesCallsOver = false;
  /** Runs make no progress. */
  isStalled = false;
  /** When set, runs end by themselves after this time. */
  taskDurationMs: number | undefined;
  /** Runs keep the progress that they have at this time. */
  stalledFromMs = Number.POSITIVE_INFINITY;
  /** When set, starts get no answer and are carried out after this time. */
  startDelayMs: number | undefined;
  /** When set, renewals get no answer and are carried out after this time. */
  renewalDelayMs: number | undefined;
  /** Time that the next call takes besides the least time; another call may overtake it. */
  drawTravelMs: () => number = () => 0;
  /** When set, stops get no answer and are carried out after this time. */
  stopDelayMs: number | undefined;
  /** Time that a task takes to stop. */
  drawStopDurationMs: () => number = () => 0;
  /** Why the worker rejects a start of the task; undefined if it accepts it. */
  findRejection: (task: TaskName) => StartRefusal | undefined = () => undefined;
  /** Whether a start of the task gets no answer and is not carried out. */
  isSilentTo: (task: TaskName) => boolean = () => false;
  /** Called after each start that the worker carries out. */
  onStarted: (task: TaskName) => void = () => {};
  /** Called after each heartbeat that the worker has written to its record. */
  onRecordWritten: () => void = () => {};
  /** Time that the next answer takes; another answer may overtake it. */
  drawAnswerDelayMs: () => number = () => 0;

  private constructor(
    name: string,
    clock: ManualClock,
    history: RunHistory[],
    leaseMaximumMs: number,
    address: string,
  ) {
    this.#clock = clock;
    this.#history = history;
    this.#leaseMaximumMs = leaseMaximumMs;
    this.record = {
      worker: brandId<WorkerName>(name),
      service: brandId<ServiceName>("service"),
      address: brandId<WorkerAddress>(address),
      failureDomain: brandId<FailureDomainName>("domain"),
      rack: brandId<RackName>("rack"),
      // Each worker has its name as a label, so that tests can place tasks.
      labels: [name],
      capacity: { cpuMilli: 8_000, memoryMib: 8_000, accelerators: 8 },
      isDraining: false,
      drainRemainingMs: undefined,
      warmUpRemainingMs: 0,
      heartbeat: 1,
      incarnationStartUnixMs: 1,
    };
    this.writeHeartbeat();
  }

  static create(
    name: string,
    clock: ManualClock,
    history: RunHistory[],
    leaseMaximumMs = Number.POSITIVE_INFINITY,
    address = `${name}:1`,
  ): WorkerFake {
    return new WorkerFake(name, clock, history, leaseMaximumMs, address);
  }

  /** The record as the store has it; undefined when it was removed. */
  get storedRecord(): WorkerRecord | undefined {
    const ageMs = this.#clock.nowMs() - this.#lastHeartbeatMs;
    const isExpired = ageMs >= RECORD_LIFETIME_MS;
    return isExpired || this.#isRecordRemoved ? undefined : this.#storedRecord;
  }

  /** Writes the record when a heartbeat is due; the first of an incarnation is due at once. */
  writeHeartbeat(): void {
    if (this.isCutFromStore || this.isReplaced || this.#hasLeft) return;
    const incarnationStartUnixMs = this.#incarnationStartUnixMs;
    const isFirst =
      this.#storedRecord?.incarnationStartUnixMs !== incarnationStartUnixMs;
    const nowMs = this.#clock.nowMs();
    if (!isFirst && nowMs - this.#lastHeartbeatMs < HEARTBEAT_PERIOD_MS) return;
    const heartbeat = isFirst ? 1 : this.#storedRecord!.heartbeat + 1;
    this.#storedRecord = { ...this.record, heartbeat, incarnationStartUnixMs };
    this.#lastHeartbeatMs = nowMs;
    this.#isRecordRemoved = false;
    this.onRecordWritten();
  }

  /**
   * The record is removed for an earlier incarnation, whose silence or planned stop the store applies
   * late; the next heartbeat writes it again.
   */
  removeRecord(): void {
    this.#isRecordRemoved = true;
  }

  /**
   * Ends the incarnation with all it knows and begins the next one under the same name. Calls that
   * were to be carried out late are lost with it. The next one names `startUnixMs`, by a wall clock
   * that may have been set back, or a time slightly later if an earlier one has named that already;
   * its monotonic clock first shows `workerClockMs`.
   */
  restart(
    startUnixMs = Math.max(
      this.#incarnationStartUnixMs + 1,
      this.#clock.nowMs(),
    ),
    workerClockMs = 0,
  ): void {
    this.#endProcess();
    this.#hasLeft = false;
    this.#clockStartMs = this.#clock.nowMs() - workerClockMs / this.clockRate;
    this.#earlierStartsUnixMs.add(this.#incarnationStartUnixMs);
    while (this.#earlierStartsUnixMs.has(startUnixMs)) startUnixMs++;
    this.#incarnationStartUnixMs = startUnixMs;
  }

  /** Ends the process; a planned end removes the record at once. */
  leave(isRecordRemoved: boolean): void {
    this.#endProcess();
    this.#hasLeft = true;
    if (isRecordRemoved) this.#storedRecord = undefined;
  }

  /** Whether its process has ended and none has started since. */
  get hasLeft(): boolean {
    return this.#hasLeft;
  }

  /** Identifies the process. */
  get processNumber(): number {
    return this.#processNumber;
  }

  #endProcess(): void {
    this.#processNumber++;
    for (const { task, run } of this.#runs.values()) {
      const entry = this.#findHistory(task, run);
      if (entry !== undefined) entry.endedMs = this.#clock.nowMs();
    }
    this.#markEndsLost();
    this.#runs.clear();
    this.#stoppedRuns.clear();
    this.#ends = [];
    this.#endNumber = 0;
    this.#epoch = 0;
    this.#leaseUntilMs = 0;
  }

  #markEndsLost(): void {
    for (const { task, run } of this.#ends) {
      const entry = this.#findHistory(task, run);
      if (entry !== undefined) entry.mayRunAgain = true;
    }
  }

  get running(): readonly TaskName[] {
    return [...this.#runs.keys()];
  }

  /** Ends all runs when the lease has expired. */
  expireLease(): void {
    if (this.workerClockMs < this.#leaseUntilMs) return;
    this.#markEndsLost();
    for (const task of [...this.#runs.keys()]) this.end(task, "lapsed");
  }

  /** Ends a run of the task; by default the present one. */
  end(task: TaskName, end: RunEnd, runNumber?: number): void {
    const run = this.#runs.get(task);
    if (run === undefined || run.run !== (runNumber ?? run.run)) return;
    this.#runs.delete(task);
    this.#ends.push({
      sequence: ++this.#endNumber,
      task,
      run: run.run,
      end,
      checkpoint: "",
    });
    const entry = this.#findHistory(task, run.run);
    if (entry !== undefined) {
      entry.endedMs = this.#clock.nowMs();
      entry.end = end;
    }
  }

  #findHistory(task: TaskName, run: number): RunHistory | undefined {
    return this.#history.find((other) =>
      other.task === task && other.run === run &&
      other.worker === this.record.worker
    );
  }

  start(command: StartCommand): StartOutcome {
    if (this.isDisconnected) return UNANSWERED;
    if (this.isReplaced) return { kind: "wrong_life" };
    if (this.#hasLeft || this.isSilentTo(command.task)) return UNANSWERED;
    if (this.startDelayMs !== undefined) {
      return this.#callLate(this.startDelayMs, () => this.#runTask(command));
    }
    return this.#answer(this.#runTask(command));
  }

  stop(command: StopCommand): StopOutcome {
    if (this.isDisconnected) return UNANSWERED;
    if (this.isReplaced) return { kind: "wrong_life" };
    if (this.#hasLeft) return UNANSWERED;
    if (this.stopDelayMs !== undefined) {
      return this.#callLate(this.stopDelayMs, () => this.#stopTask(command));
    }
    return this.#answer(this.#stopTask(command));
  }

  #stopTask({ task, run, epoch }: StopCommand): StopOutcome {
    if (epoch < this.#epoch) return { kind: "fenced" };
    this.#epoch = epoch;
    this.#stoppedRuns.set(
      task,
      Math.max(run, this.#stoppedRuns.get(task) ?? 0),
    );
    const present = this.#runs.get(task)?.run;
    if (present !== undefined && present <= run) {
      this.#endStopped(task, present);
    }
    return { kind: "stopped" };
  }

  renew(command: RenewCommand): RenewOutcome {
    if (this.isDisconnected) return UNANSWERED;
    if (this.isReplaced) return { kind: "wrong_life" };
    if (this.#hasLeft) return UNANSWERED;
    if (this.renewalDelayMs !== undefined) {
      return this.#callLate(
        this.renewalDelayMs,
        () => this.#applyRenewal(command),
      );
    }
    return this.#applyRenewal(command);
  }

  #applyRenewal(command: RenewCommand): RenewOutcome {
    if (command.epoch < this.#epoch) return { kind: "fenced" };
    this.#epoch = command.epoch;
    this.#extendLease(command.leaseUntilMs ?? 0);
    this.#ends = this.#ends.filter(({ sequence }) =>
      this.keepsEnds || sequence > command.acknowledgedSequence
    );
    return this.#answer({
      kind: "report",
      metadata: {
        workerClockMs: this.workerClockMs,
        incarnationStartUnixMs: this.#incarnationStartUnixMs,
      },
      running: [...this.#runs.values()].map(({ task, run, startedMs }) => ({
        task,
        run,
        checkpoint: "",
        percent: this.#computePercent(startedMs),
      })),
      ended: this.#ends,
    });
  }

  #computePercent(startedMs: number): number {
    if (this.isStalled) return 7;
    const elapsedMs = this.#computeProgressMs(startedMs);
    return this.taskDurationMs === undefined
      ? Math.min(99, elapsedMs / 1_000)
      : Math.min(99, Math.floor(100 * elapsedMs / this.taskDurationMs));
  }

  #computeProgressMs(startedMs: number): number {
    const untilMs = Math.min(this.#clock.nowMs(), this.stalledFromMs);
    return Math.max(0, untilMs - startedMs);
  }

  /** Ends the runs that have lasted for `taskDurationMs`. */
  endFinished(): void {
    if (this.taskDurationMs === undefined || this.isStalled) return;
    for (const { task, startedMs } of [...this.#runs.values()]) {
      const elapsedMs = this.#computeProgressMs(startedMs);
      if (elapsedMs >= this.taskDurationMs) this.end(task, "done");
    }
  }

  #endStopped(task: TaskName, run: number): void {
    const durationMs = this.drawStopDurationMs();
    if (durationMs === 0) return this.end(task, "stopped", run);
    const process = this.#processNumber;
    this.#clock.after(durationMs, () => {
      if (process === this.#processNumber) this.end(task, "stopped", run);
    });
  }

  /** Carries the call out after `delayMs`, if the process still runs then or calls outlast it. */
  #callLate(delayMs: number, call: () => void): Unavailable {
    const process = this.#processNumber;
    this.#clock.after(delayMs, () => {
      const isCurrent = process === this.#processNumber;
      if (!this.#hasLeft && (isCurrent || this.carriesCallsOver)) call();
    });
    return UNANSWERED;
  }

  #runTask(command: StartCommand): StartOutcome {
    const refuse = (reason: StartRefusal) =>
      ({ kind: "refused", reason }) as const;
    if (command.epoch < this.#epoch) return refuse("fenced");
    this.#epoch = command.epoch;
    if (command.leaseUntilMs <= this.workerClockMs) return refuse("expired");
    if ((this.#stoppedRuns.get(command.task) ?? 0) >= command.run) {
      return refuse("superseded");
    }
    const rejection = this.findRejection(command.task);
    if (rejection !== undefined) return refuse(rejection);
    this.#extendLease(command.leaseUntilMs);
    const startedMs = this.#clock.nowMs();
    const { task, run } = command;
    this.#runs.set(task, { task, run, startedMs });
    this.#history.push({
      worker: this.record.worker,
      task,
      run,
      startedMs,
    });
    this.onStarted(task);
    return { kind: "started" };
  }

  /** The worker's monotonic clock. */
  get workerClockMs(): number {
    return (this.#clock.nowMs() - this.#clockStartMs) * this.clockRate;
  }

  /** A longer lease than the maximum is shortened to it. */
  #extendLease(leaseUntilMs: number): void {
    this.#leaseUntilMs = Math.max(
      this.#leaseUntilMs,
      Math.min(leaseUntilMs, this.workerClockMs + this.#leaseMaximumMs),
    );
  }

  #answer<Outcome>(outcome: Outcome): Outcome | Unavailable {
    return this.losesAnswers ? UNANSWERED : outcome;
  }
}
