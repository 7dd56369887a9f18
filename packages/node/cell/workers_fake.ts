/**
 * Workers in memory for the tests of the cell, on a manual clock: capacity, leases, runs that end,
 * ends that are listed until acknowledged, epochs, and calls that are lost or carried out late.
 */
import {
  brandId,
  type FailureDomainName,
  type ManualClock,
  type RackName,
  type ServiceName,
  type WorkerName,
} from "@coltsfootpond/common";
import type { RunEnd, TaskName } from "@coltsfootpond/policy";
import type {
  EndedTask,
  RenewCommand,
  RenewOutcome,
  ResponseMetadata,
  StartCommand,
  StartOutcome,
  StopCommand,
  StopOutcome,
  Unavailable,
  WorkerPort,
  WorkerRecord,
} from "@coltsfootpond/ports";

const UNANSWERED: Unavailable = {
  kind: "unavailable",
  effect: "lost",
  reason: "no answer",
};

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
  readonly record: WorkerRecord;
  readonly #clock: ManualClock;
  readonly #history: RunHistory[];
  readonly #runs = new Map<TaskName, Run>();
  readonly #stoppedRuns = new Map<TaskName, number>();
  #ends: EndedTask[] = [];
  #endNumber = 0;
  #epoch = 0;
  #leaseUntilMs = 0;
  /** Calls get no answer and are not carried out. */
  isDisconnected = false;
  /** Lists ends forever, as if every acknowledgement were lost. */
  keepsEnds = false;
  /** Runs make no progress. */
  isStalled = false;
  /** When set, starts get no answer and are carried out after this time. */
  startDelayMs: number | undefined;

  private constructor(
    name: string,
    clock: ManualClock,
    history: RunHistory[],
  ) {
    this.#clock = clock;
    this.#history = history;
    this.record = {
      worker: brandId<WorkerName>(name),
      service: brandId<ServiceName>("service"),
      address: `${name}:1`,
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
  }

  static create(
    name: string,
    clock: ManualClock,
    history: RunHistory[],
  ): WorkerFake {
    return new WorkerFake(name, clock, history);
  }

  get running(): readonly TaskName[] {
    return [...this.#runs.keys()];
  }

  /** Ends all runs when the lease has expired. */
  expireLease(): void {
    if (this.#clock.nowMs() < this.#leaseUntilMs) return;
    for (const { task, run } of this.#ends) {
      const entry = this.#findHistory(task, run);
      if (entry !== undefined) entry.mayRunAgain = true;
    }
    for (const task of [...this.#runs.keys()]) this.end(task, "lapsed");
  }

  end(task: TaskName, end: RunEnd): void {
    const run = this.#runs.get(task);
    if (run === undefined) return;
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
    if (this.startDelayMs !== undefined) {
      this.#clock.after(this.startDelayMs, () => void this.#runTask(command));
      return UNANSWERED;
    }
    return this.#runTask(command);
  }

  stop({ task, run, epoch }: StopCommand): StopOutcome {
    if (this.isDisconnected) return UNANSWERED;
    if (epoch < this.#epoch) return { kind: "fenced" };
    this.#stoppedRuns.set(
      task,
      Math.max(run, this.#stoppedRuns.get(task) ?? 0),
    );
    if ((this.#runs.get(task)?.run ?? Infinity) <= run) {
      this.end(task, "stopped");
    }
    return { kind: "stopped", metadata: this.#createMetadata() };
  }

  renew(command: RenewCommand): RenewOutcome {
    if (this.isDisconnected) return UNANSWERED;
    if (command.epoch < this.#epoch) return { kind: "fenced" };
    this.#epoch = command.epoch;
    this.#leaseUntilMs = Math.max(
      this.#leaseUntilMs,
      command.leaseUntilMs ?? 0,
    );
    this.#ends = this.#ends.filter(({ sequence }) =>
      this.keepsEnds || sequence > command.acknowledgedSequence
    );
    return {
      kind: "report",
      metadata: this.#createMetadata(),
      running: [...this.#runs.values()].map(({ task, run, startedMs }) => ({
        task,
        run,
        checkpoint: "",
        percent: this.isStalled
          ? 7
          : Math.min(99, (this.#clock.nowMs() - startedMs) / 1_000),
      })),
      ended: this.#ends,
    };
  }

  #runTask(command: StartCommand): StartOutcome {
    const metadata = this.#createMetadata();
    const refuse = (reason: "fenced" | "superseded" | "expired") =>
      ({ kind: "refused", reason, metadata }) as const;
    if (command.epoch < this.#epoch) return refuse("fenced");
    this.#epoch = command.epoch;
    if (command.leaseUntilMs <= this.#clock.nowMs()) return refuse("expired");
    if ((this.#stoppedRuns.get(command.task) ?? 0) >= command.run) {
      return refuse("superseded");
    }
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, command.leaseUntilMs);
    const startedMs = this.#clock.nowMs();
    const { task, run } = command;
    this.#runs.set(task, { task, run, startedMs });
    this.#history.push({
      worker: this.record.worker,
      task,
      run,
      startedMs,
    });
    return { kind: "started", metadata };
  }

  #createMetadata(): ResponseMetadata {
    return { workerClockMs: this.#clock.nowMs(), incarnationStartUnixMs: 1 };
  }
}

/**
 * Sends commands to fake workers. Answers take CALL_DURATION_MS, and long polls wait for an end.
 */
export function createWorkerPortFake(
  workers: ReadonlyMap<WorkerName, WorkerFake>,
  clock: ManualClock,
): WorkerPort {
  const CALL_DURATION_MS = 2;
  const get = (worker: WorkerName) => workers.get(worker)!;
  return {
    start: async ({ worker }, command, timeoutMs) => {
      await clock.sleep(CALL_DURATION_MS);
      const outcome = get(worker).start(command);
      if (outcome.kind === "unavailable") await clock.sleep(timeoutMs);
      return outcome;
    },
    stop: async ({ worker }, command, timeoutMs) => {
      await clock.sleep(CALL_DURATION_MS);
      const outcome = get(worker).stop(command);
      if (outcome.kind === "unavailable") await clock.sleep(timeoutMs);
      return outcome;
    },
    renew: async ({ worker }, command, timeoutMs) => {
      await clock.sleep(CALL_DURATION_MS);
      let outcome = get(worker).renew(command);
      const deadlineMs = clock.nowMs() + command.longPollMs;
      while (
        outcome.kind === "report" && outcome.ended.length === 0 &&
        clock.nowMs() < deadlineMs
      ) {
        await clock.sleep(CALL_DURATION_MS * 5);
        outcome = get(worker).renew({ ...command, leaseUntilMs: undefined });
      }
      if (outcome.kind === "unavailable") await clock.sleep(timeoutMs);
      return outcome;
    },
    forget: () => {},
  };
}
