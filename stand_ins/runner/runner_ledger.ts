/** Records what a runner has run, to be compared with the answers that callers received. */

/** One execution of a request. Times are in milliseconds of the runner's clock. */
export interface RunnerExecution {
  readonly requestId: string;
  readonly attemptId: string;
  readonly service: string;
  readonly startedMs: number;
  endedMs: number | undefined;
}

/** Counters since the start of the runner. */
export interface RunnerCounts {
  readonly executions: number;
  readonly refusals: number;
  /** Highest number of slots in use at once. */
  readonly maximumInUse: number;
}

/** Contains the newest executions, up to its capacity; the counters cover all. */
export class RunnerLedger {
  readonly #capacity: number;
  readonly #executions: RunnerExecution[] = [];
  #executionCount = 0;
  #refusals = 0;
  #maximumInUse = 0;

  private constructor(capacity: number) {
    this.#capacity = capacity;
  }

  static create(capacity: number): RunnerLedger {
    return new RunnerLedger(capacity);
  }

  /** Records the begin of an execution. The caller sets `endedMs` of the returned record. */
  begin(
    execution: Omit<RunnerExecution, "endedMs">,
    inUse: number,
  ): RunnerExecution {
    const record: RunnerExecution = { ...execution, endedMs: undefined };
    this.#executions.push(record);
    if (this.#executions.length > this.#capacity) this.#executions.shift();
    this.#executionCount++;
    this.#maximumInUse = Math.max(this.#maximumInUse, inUse);
    return record;
  }

  countRefusal(): void {
    this.#refusals++;
  }

  /** Oldest first. */
  list(): readonly RunnerExecution[] {
    return this.#executions;
  }

  getCounts(): RunnerCounts {
    return {
      executions: this.#executionCount,
      refusals: this.#refusals,
      maximumInUse: this.#maximumInUse,
    };
  }
}
